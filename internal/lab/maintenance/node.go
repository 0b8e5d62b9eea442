package maintenance

import (
	"bytes"

	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/node"
	"ravenpond/internal/standin"
)

// simNode is a simulated node.
type simNode struct {
	sim         *simulation
	id          uint32
	machine     *standin.Machine
	maintenance [][2]float64 // true times at which the node is in maintenance, each from the drain's start to the window's end, in ms
	lost        bool
	incarnation uint64
	zone        int
	cell        int
	kind        int
}

// checkPlacement counts an offer or a start that comes to a node in maintenance after the drain grace. The guard band is left out at both ends, as the
// clocks of the processes may be off by it.
func (s *simNode) checkPlacement(what string, ticket uint64) {
	for _, o := range s.maintenance {
		if s.sim.now > o[0]+drainGrace+float64(guardBand)/1e6 && s.sim.now < o[1]-float64(guardBand)/1e6 {
			s.sim.fail(&s.sim.report.LatePlacements, "%s of ticket %x at node %d, whose drain began %.1f s before", what, ticket, s.id, (s.sim.now-o[0])/1000)
			return
		}
	}
}

// receive decodes and handles messages from a process.
func (s *simNode) receive(p *process, b []byte) {
	in := line.NewReader(bytes.NewReader(b))
	for {
		fields, err := in.Next()
		if err != nil {
			return
		}
		if err := node.DecodeScheduler(fields, nodeHandler{s, p}); err != nil {
			panic(err) // the message was encoded by the same codec
		}
	}
}
