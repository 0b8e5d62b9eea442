package standin

import "strings"

// JobProfile is how tasks of a job class behave on a machine. Times are ms.
type JobProfile struct {
	StartWork    float64 // work to start one where its program is cached
	MeanRuntime  float64
	MeanUse      float64 // mean fraction of its reservation that one uses
	Priority     int     // of two, the higher may displace the lower
	Deduplicated bool    // its idempotency keys are recognized by the machine's group
}

// Group recognizes repeated idempotency keys among its machines. One goroutine at a time may use the machines of a group.
type Group struct{ holders map[uint64]*task }

// NewGroup returns a group that holds no key.
func NewGroup() *Group { return &Group{map[uint64]*task{}} }

// AttemptID identifies an attempt: tickets are unique to a scheduler connection's name.
type AttemptID struct {
	Scheduler string
	Ticket    uint64
	Attempt   uint8 // number of the attempt, from 0
}

// Placement is a placement request as a machine takes it.
type Placement struct {
	ID             AttemptID
	Epoch          uint32  // of the allocation's owner; a lower one than was seen is rejected
	Timeout        float64 // ms from now in which the task has to start
	Job, Tenant    int
	Service, Token uint64
	Cores, Memory  float64 // reserved, memory in GiB
}

// HeldTask is what a machine holds for a scheduler.
type HeldTask struct {
	ID             AttemptID
	Running        bool // else it is queued or starts
	Job, Tenant    int
	Service, Token uint64
	Cores, Memory  float64
}

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
	deadline   float64 // of the start, then the end of its run
	readyAt    float64 // when its start is done, 0: it waits for a start slot
}

// epochKey identifies an allocation at a scheduler process, whichever of its shards acts: shards are named scheduler.shard.
type epochKey struct {
	scheduler string
	token     uint64
}

func (p *Placement) epochKey() epochKey {
	scheduler, _, _ := strings.Cut(p.ID.Scheduler, ".")
	return epochKey{scheduler, p.Token}
}
