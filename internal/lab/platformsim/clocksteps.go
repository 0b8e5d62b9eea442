package platformsim

import "math/rand/v2"

// clockStepSeeds is the share of seeds in which clocks of nodes are stepped: one in this many.
const clockStepSeeds = 3

// Times by which the wall clock of a node's machine is stepped, in ms.
const (
	minClockStep   = 60000
	clockStepRange = 3540000
)

// drawClockSteps draws whether the wall clocks of nodes are stepped before they restart.
func (sm *simulation) drawClockSteps() {
	rng := rand.New(rand.NewPCG(sm.result.Seed, 0xc10c))
	if _, simulated := sm.clock.(*simWorld); simulated && rng.IntN(clockStepSeeds) == 0 {
		sm.clockRNG = rng
	}
}

// drawClockStep draws by how many ms the clock of a node's machine is stepped, back or forward, before the node starts; 0: it is not. The node list gives
// the time of the start by that clock.
func (sm *simulation) drawClockStep() float64 {
	rng := sm.clockRNG
	if rng == nil || rng.IntN(2) == 0 {
		return 0
	}
	step := minClockStep + clockStepRange*rng.Float64()
	if rng.IntN(2) == 0 {
		return -step
	}
	return step
}
