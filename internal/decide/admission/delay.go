package admission

// floorSpan is the time in ms after which the lowest difference is renewed, so that clocks that drift do no harm.
const floorSpan = 10000

// DelayEstimator estimates how long a client's requests lie unread on their way, from the times at which the client's clock says that they
// were sent. The two clocks need not agree: the lowest difference of the last while is taken as their offset together with the usual
// latency. It shows queues in front of the process, which no queue inside it shows.
type DelayEstimator struct {
	floor     float64 // lowest difference of the last span
	nextFloor float64 // lowest difference of the present span
	since     float64 // when the present span began
	known     bool
}

// OnRequest returns how long a request lay unread, in ms. now only grows; sent is when the client's clock says that the request was sent.
// The first request on a connection has no other to be compared with. It is believed as far as the process cannot have read it sooner:
// pause is for how many ms the process was paused just now, and wall the present time by a clock that should agree with the client's.
func (e *DelayEstimator) OnRequest(now, sent, wall, pause float64) float64 {
	difference := now - sent
	switch {
	case !e.known:
		delay := max(0, min(wall-sent, pause))
		*e = DelayEstimator{difference - delay, difference - delay, now, true}
		return delay
	case now-e.since > floorSpan:
		e.floor, e.nextFloor, e.since = min(e.nextFloor, difference), difference, now
	}
	e.floor, e.nextFloor = min(e.floor, difference), min(e.nextFloor, difference)
	return difference - e.floor
}
