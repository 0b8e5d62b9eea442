// Package handover decides which of its services a shard gives to other shards when their number changes: all that a draining shard holds,
// and those that belong to an added shard.
//
// Work moves by services. A service whose tasks must be spread moves as a whole, at a moment when no attempt of it is unresolved, because
// its next shard keeps the spread by what it knows. Of any other service, what is unresolved stays until its outcome is known. The package
// guards against a handover that never ends because something new is always unresolved, and against one that overloads the receiver.
//
// The shard's services and the time go in; the services to give and to pause come out. The package does no I/O and returns no errors. A
// Planner is not safe for concurrent use.
package handover

// Times in milliseconds.
const (
	pollInterval    = 100  // between two calls of Next
	maxPerPoll      = 200  // allocations given at once
	pauseAfter      = 500  // that a spread service may have something unresolved before it is paused
	rebalancePeriod = 5000 // for which an added shard gets the services that belong to it
)

// PollInterval returns the time between two calls of Next, in ms.
func PollInterval() float64 { return pollInterval }

// IsNewlyAdded reports whether a shard that was added at a time still gets the services that belong to it.
func IsNewlyAdded(now, addedAt float64) bool { return now-addedAt < rebalancePeriod }

// ServiceLoad is what a shard holds of a service.
type ServiceLoad struct {
	Service          uint64
	Waiting          int  // allocations of which no attempt is open and none may have run
	Running          int  // allocations whose node is connected
	Unresolved       int  // allocations with an open attempt, or one that may have run, or whose node is not connected
	Spread           bool // its tasks must be spread
	BelongsElsewhere bool // it belongs to another shard
}

// Planner keeps which services could not be given yet.
type Planner struct {
	unresolvedSince map[uint64]float64
}

// Next returns the services to give now, in the order of services, and those to pause, which get nothing new until they are given.
func (p *Planner) Next(now float64, services []ServiceLoad) (handOver, pause []uint64) {
	capacity := maxPerPoll
	unresolvedSince := map[uint64]float64{}
	for _, s := range services {
		if !s.BelongsElsewhere || s.Waiting+s.Running+s.Unresolved == 0 {
			continue
		}
		since, wasUnresolved := p.unresolvedSince[s.Service]
		movable := s.Waiting + s.Running
		switch {
		case s.Spread && s.Unresolved > 0:
			if !wasUnresolved {
				since = now
			}
			unresolvedSince[s.Service] = since
			if now-since >= pauseAfter {
				pause = append(pause, s.Service)
			}
		case movable == 0 || capacity < maxPerPoll && movable > capacity: // the first is given even if it alone is more than a poll's part
			if wasUnresolved {
				unresolvedSince[s.Service] = since
			}
		default:
			capacity -= movable
			handOver = append(handOver, s.Service)
		}
	}
	p.unresolvedSince = unresolvedSince
	return handOver, pause
}
