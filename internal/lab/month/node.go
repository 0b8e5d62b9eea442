package month

import (
	"bytes"

	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/node"
	"ravenpond/internal/standin"
)

// spot is a node.
type spot struct {
	w    *world
	id   uint32
	m    *standin.Machine
	out  [][2]float64 // true times at which it is out, from drain to end
	lost bool
	life uint64
	zone int
	cell int
	kind int
}

// late notes what comes to a node that is out.
func (s *spot) late(what string, ticket uint64) {
	for _, o := range s.out {
		if s.w.now > o[0]+grace+float64(guard)/1e6 && s.w.now < o[1]-float64(guard)/1e6 {
			s.w.fail(&s.w.rep.Late, "%s of %x at node %d, out for %.1f s", what, ticket, s.id, (s.w.now-o[0])/1000)
			return
		}
	}
}

// hear decodes what came to a node.
func (s *spot) hear(p *proc, b []byte) {
	in := line.NewReader(bytes.NewReader(b))
	for {
		fields, err := in.Next()
		if err != nil {
			return
		}
		if err := node.DecodeScheduler(fields, arrival{s, p}); err != nil {
			panic(err) // our own codec
		}
	}
}
