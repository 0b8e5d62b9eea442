package fairqueue

const (
	initialLevel  = 0.9
	minLevel      = 0.3    // of the capacity according to the node list and the site file
	maxLevel      = 0.95   // on fuller machines many nodes reject a request before one accepts it; see docs/design/hosting.md
	quantile      = 0.7    // fraction of the latencies that is below the estimate
	quantileStep  = 0.05   // relative change of the estimate with each answer, scaled by the quantile
	floorWindow   = 10000  // ms after which the lowest latency is measured anew, because it may have changed
	slowFactor    = 2.0    // latencies above floor*slowFactor+slowMargin count as slow
	slowMargin    = 10.0   // ms
	raiseStep     = 0.0005 // added to the level with each answer
	lowerStep     = 0.005  // subtracted from the level at most once per lowerInterval
	lowerInterval = 20     // ms between two decreases
	minLatency    = 0.01   // ms
)

// FillController decides which fraction of the machines' capacity, the fill level, may be allocated before requests wait in their tenants'
// queues. If the level is too high, requests wait after this point, where tenants are not distinguished, and are rejected by nodes and
// retried; if it is too low, machines stay idle. The level therefore rises while requests wait for capacity and latencies are about as low
// as with capacity to spare, and falls while requests wait and latencies are higher.
//
// It uses the 0.7 quantile of the latencies instead of their mean, because a node that hangs makes a few answers a hundred times slower,
// which says nothing about the capacity.
type FillController struct {
	level           float64
	latencyQuantile float64 // estimate of the quantile, ms
	floor           float64 // lowest estimate of the previous window, ms
	nextFloor       float64 // lowest estimate of the current window, ms
	windowStart     float64
	loweredAt       float64
}

// NewFillController returns a controller at the initial level.
func NewFillController() *FillController { return &FillController{level: initialLevel} }

// Level returns the fraction of the capacity that may be allocated.
func (f *FillController) Level() float64 { return f.level }

// OnAnswer records that a request was answered latency ms after its admission. waiting says whether requests wait for capacity.
func (f *FillController) OnAnswer(now, latency float64, waiting bool) {
	f.updateLatency(now, max(latency, minLatency))
	switch {
	case !waiting:
	case f.latencyQuantile <= slowFactor*f.floor+slowMargin:
		f.level = min(maxLevel, f.level+raiseStep)
	case now-f.loweredAt > lowerInterval:
		f.loweredAt, f.level = now, max(minLevel, f.level-lowerStep)
	}
}

// updateLatency updates the estimate of the quantile and the floor.
func (f *FillController) updateLatency(now, latency float64) {
	switch {
	case f.latencyQuantile == 0:
		f.latencyQuantile, f.floor, f.nextFloor, f.windowStart = latency, latency, latency, now
	case latency < f.latencyQuantile:
		f.latencyQuantile *= 1 - quantileStep*(1-quantile)
	default:
		f.latencyQuantile *= 1 + quantileStep*quantile
	}
	if now-f.windowStart > floorWindow {
		f.floor, f.nextFloor, f.windowStart = min(f.nextFloor, f.latencyQuantile), f.latencyQuantile, now
	}
	f.floor, f.nextFloor = min(f.floor, f.latencyQuantile), min(f.nextFloor, f.latencyQuantile)
}
