package serve

import (
	"encoding/json"
	"time"

	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/membership"
)

// MembersFile is the name of the file in the state folder to which a scheduler writes its MembershipView.
const MembersFile = "members.json"

// MembershipView is what a scheduler knows about the other schedulers and the replicated cluster state, written for operators. The JSON keys
// are an interface.
type MembershipView struct {
	Name          string            `json:"Name"`
	Address       string            `json:"Address"`
	Isolation     string            `json:"Degree"`
	At            time.Time         `json:"At"`
	Incarnation   uint64            `json:"Life"`
	Health        int               `json:"Health"` // the detector's local health, from 0 (best) to 8
	Sharers       int               `json:"Share"`  // number of schedulers that share the slow start of nodes; 0: this one takes no part
	Permits       int               `json:"Leaves"` // number of members that grant this scheduler its lease to take part
	PermitsNeeded int               `json:"Needs"`  // number of grants that this scheduler needs for that lease
	NameTaken     bool              `json:"Taken"`  // whether another scheduler has the same name
	Stats         membership.Stats  `json:"Figures"`
	Members       []MemberView      `json:"Members"`
	ClusterState  *ClusterStateView `json:"Book,omitempty"`
}

// MemberView is what a scheduler knows about one of the others.
type MemberView struct {
	Name        string  `json:"Name"`
	Address     string  `json:"Address"`
	State       string  `json:"State"`
	ReportedBy  string  `json:"By"` // the member that reported the state
	Incarnation uint64  `json:"Life"`
	Version     uint64  `json:"Version"`
	InState     float64 `json:"Since"` // seconds in this state
	LastContact float64 `json:"Heard"` // seconds since the last contact, 0: never
}

// ClusterStateView is what a scheduler knows about the replicated cluster state.
type ClusterStateView struct {
	Version      uint64             `json:"Version"`
	Epoch        uint64             `json:"Epoch"`
	Digest       string             `json:"Digest"` // of the whole state
	LeaseSeconds float64            `json:"Sure"`   // how long the scheduler may still act on the state; below 0: it is in degraded mode
	IsVoter      bool               `json:"Steward"`
	IsLeader     bool               `json:"Leads"`
	Halted       string             `json:"Halted,omitempty"` // why the replica has stopped, empty if it has not
	Zones        map[string]string  `json:"Zones"`            // states of the zones by name
	ZoneShares   map[string]float64 `json:"Uses"`             // fraction of each zone's nodes that this scheduler uses
	SearchLevel  int                `json:"Level"`            // 0: the scheduler uses its own zone, 1: its region, 2: all zones
	Stats        consensus.Stats    `json:"Figures"`
}

// writeView writes the view to the state folder. Only polls call it.
func (m *clusterMembership) writeView() {
	now := m.env.Now()
	view := MembershipView{Name: m.config.Name, At: m.env.WallClock(), Sharers: m.slowStartSharers(now), Isolation: m.isolation.Degree().String()}
	m.withDetector(func(detector *membership.Detector) {
		view.Address, view.Incarnation, view.Health = m.runner.Address(), detector.Incarnation(), detector.Health()
		view.NameTaken, view.Stats = detector.HasNameConflict(), detector.Stats
		view.Permits, view.PermitsNeeded = detector.Grants(now)
		for _, member := range detector.All() {
			view.Members = append(view.Members, memberView(member, now))
		}
	})
	view.ClusterState = m.clusterControl.Load().view(now)
	b, err := json.MarshalIndent(view, "", " ")
	if err == nil {
		err = m.folder.WriteUnsynced(MembersFile, b)
	}
	if err != nil {
		m.log.Error().Str("mode", "members").Err(err).Msg("cannot write membership view")
	}
}

func memberView(member membership.Member, now float64) MemberView {
	view := MemberView{
		Name: member.Name, Address: member.Address, State: member.State.String(), ReportedBy: member.By,
		Incarnation: member.Incarnation, Version: member.Version, InState: (now - member.Since) / msPerSecond,
	}
	if member.LastContact > 0 {
		view.LastContact = (now - member.LastContact) / msPerSecond
	}
	return view
}

const msPerSecond = 1000
