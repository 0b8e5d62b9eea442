package engine

// bell is a time at which something is due: what and which of it.
type bell struct {
	at    float64
	order uint64 // among equals in order of setting
	what  due
	key   uint64
}

type due uint8

const (
	dueWake  due = iota // a timer of the module, by its key
	dueTry              // a try's time-out, by the allocation's place and the try's number
	dueDoubt            // the end of waiting for a try whose connection broke
	dueKept             // a late start that nobody asked for again
	dueProbe            // a probe's answer
	dueLink             // the end of waiting for a node's connection, with offers held for it
	dueClaim            // a given up try is to be claimed
	dueGhost            // a given up try may be forgotten
)

// bells is a binary heap of what is due. Most bells are never taken back but found stale when they ring, which
// costs less than keeping places up to date: an allocation sets three in its life.
type bells struct {
	heap  []bell
	count uint64
}

func before(x, y *bell) bool { return x.at < y.at || x.at == y.at && x.order < y.order }

func (b *bells) set(at float64, what due, key uint64) {
	b.count++
	b.heap = append(b.heap, bell{at, b.count, what, key})
	i := len(b.heap) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !before(&b.heap[i], &b.heap[up]) {
			break
		}
		b.heap[i], b.heap[up] = b.heap[up], b.heap[i]
		i = up
	}
}

// next takes the first bell that is due.
func (b *bells) next(now float64) (bell, bool) {
	if len(b.heap) == 0 || b.heap[0].at > now {
		return bell{}, false
	}
	top, last := b.heap[0], len(b.heap)-1
	b.heap[0] = b.heap[last]
	b.heap = b.heap[:last]
	for i := 0; ; {
		down := 2*i + 1
		if down >= last {
			break
		}
		if right := down + 1; right < last && before(&b.heap[right], &b.heap[down]) {
			down = right
		}
		if !before(&b.heap[down], &b.heap[i]) {
			break
		}
		b.heap[i], b.heap[down] = b.heap[down], b.heap[i]
		i = down
	}
	if cap(b.heap) > 4096 && len(b.heap) < cap(b.heap)/8 { // a flood's memory is given back
		b.heap = append(make([]bell, 0, cap(b.heap)/4), b.heap...)
	}
	return top, true
}
