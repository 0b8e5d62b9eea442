package regions

import (
	"ravenpond/internal/decide/clusterstate"
	"ravenpond/internal/decide/membership"
)

// Moment is when something was reached after the heal.
type Moment struct {
	Reached bool    `json:"reached"`
	Seconds float64 `json:"seconds"` // from the heal on; void if it was not reached
}

// Heal is how long it took until all held one view again.
type Heal struct {
	Members   Moment `json:"members"`   // each holds all others for alive, and the same of them
	State     Moment `json:"state"`     // all hold the same version, and their leases are valid
	Zones     Moment `json:"zones"`     // that state has all zones open
	Restarted Moment `json:"restarted"` // that state has the process that started again in the cut, in its new incarnation
}

// settle lets time go by after the heal, with a reading each minute, and notes when views are one. It goes on for a few minutes
// after that, so that readings show what stays.
func (s *cluster) settle() {
	heal := &s.report.Heal
	moments := []struct {
		moment *Moment
		is     func() bool
	}{{&heal.Members, s.membersAgree}, {&heal.State, s.stateAgrees}, {&heal.Zones, s.zonesOpen}, {&heal.Restarted, s.restartActs}}
	next := s.clock.TrueTime() + readInterval
	for end := s.healedAt + float64(s.config.Settle.Milliseconds()); s.clock.TrueTime() < end && s.ctx.Err() == nil; {
		s.clock.RunUntil(s.clock.TrueTime() + pollInterval)
		for _, m := range moments {
			if !m.moment.Reached && m.is() {
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

func (s *cluster) restartActs() bool {
	if s.restarted == nil {
		return false
	}
	p, ok := s.processes[0].control.View().State.Process(s.restarted.name)
	return ok && p.Incarnation == s.restarted.incarnation && !p.Inactive
}
