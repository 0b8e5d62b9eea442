package standin

import (
	"strings"
)

// JobProfile is how a node sees a job type.
type JobProfile struct {
	StartWork    float64 // ms of work to start one where the program is held
	MeanRuntime  float64 // mean ms that one runs
	MeanUse      float64 // mean part of what was asked that is used
	Priority     int
	Deduplicated bool // repeats are dropped by the group
}

// Group drops repeats of tokens among its nodes.
type Group struct{ holders map[uint64]*task }

// NewGroup makes a group. One goroutine at a time may use the machines of a group.
func NewGroup() *Group { return &Group{map[uint64]*task{}} }

type stage uint8

const (
	queued stage = iota
	starting
	running
)

type attemptID struct {
	scheduler string
	ticket    uint64
	attempt   uint8
}

type task struct {
	attemptID
	machine              *Machine
	stage                stage
	probeSeq             uint64 // a probe in the line of offers, by its number
	isProbe              bool
	job, tenant          int
	service, token       uint64
	cores, memory        float64
	use                  [2]float64
	epoch                uint32
	receivedAt, deadline float64
	readyAt              float64 // its look or start is done
}

// epochKey is an allocation's at one scheduler process, whichever of its shards acts: ids are per name before a dot.
type epochKey struct {
	scheduler string
	token     uint64
}

func epochKeyOf(t *task) epochKey {
	base, _, _ := strings.Cut(t.scheduler, ".")
	return epochKey{base, t.token}
}
