// Package handover decides which services a shard hands over to other shards when the number of shards changes: all services of a draining
// shard, and those that belong to an added shard.
//
// Work moves by service. A service whose tasks must be spread moves as a whole, at a time when none of its allocations is unresolved, because
// its next shard spreads only the tasks that it knows. Of any other service, unresolved allocations stay until their outcome is known. The
// package guards against a handover that never ends because new allocations are always unresolved, and against one that overloads the
// receiving shard.
//
// The inputs are the shard's services and the time; the outputs are the services to hand over and to pause. The package does no I/O and
// returns no errors. A Planner is not safe for concurrent use.
package handover

// Times in milliseconds.
const (
	pollInterval    = 100  // between two calls of Next
	maxPerPoll      = 200  // number of allocations that are handed over at once, not a time
	pauseAfter      = 500  // for which a service that must be spread may have unresolved allocations before it is paused
	rebalancePeriod = 5000 // for which an added shard receives the services that belong to it
)

// PollInterval returns the time between two calls of Next, in ms.
func PollInterval() float64 { return pollInterval }

// IsNewlyAdded reports whether a shard that was added at addedAt still receives the services that belong to it.
func IsNewlyAdded(now, addedAt float64) bool { return now-addedAt < rebalancePeriod }

// ServiceLoad counts the allocations of a service that a shard holds.
type ServiceLoad struct {
	Service          uint64
	Waiting          int  // allocations without an open attempt and without one that may have run
	Running          int  // allocations that run at a connected node
	Unresolved       int  // allocations with an open attempt, with one that may have run, or whose node is not connected
	Spread           bool // its tasks must be spread
	BelongsElsewhere bool // the service belongs to another shard
}

// Planner plans the handovers of one shard. It keeps since when services could not be handed over.
type Planner struct {
	unresolvedSince map[uint64]float64 // by service, ms
}

// Next returns the services to hand over now, in the order of services, and those to pause, which must get no new allocations until they are
// handed over.
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
		case movable == 0 || capacity < maxPerPoll && movable > capacity: // the first one is handed over even if it alone exceeds maxPerPoll
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
