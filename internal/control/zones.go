package control

import (
	"maps"
	"slices"

	"ravenpond/internal/decide/clusterstate"
	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/zones"
	codec "ravenpond/internal/proto/clusterstate"
)

// evaluateInterval is the minimum time between two evaluations of the zones by the leader, ms.
const evaluateInterval = 100

// evaluateZones decides on the state of the zones and on transfers between them, and proposes the changes, if this process is the leader.
func (r *Runner) evaluateZones(now float64) {
	if !r.replica.IsLeader() {
		r.zones.Reset()
		return
	}
	if len(r.zoneConfig.Zones) == 0 || now < r.zonesEvaluatedAt+evaluateInterval {
		return
	}
	r.zonesEvaluatedAt = now
	state := r.replica.State()
	for _, p := range r.zones.Decide(now, state, r.zoneConfig.Zones, r.zoneConfig.Overrides) {
		r.log.Info().Str("mode", "zones").Str("zone", p.Zone).Stringer("is", state.Zone(p.Zone).State).Stringer("wanted", p.To).
			Str("cause", p.Reason).Msg("proposed a new zone state")
		r.propose(now, clusterstate.SetZoneState{Zone: p.Zone, SeenVersion: p.Version, State: p.To, Cause: p.Reason})
	}
	if transfers, ok := r.zones.Plan(now, state, r.zoneConfig.Zones, r.zoneConfig.Latency); ok {
		plan := clusterstate.SetPlan{}
		for _, t := range transfers {
			plan.Shares = append(plan.Shares, clusterstate.Share{From: t.From, To: t.To, Cores: t.Cores})
		}
		r.propose(now, plan)
	}
}

func (r *Runner) propose(now float64, change clusterstate.Change) {
	r.replica.Propose(func() (proposedAt float64, _ clusterstate.Change) { return now, change })
}

// Report sends this process's observations of the zones to the leader.
func (r *Runner) Report(summaries map[string]zones.Summary) {
	body := codec.AppendMessage(nil, &codec.Message{Kind: codec.MessageZoneReport})
	for _, zone := range slices.Sorted(maps.Keys(summaries)) {
		s := summaries[zone]
		body = codec.AppendZoneSummary(body, codec.ZoneSummary{Zone: zone, Nodes: s.Nodes, Reachable: s.Reachable, Capacity: s.Capacity, Used: s.Used})
	}
	r.Enqueue(func(replica *consensus.Replica) { replica.Report(body) })
}

// onZoneReport handles a member's report on the zones at the leader. A malformed report is dropped.
func (r *Runner) onZoneReport(from string, body []byte) {
	received, err := codec.ReadZoneSummaries(body)
	if err != nil {
		return
	}
	summaries := map[string]zones.Summary{}
	for _, s := range received {
		summaries[s.Zone] = zones.Summary{Nodes: s.Nodes, Reachable: s.Reachable, Capacity: s.Capacity, Used: s.Used}
	}
	r.zones.OnReport(r.environment.Now(), from, summaries)
}
