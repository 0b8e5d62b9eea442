// Package handover decides what of its work a shard gives to others when their number changes: all that a leaving
// shard holds, and what belongs to one that was added. Work goes by services. A service whose tasks must be spread
// goes whole, at a moment when nothing of it is out, since its next shard keeps the spread by what it knows; of
// any other what is out stays until its outcome is known. It guards against a handover that never ends because
// something new is always out, and against one that buries the shard that receives.
package handover

// Times in milliseconds.
const (
	pollInterval  = 100  // between two looks
	maxPerPoll    = 200  // allocations given at a look
	maxWait       = 500  // that a whole service may have something out before it rests
	addedDuration = 5000 // for which an added shard is given what belongs to it
)

// PollInterval is how often Next is to be called.
func PollInterval() float64 { return pollInterval }

// IsNewlyAdded tells whether a shard that began at a time still draws what belongs to it.
func IsNewlyAdded(now, began float64) bool { return now-began < addedDuration }

// ServiceLoad is what a shard holds of a service.
type ServiceLoad struct {
	Service          uint64
	Waiting          int  // no try of it is out, and none may have run
	Running          int  // its node is connected
	Unresolved       int  // a try is out or may have run, or it runs at a node that is away
	Spread           bool // its tasks must be spread
	BelongsElsewhere bool // it belongs to another shard
}

// Planner is what is known of a shard's services that could not go yet.
type Planner struct {
	waitingSince map[uint64]float64
}

// Next tells what to give now, in the order of the parts; those that rest get nothing new until they have gone.
func (g *Planner) Next(now float64, parts []ServiceLoad) (give, rest []uint64) {
	room := maxPerPoll
	since := map[uint64]float64{}
	for _, p := range parts {
		if !p.BelongsElsewhere || p.Waiting+p.Running+p.Unresolved == 0 {
			continue
		}
		if p.Spread && p.Unresolved > 0 {
			at, ok := g.waitingSince[p.Service]
			if !ok {
				at = now
			}
			if since[p.Service] = at; now-at >= maxWait {
				rest = append(rest, p.Service)
			}
			continue
		}
		n := p.Waiting + p.Running
		if n == 0 || room < maxPerPoll && n > room { // the first goes even if it alone is more than one look's part
			if at, ok := g.waitingSince[p.Service]; ok {
				since[p.Service] = at
			}
			continue
		}
		room -= n
		give = append(give, p.Service)
	}
	g.waitingSince = since
	return give, rest
}
