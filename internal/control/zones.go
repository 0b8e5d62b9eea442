package control

import (
	"maps"
	"slices"

	"ravenpond/internal/decide/clusterstate"
	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/zones"
	codec "ravenpond/internal/proto/clusterstate"
)

// evaluateInterval is the time between two evaluations of the zones by the leader, ms.
const evaluateInterval = 100

// evaluateZones has the leader decide on the zones, and propose the changes that follow.
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
			Str("cause", p.Reason).Msg("verdict proposed")
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

// Report sends to the leader what this process observes of the zones.
func (r *Runner) Report(summaries map[string]zones.Summary) {
	b := codec.AppendMessage(nil, &codec.Message{Kind: codec.MessageZoneReport})
	for _, zone := range slices.Sorted(maps.Keys(summaries)) {
		s := summaries[zone]
		b = codec.AppendZoneSummary(b, codec.ZoneSummary{Zone: zone, Nodes: s.Nodes, Reachable: s.Reachable, Capacity: s.Capacity, Used: s.Used})
	}
	r.Enqueue(func(replica *consensus.Replica) { replica.Report(b) })
}

// onZoneReport handles a report at the leader. A malformed one is dropped.
func (r *Runner) onZoneReport(from string, b []byte) {
	received, err := codec.ReadZoneSummaries(b)
	if err != nil {
		return
	}
	summaries := map[string]zones.Summary{}
	for _, s := range received {
		summaries[s.Zone] = zones.Summary{Nodes: s.Nodes, Reachable: s.Reachable, Capacity: s.Capacity, Used: s.Used}
	}
	r.zones.OnReport(r.environment.Now(), from, summaries)
}
