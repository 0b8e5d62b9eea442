package consensus

import (
	"ravenpond/internal/decide/consensus"
)

// Times of MeasureAtRest in ms.
const (
	measureFrom  = 8000
	measureUntil = 28000
)

// restVoters is the number of voters in MeasureAtRest.
const restVoters = 3

// Cost is the cost of consensus at rest: messages and bytes per second that a voter and a follower send, and writes per second to a voter's
// disk.
type Cost struct{ Voter, Follower, VoterBytes, FollowerBytes, Writes float64 }

// MeasureAtRest simulates count processes, three of them voters, without faults and commands.
func MeasureAtRest(seed uint64, count int) Cost {
	sm := newSimulation(seed, consensus.Faults{})
	for i := range restVoters {
		sm.voters = append(sm.voters, processName(i))
	}
	for i := range count {
		p := &process{sim: sm, name: processName(i), host: sm.clock.NewProcess(processName(i))}
		if i < restVoters {
			p.disk = &Disk{}
		}
		sm.processes = append(sm.processes, p)
		p.start()
	}
	var sum Cost
	sm.clock.At(measureFrom, func() { sm.addCost(&sum, -1) })
	sm.clock.At(measureUntil, func() { sm.addCost(&sum, 1) })
	sm.clock.RunUntil(measureUntil + 500)
	seconds := float64(measureUntil-measureFrom) / 1000
	voters, followers := restVoters*seconds, float64(max(1, count-restVoters))*seconds
	return Cost{sum.Voter / voters, sum.Follower / followers, sum.VoterBytes / voters, sum.FollowerBytes / followers, sum.Writes / voters}
}

// addCost adds the counts of all processes so far, times a factor.
func (sm *simulation) addCost(sum *Cost, factor float64) {
	for i, p := range sm.processes {
		p.runner.Enqueue(func(r *consensus.Replica) {
			messages, bytes := factor*float64(r.Stats.Messages), factor*float64(r.Stats.Bytes)
			if i < len(sm.voters) {
				sum.Voter, sum.VoterBytes = sum.Voter+messages, sum.VoterBytes+bytes
				sum.Writes += factor * float64(r.Stats.Writes)
			} else {
				sum.Follower, sum.FollowerBytes = sum.Follower+messages, sum.FollowerBytes+bytes
			}
		})
	}
}
