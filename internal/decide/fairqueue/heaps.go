package fairqueue

// request is a request that waits.
type request struct {
	id      uint64
	tenant  int
	urgency int // higher goes first in its tenant's queue
	order   uint64
	cost    float64
	expiry  float64
	place   int
	gone    bool // removed from its queue; it stays in the expiry heap until its expiry
}

// expiryHeap holds all waiting requests by expiry, because one behind more urgent ones expires too.
type expiryHeap []*request

func (e expiryHeap) Len() int { return len(e) }

func (e expiryHeap) Less(i, j int) bool { return e[i].expiry < e[j].expiry }

func (e expiryHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *expiryHeap) Push(x any) { *e = append(*e, x.(*request)) }

func (e *expiryHeap) Pop() any {
	old := *e
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return a
}

// tenantHeap holds the tenants with waiting requests that may pass, by virtual clock, so that no request has to visit thousands of
// tenants. A tenant whose rate or limit lets nothing pass is left out until it does.
type tenantHeap struct {
	q  *Queue
	at []int
}

func (t tenantHeap) Len() int { return len(t.at) }

func (t tenantHeap) Less(i, j int) bool {
	x, y := &t.q.tenants[t.at[i]], &t.q.tenants[t.at[j]]
	return x.clock < y.clock || x.clock == y.clock && t.at[i] < t.at[j]
}

func (t tenantHeap) Swap(i, j int) {
	t.at[i], t.at[j] = t.at[j], t.at[i]
	t.q.tenants[t.at[i]].turn, t.q.tenants[t.at[j]].turn = i+1, j+1
}

func (t *tenantHeap) Push(x any) {
	t.at = append(t.at, x.(int))
	t.q.tenants[x.(int)].turn = len(t.at)
}

func (t *tenantHeap) Pop() any {
	last := t.at[len(t.at)-1]
	t.at = t.at[:len(t.at)-1]
	t.q.tenants[last].turn = 0
	return last
}

// tokenWait is a tenant that waits for the next token of its rate limit.
type tokenWait struct {
	at     float64
	tenant int
}

// tokenHeap holds the tenants that wait for tokens, by the time of the next token.
type tokenHeap []tokenWait

func (s tokenHeap) Len() int { return len(s) }

func (s tokenHeap) Less(i, j int) bool { return s[i].at < s[j].at }

func (s tokenHeap) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

func (s *tokenHeap) Push(x any) { *s = append(*s, x.(tokenWait)) }

func (s *tokenHeap) Pop() any {
	old := *s
	x := old[len(old)-1]
	*s = old[:len(old)-1]
	return x
}

// tenantQueue holds the waiting requests of a tenant, by urgency and order of arrival.
type tenantQueue []*request

func (l tenantQueue) Len() int { return len(l) }

func (l tenantQueue) Less(i, j int) bool {
	return l[i].urgency > l[j].urgency || l[i].urgency == l[j].urgency && l[i].order < l[j].order
}

func (l tenantQueue) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].place, l[j].place = i, j
}

func (l *tenantQueue) Push(x any) {
	a := x.(*request)
	a.place = len(*l)
	*l = append(*l, a)
}

func (l *tenantQueue) Pop() any {
	old := *l
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*l = old[:len(old)-1]
	return a
}
