package admission

// floorWindow is the time in ms after which the lowest difference is measured anew, so that clock drift does not falsify the estimate.
const floorWindow = 10000

// DelayEstimator estimates how long a client's requests lay unread before the process read them, from the times at which the client sent them
// by its own clock. The two clocks need not agree: the lowest recent difference is taken as the sum of their offset and the usual latency.
// The estimate reveals queues in front of the process, which the queues inside it do not show.
type DelayEstimator struct {
	floor       float64 // lowest difference of the previous window, ms
	nextFloor   float64 // lowest difference of the current window, ms
	windowStart float64 // start of the current window
	known       bool    // whether a request was received yet
}

// OnRequest returns how many ms a request lay unread. now must be monotonic, and sent is the time of sending by the client's clock. The first
// request on a connection cannot be compared with others. For it, the delay by the wall clock, which should agree with the client's, is
// believed up to pause, the number of ms for which the process was just paused, because it could not have read the request meanwhile.
func (e *DelayEstimator) OnRequest(now, sent, wall, pause float64) float64 {
	difference := now - sent
	switch {
	case !e.known:
		delay := max(0, min(wall-sent, pause))
		*e = DelayEstimator{difference - delay, difference - delay, now, true}
		return delay
	case now-e.windowStart > floorWindow:
		e.floor, e.nextFloor, e.windowStart = min(e.nextFloor, difference), difference, now
	}
	e.floor, e.nextFloor = min(e.floor, difference), min(e.nextFloor, difference)
	return difference - e.floor
}
