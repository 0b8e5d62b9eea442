package fairqueue

// Fill decides how much of the machines' room may be taken before asks wait in their tenants' lines. What passes beyond what
// there is waits behind here, where nobody looks at tenants any more, and calm and flooding alike are refused by nodes and
// tried again; what could pass and does not leaves machines idle. So it is raised while it is what holds asks back and answers
// come about as fast as they do with room to spare, and lowered when they do not.
//
// It goes by how fast seven in ten answers are, not by the mean: a node that hangs makes some answers a hundred times as slow,
// which is no sign that there is no room.
type Fill struct {
	part        float64
	slow        float64 // of the times to an answer, what seven in ten are below
	floor, next float64 // the least that was lately, in the last span and the one that runs
	since       float64
	cut         float64 // when it was last lowered
}

const (
	firstPart = 0.9
	leastPart = 0.3  // of the room, by what the list and the site file say of it
	mostPart  = 0.95 // full to the brim, each ask is refused by many before one takes it; see docs/design/hosting.md
	quantile  = 0.7
	step      = 0.05  // by which an answer moves the quantile
	floorSpan = 10000 // ms after which the floor is found anew: what was possible then may not be now
	slowBy    = 2.0   // times the floor, and so many ms more, from which answers are slow
	slowMore  = 10.0
	raise     = 0.0005 // with each answer
	lower     = 0.005
	lowerEach = 20 // ms, at most
)

// NewFill begins below what there is.
func NewFill() *Fill { return &Fill{part: firstPart} }

// Part is how much of the room may be taken.
func (f *Fill) Part() float64 { return f.part }

// Answered takes how long it took, in ms, from the pass of an ask to the word that it is served, and whether asks wait for room.
func (f *Fill) Answered(now, took float64, wait bool) {
	took = max(took, 0.01)
	switch {
	case f.slow == 0:
		f.slow, f.floor, f.next, f.since = took, took, took, now
	case took < f.slow:
		f.slow *= 1 - step*(1-quantile)
	default:
		f.slow *= 1 + step*quantile
	}
	if now-f.since > floorSpan {
		f.floor, f.next, f.since = min(f.next, f.slow), f.slow, now
	}
	f.floor, f.next = min(f.floor, f.slow), min(f.next, f.slow)
	switch {
	case !wait:
	case f.slow <= slowBy*f.floor+slowMore:
		f.part = min(mostPart, f.part+raise)
	case now-f.cut > lowerEach:
		f.cut, f.part = now, max(leastPart, f.part-lower)
	}
}
