package fairqueue

const (
	initialLevel  = 0.9
	minLevel      = 0.3    // of the capacity, by what the node list and the site file say of it
	maxLevel      = 0.95   // on fuller machines each request is rejected by many before one accepts it; see docs/design/hosting.md
	quantile      = 0.7    // of the latencies that are below the estimate
	quantileStep  = 0.05   // by which an answer moves the estimate
	floorSpan     = 10000  // ms after which the lowest latency is measured anew, because it may have changed
	slowFactor    = 2.0    // latencies above the floor times this factor and slowMargin are slow
	slowMargin    = 10.0   // ms
	raiseStep     = 0.0005 // by which the level is raised with each answer
	lowerStep     = 0.005  // by which it is lowered
	lowerInterval = 20     // ms between two steps down
	minLatency    = 0.01   // ms
)

// FillController decides which fraction of the machines' capacity may be taken before requests wait in their tenants' queues. Requests
// beyond the capacity wait behind this point, where tenants are not told apart, and are rejected by nodes and retried; a level that is too
// low leaves machines idle. So the level rises while requests wait for it and answers are about as quick as with capacity to spare, and
// falls when they are not.
//
// It measures the 0.7 quantile of the latencies instead of their mean, because a node that hangs makes a few answers a hundred times as
// slow, which says nothing about the capacity.
type FillController struct {
	level     float64
	latency   float64 // estimate of the quantile, ms
	floor     float64 // lowest estimate of the last span, ms
	nextFloor float64 // lowest estimate of the present span, ms
	spanStart float64
	loweredAt float64
}

// NewFillController returns a controller at its initial level.
func NewFillController() *FillController { return &FillController{level: initialLevel} }

// Level returns the fraction of the capacity that may be taken.
func (f *FillController) Level() float64 { return f.level }

// OnAnswer records that a request was served latency ms after it was admitted, and whether requests wait for capacity.
func (f *FillController) OnAnswer(now, latency float64, waiting bool) {
	f.updateLatency(now, max(latency, minLatency))
	switch {
	case !waiting:
	case f.latency <= slowFactor*f.floor+slowMargin:
		f.level = min(maxLevel, f.level+raiseStep)
	case now-f.loweredAt > lowerInterval:
		f.loweredAt, f.level = now, max(minLevel, f.level-lowerStep)
	}
}

// updateLatency moves the estimate of the quantile and the floor.
func (f *FillController) updateLatency(now, latency float64) {
	switch {
	case f.latency == 0:
		f.latency, f.floor, f.nextFloor, f.spanStart = latency, latency, latency, now
	case latency < f.latency:
		f.latency *= 1 - quantileStep*(1-quantile)
	default:
		f.latency *= 1 + quantileStep*quantile
	}
	if now-f.spanStart > floorSpan {
		f.floor, f.nextFloor, f.spanStart = min(f.nextFloor, f.latency), f.latency, now
	}
	f.floor, f.nextFloor = min(f.floor, f.latency), min(f.nextFloor, f.latency)
}
