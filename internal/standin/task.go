package standin

import "strings"

// JobProfile describes how tasks of a job class behave on a machine. Times are in ms.
type JobProfile struct {
	StartWork    float64 // time to start a task at full pace if its program is cached
	MeanRuntime  float64
	MeanUse      float64 // mean fraction of its reservation that a task uses
	Priority     int     // a task may preempt one with a lower value
	Deduplicated bool    // the machine's group recognizes repeated idempotency keys of the class
}

// Group is a set of machines that recognize repeated idempotency keys of one another. One goroutine at a time may use the machines of a group.
type Group struct{ holders map[uint64]*task }

// NewGroup returns a group without keys.
func NewGroup() *Group { return &Group{map[uint64]*task{}} }

// AttemptID identifies an attempt. Tickets are unique only to the name under which a scheduler connects.
type AttemptID struct {
	Scheduler string
	Ticket    uint64
	Attempt   uint8 // number of the attempt, from 0
}

// Placement is a placement request to a machine.
type Placement struct {
	ID             AttemptID
	Epoch          uint32  // epoch of the allocation's owner; a request with a lower epoch than one seen before is rejected
	Timeout        float64 // ms from now within which the task has to start
	Job, Tenant    int
	Service, Token uint64
	Cores, Memory  float64 // reserved, memory in GiB
}

// HeldTask is a task that a machine holds for a scheduler.
type HeldTask struct {
	ID             AttemptID
	Running        bool // false if it is queued or starting
	Job, Tenant    int
	Service, Token uint64
	Cores, Memory  float64
}

// stage is the progress of a task on a machine.
type stage uint8

const (
	queued stage = iota
	starting
	running
)

// task is a placement request on its way through a machine, or a probe in the queue. Times are ms.
type task struct {
	Placement
	machine    *Machine
	stage      stage
	isProbe    bool
	probeSeq   uint64
	use        [2]float64 // cores and memory
	receivedAt float64
	deadline   float64 // latest time of its start; once it runs, the end of its run
	readyAt    float64 // when its start is complete, 0 while it waits to start
}

// epochKey identifies an allocation of a scheduler process, whichever of its shards sends the attempt: shards are named scheduler.shard.
type epochKey struct {
	scheduler string
	token     uint64
}

func (p *Placement) epochKey() epochKey {
	scheduler, _, _ := strings.Cut(p.ID.Scheduler, ".")
	return epochKey{scheduler, p.Token}
}
