package maintenance

import (
	"bytes"

	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/node"
	"ravenpond/internal/standin"
)

// simNode is a node.
type simNode struct {
	sim         *simulation
	id          uint32
	machine     *standin.Machine
	maintenance [][2]float64 // true times at which it is out, from drain to end
	lost        bool
	incarnation uint64
	zone        int
	cell        int
	kind        int
}

// checkPlacement notes what comes to a node that is out.
func (s *simNode) checkPlacement(what string, ticket uint64) {
	for _, o := range s.maintenance {
		if s.sim.now > o[0]+drainGrace+float64(guardBand)/1e6 && s.sim.now < o[1]-float64(guardBand)/1e6 {
			s.sim.fail(&s.sim.report.LatePlacements, "%s of %x at node %d, out for %.1f s", what, ticket, s.id, (s.sim.now-o[0])/1000)
			return
		}
	}
}

// receive decodes what came to a node.
func (s *simNode) receive(p *process, b []byte) {
	in := line.NewReader(bytes.NewReader(b))
	for {
		fields, err := in.Next()
		if err != nil {
			return
		}
		if err := node.DecodeScheduler(fields, nodeHandler{s, p}); err != nil {
			panic(err) // our own codec
		}
	}
}
