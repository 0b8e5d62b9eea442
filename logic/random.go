package logic

import "math"

// pcg is a permuted congruential generator, PCG-XSH-RR with 64 bits of state.
type pcg struct{ state uint64 }

func (p *pcg) next() uint32 {
	old := p.state
	p.state = old*6364136223846793005 + 1442695040888963407
	x := uint32((old>>18 ^ old) >> 27)
	r := uint32(old >> 59)
	return x>>r | x<<(-r&31)
}

// float returns a uniformly distributed number in [0, 1).
func (p *pcg) float() float64 { return float64(p.next()) / (1 << 32) }

// intN returns a uniformly distributed integer from 0 to n-1.
func (p *pcg) intN(n int) int { return int(math.Floor(p.float() * float64(n))) }
