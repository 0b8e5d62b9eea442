package fairqueue

// FillController decides how much of the machines' room may be taken before asks wait in their tenants' lines. What passes beyond what
// there is waits behind here, where nobody looks at tenants any more, and calm and flooding alike are refused by nodes and
// tried again; what could pass and does not leaves machines idle. So it is raised while it is what holds asks back and answers
// come about as fast as they do with room to spare, and lowered when they do not.
//
// It goes by how fast seven in ten answers are, not by the mean: a node that hangs makes some answers a hundred times as slow,
// which is no sign that there is no room.
type FillController struct {
	level            float64
	latency          float64 // of the times to an answer, what seven in ten are below
	floor, nextFloor float64 // the least that was lately, in the last span and the one that runs
	since            float64
	loweredAt        float64 // when it was last lowered
}

const (
	initialLevel  = 0.9
	minLevel      = 0.3  // of the room, by what the list and the site file say of it
	maxLevel      = 0.95 // full to the brim, each ask is refused by many before one takes it; see docs/design/hosting.md
	quantile      = 0.7
	quantileStep  = 0.05  // by which an answer moves the quantile
	floorSpan     = 10000 // ms after which the floor is found anew: what was possible then may not be now
	slowFactor    = 2.0   // times the floor, and so many ms more, from which answers are slow
	slowMargin    = 10.0
	raiseStep     = 0.0005 // with each answer
	lowerStep     = 0.005
	lowerInterval = 20 // ms, at most
)

// NewFillController begins below what there is.
func NewFillController() *FillController { return &FillController{level: initialLevel} }

// Level is how much of the room may be taken.
func (f *FillController) Level() float64 { return f.level }

// OnAnswer takes how long it took, in ms, from the pass of an ask to the word that it is served, and whether asks wait for room.
func (f *FillController) OnAnswer(now, took float64, waiting bool) {
	took = max(took, 0.01)
	switch {
	case f.latency == 0:
		f.latency, f.floor, f.nextFloor, f.since = took, took, took, now
	case took < f.latency:
		f.latency *= 1 - quantileStep*(1-quantile)
	default:
		f.latency *= 1 + quantileStep*quantile
	}
	if now-f.since > floorSpan {
		f.floor, f.nextFloor, f.since = min(f.nextFloor, f.latency), f.latency, now
	}
	f.floor, f.nextFloor = min(f.floor, f.latency), min(f.nextFloor, f.latency)
	switch {
	case !waiting:
	case f.latency <= slowFactor*f.floor+slowMargin:
		f.level = min(maxLevel, f.level+raiseStep)
	case now-f.loweredAt > lowerInterval:
		f.loweredAt, f.level = now, max(minLevel, f.level-lowerStep)
	}
}
