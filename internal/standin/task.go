package standin

import (
	"strings"
)

// Work is how a node sees a job type.
type Work struct {
	Start    float64 // ms of work to start one where the program is held
	Life     float64 // mean ms that one runs
	Use      float64 // mean part of what was asked that is used
	Priority int
	Token    bool // repeats are dropped by the group
}

// Group drops repeats of tokens among its nodes.
type Group struct{ holders map[uint64]*task }

// NewGroup makes a group. One goroutine at a time may use the machines of a group.
func NewGroup() *Group { return &Group{map[uint64]*task{}} }

type stage uint8

const (
	inLine stage = iota
	starting
	running
)

type name struct {
	sched  string
	ticket uint64
	try    uint8
}

type task struct {
	name
	m              *Machine
	stage          stage
	probe          uint64 // a probe in the line of offers, by its number
	isProbe        bool
	job, tenant    int
	service, token uint64
	cores, memory  float64
	use            [2]float64
	epoch          uint32
	came, until    float64
	ready          float64 // its look or start is done
}

// epochName is an allocation's at one scheduler process, whichever of its shards acts: ids are per name before a dot.
type epochName struct {
	sched string
	token uint64
}

func epochOf(t *task) epochName {
	base, _, _ := strings.Cut(t.sched, ".")
	return epochName{base, t.token}
}
