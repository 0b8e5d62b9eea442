package regions

import (
	"ravenpond/internal/decide/clusterstate"
	"ravenpond/internal/decide/membership"
)

// Moment tells whether and when a condition was met after the heal.
type Moment struct {
	Reached bool    `json:"reached"`
	Seconds float64 `json:"seconds"` // since the heal; meaningless if the condition was not met
}

// Heal tells how long it took after the heal until all processes agreed again.
type Heal struct {
	Members   Moment `json:"members"`   // each process considers all others alive, and all member lists are equal
	State     Moment `json:"state"`     // all processes have the same version of the cluster state and valid leases
	Zones     Moment `json:"zones"`     // all zones are open in the cluster state
	Restarted Moment `json:"restarted"` // the process that restarted during the cut is active in the cluster state, in its new incarnation
}

// settle advances the clock after the heal, takes a reading each minute, and records when each condition of Heal is first met.
// It goes on for the whole Settle time, so that the readings show what remains.
func (s *cluster) settle() {
	heal := &s.report.Heal
	moments := []struct {
		moment *Moment
		met    func() bool
	}{{&heal.Members, s.membersAgree}, {&heal.State, s.stateAgrees}, {&heal.Zones, s.zonesOpen}, {&heal.Restarted, s.restartedActive}}
	next := s.clock.TrueTime() + readInterval
	for end := s.healedAt + float64(s.config.Settle.Milliseconds()); s.clock.TrueTime() < end && s.ctx.Err() == nil; {
		s.clock.RunUntil(s.clock.TrueTime() + pollInterval)
		for _, m := range moments {
			if !m.moment.Reached && m.met() {
				*m.moment = Moment{Reached: true, Seconds: (s.clock.TrueTime() - s.healedAt) / 1000}
			}
		}
		if s.clock.TrueTime() >= next {
			s.read(Healed)
			next += readInterval
		}
	}
}

func (s *cluster) membersAgree() bool {
	var view uint64
	for i, p := range s.processes {
		agrees := false
		p.members.WithDetector(func(d *membership.Detector) {
			if i == 0 {
				view = d.Digest()
			}
			if d.Digest() != view {
				return
			}
			agrees = d.Count().Alive == len(s.processes)-1
		})
		if !agrees {
			return false
		}
	}
	return true
}

func (s *cluster) stateAgrees() bool {
	version := s.processes[0].control.View().State.Version()
	for _, p := range s.processes {
		view := p.control.View()
		if view.State.Version() != version || p.env.Now() >= view.LeaseExpiry {
			return false
		}
	}
	return version > 0
}

func (s *cluster) zonesOpen() bool {
	if !s.stateAgrees() {
		return false
	}
	b := s.processes[0].control.View().State
	for _, z := range s.zones {
		if b.Zone(z.name).State != clusterstate.Open {
			return false
		}
	}
	return true
}

func (s *cluster) restartedActive() bool {
	if s.restarted == nil {
		return false
	}
	p, ok := s.processes[0].control.View().State.Process(s.restarted.name)
	return ok && p.Incarnation == s.restarted.incarnation && !p.Inactive
}
