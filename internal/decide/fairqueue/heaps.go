package fairqueue

// request is a request that waits.
type request struct {
	id       uint64
	tenant   int
	urgency  int // higher goes first in its tenant's queue
	order    uint64
	cost     float64
	expiry   float64
	position int
	removed  bool // removed from its queue; it stays in the expiry heap until its expiry
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
	queue   *Queue
	tenants []int
}

func (t tenantHeap) Len() int { return len(t.tenants) }

func (t tenantHeap) Less(i, j int) bool {
	x, y := &t.queue.tenants[t.tenants[i]], &t.queue.tenants[t.tenants[j]]
	return x.clock < y.clock || x.clock == y.clock && t.tenants[i] < t.tenants[j]
}

func (t tenantHeap) Swap(i, j int) {
	t.tenants[i], t.tenants[j] = t.tenants[j], t.tenants[i]
	t.queue.tenants[t.tenants[i]].heapPosition, t.queue.tenants[t.tenants[j]].heapPosition = i+1, j+1
}

func (t *tenantHeap) Push(x any) {
	t.tenants = append(t.tenants, x.(int))
	t.queue.tenants[x.(int)].heapPosition = len(t.tenants)
}

func (t *tenantHeap) Pop() any {
	last := t.tenants[len(t.tenants)-1]
	t.tenants = t.tenants[:len(t.tenants)-1]
	t.queue.tenants[last].heapPosition = 0
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
	l[i].position, l[j].position = i, j
}

func (l *tenantQueue) Push(x any) {
	a := x.(*request)
	a.position = len(*l)
	*l = append(*l, a)
}

func (l *tenantQueue) Pop() any {
	old := *l
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*l = old[:len(old)-1]
	return a
}
