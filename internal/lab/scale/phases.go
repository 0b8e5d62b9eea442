package scale

import (
	"context"
	"fmt"
	"time"

	"ravenpond/internal/lab/scale/hollow"
	"ravenpond/internal/lab/scale/result"
)

// Names of scenarios.
const (
	Rest        = "rest"        // no requests
	Starts      = "starts"      // clients request starts at a rate
	Churn       = "churn"       // as Starts, while nodes restart and fail by a script
	Rack        = "rack"        // as Starts, while a rack of nodes is lost and comes back
	Zone        = "zone"        // as Starts, while a zone is lost and comes back
	Restart     = "restart"     // all schedulers are restarted at once
	Propagation = "propagation" // the node list, the members and the verdict on a zone change
)

// StartsPerSecond is the rate of starts requested of a real process under load: its share of 2,200 per second over 30 schedulers.
const StartsPerSecond = 73

// Durations in phases.
const (
	changeTimeout   = 20 * time.Second
	verdictTimeout  = 30 * time.Second
	outage          = 4 * time.Second
	resettleTimeout = 60 * time.Second
)

// Phases returns the phases of scenarios by their names.
func Phases(names []string) (phases []Phase, err error) {
	all := map[string]Phase{
		Rest:        {Scenario: Rest},
		Starts:      {Scenario: Starts, Starts: StartsPerSecond},
		Churn:       {Scenario: Churn, Starts: StartsPerSecond, During: injectChurn},
		Rack:        {Scenario: Rack, Starts: StartsPerSecond, During: loseRack},
		Zone:        {Scenario: Zone, Starts: StartsPerSecond, During: loseNodesOfZone},
		Restart:     {Scenario: Restart, During: restartSchedulers},
		Propagation: {Scenario: Propagation, During: measurePropagation},
	}
	for _, name := range names {
		phase, ok := all[name]
		if !ok {
			return nil, fmt.Errorf("unknown scenario %q, expected one of %v", name, sortedKeys(all))
		}
		phases = append(phases, phase)
	}
	return phases, nil
}

func elapsed(name string, from, to float64) result.Reading {
	return result.Reading{Part: PartPropagation, Name: name, Unit: result.Milliseconds, Value: to - from}
}

// orderNodes sends an order to the nodes in a range of places, or to those of a zone, and returns when the last hollow process had
// carried it out, in unix ms.
func (r *Rig) orderNodes(order hollow.Order) (at float64, err error) {
	for i, c := range r.nodes {
		local := order
		if order.Name == "" {
			first := i * r.nodesPerChild()
			local.First, local.Last = max(0, order.First-first), min(r.nodesPerChild(), order.Last-first)
			if local.Last <= local.First {
				continue
			}
		}
		reply, err := c.order(local)
		if err != nil {
			return 0, err
		}
		at = max(at, reply.At)
	}
	return at, nil
}

// updateList sets the availability of a range of nodes in the node list.
func (r *Rig) updateList(first, last, availability int) {
	r.list.Change(first, last, func(e *hollow.Entry) { e.Availability = availability })
}

// measurePropagation changes the node list, the members and the verdict on a zone, and measures how long each change takes to reach the
// last process. It does not change the configuration, because a process reads that only at its start, except for the number of
// shards.
func measurePropagation(ctx context.Context, r *Rig) ([]result.Reading, error) {
	var readings []result.Reading
	for _, step := range []func(*Rig) ([]result.Reading, error){listChange, memberFailure, zoneVerdict} {
		some, err := step(r)
		if err != nil {
			return nil, err
		}
		readings = append(readings, some...)
	}
	return readings, ctx.Err()
}

// listChange makes one more node of the node list ready and waits until each real process is connected to it.
func listChange(r *Rig) ([]result.Reading, error) {
	last := r.entries - 1
	changedAt := float64(time.Now().UnixMicro()) / 1e3
	r.updateList(last, last+1, hollow.Ready)
	at, err := r.orderNodes(hollow.Order{Do: hollow.AwaitConnections, First: last, Last: last + 1, Count: r.Real, Within: ms(changeTimeout)})
	if err != nil {
		return nil, err
	}
	return []result.Reading{elapsed("list", changedAt, at)}, nil
}

// memberFailure stops a hollow scheduler and waits until all others consider it dead.
func memberFailure(r *Rig) ([]result.Reading, error) {
	gone := hollow.SchedulerName(r.Sizes.Schedulers - r.Real - 1)
	stopped, err := r.schedulers.order(hollow.Order{Do: hollow.StopMember})
	if err != nil {
		return nil, err
	}
	known, err := r.schedulers.order(hollow.Order{Do: hollow.AwaitMember, Name: gone, State: "dead", Within: ms(changeTimeout)})
	if err != nil {
		return nil, err
	}
	last := known.At
	for _, p := range r.real {
		at, err := p.awaitLog(changeTimeout, stopped.At, func(l logLine) bool { return l.Mode == "members" && l.Member == gone && l.Is == "dead" })
		if err != nil {
			return nil, err
		}
		last = max(last, at)
	}
	return []result.Reading{elapsed("members", stopped.At, last)}, nil
}

// zoneVerdict makes a zone hang and come back, and waits for both verdicts.
func zoneVerdict(r *Rig) ([]result.Reading, error) {
	return r.loseZone(hollow.HangNodes, hollow.ResumeNodes)
}

// loseZone takes away the zone with the highest number, waits until all schedulers consider it closed, brings it back and waits
// until they consider it open.
func (r *Rig) loseZone(lose, restore hollow.Action) ([]result.Reading, error) {
	zone := hollow.ZoneName(r.Sizes.Zones - 1)
	lost, err := r.setZone(zone, hollow.LoseZone, lose)
	if err != nil {
		return nil, err
	}
	closed, err := r.awaitVerdict(zone, "closed", lost, func(part float64) bool { return part == 0 })
	if err != nil {
		return nil, err
	}
	time.Sleep(outage)
	found, err := r.setZone(zone, hollow.FindZone, restore)
	if err != nil {
		return nil, err
	}
	connected, err := r.orderNodes(hollow.Order{Do: hollow.AwaitConnections, Name: zone, Count: r.Real, Within: ms(resettleTimeout)})
	if err != nil {
		return nil, err
	}
	open, err := r.awaitVerdict(zone, "open", found, func(part float64) bool { return part == 1 })
	if err != nil {
		return nil, err
	}
	return []result.Reading{elapsed("zone closed", lost, closed), elapsed("zone connected", found, connected), elapsed("zone open", found, open)}, nil
}

// setZone makes the hollow schedulers and the nodes lose or regain a zone, and returns when that was done, in unix ms.
func (r *Rig) setZone(zone string, schedulersAction, nodesAction hollow.Action) (at float64, err error) {
	if _, err := r.schedulers.order(hollow.Order{Do: schedulersAction, Name: zone}); err != nil {
		return 0, err
	}
	return r.orderNodes(hollow.Order{Do: nodesAction, Name: zone})
}

// awaitVerdict waits until all hollow schedulers consider a zone to be in a state, and until the share of requests that each real
// one sends to it, according to its log, satisfies a condition. It returns when the last did, in unix ms.
func (r *Rig) awaitVerdict(zone, state string, from float64, part func(float64) bool) (last float64, err error) {
	reply, err := r.schedulers.order(hollow.Order{Do: hollow.AwaitZone, Name: zone, State: state, Within: ms(verdictTimeout)})
	if err != nil {
		return 0, err
	}
	last = reply.At
	for _, p := range r.real {
		at, err := p.awaitLog(verdictTimeout, from, func(l logLine) bool {
			sends, ok := l.Parts[zone]
			return l.Mode == "zones" && ok && part(sends)
		})
		if err != nil {
			return 0, err
		}
		last = max(last, at)
	}
	return last, nil
}

// loseRack stops a rack of nodes at once and brings it back cold.
func loseRack(ctx context.Context, r *Rig) ([]result.Reading, error) {
	rack := hollow.RackSize(r.Sizes.Nodes, r.Sizes.Zones)
	if _, err := r.orderNodes(hollow.Order{Do: hollow.StopNodes, Last: rack}); err != nil {
		return nil, err
	}
	r.updateList(0, rack, hollow.Gone)
	if err := pause(ctx, outage); err != nil {
		return nil, err
	}
	back, err := r.orderNodes(hollow.Order{Do: hollow.ReturnNodes, Last: rack})
	if err != nil {
		return nil, err
	}
	r.updateList(0, rack, hollow.Ready)
	at, err := r.orderNodes(hollow.Order{Do: hollow.AwaitConnections, Last: rack, Count: r.Real, Within: ms(resettleTimeout)})
	if err != nil {
		return nil, err
	}
	return []result.Reading{elapsed("rack connected again", back, at)}, nil
}

// loseNodesOfZone stops all nodes of a zone and brings them back cold.
func loseNodesOfZone(_ context.Context, r *Rig) ([]result.Reading, error) {
	return r.loseZone(hollow.StopNodes, hollow.ReturnNodes)
}

// restartSchedulers kills all schedulers, including the hollow ones, starts them again and measures how long it takes until each real
// process knows all its tasks, is connected to all nodes and knows all schedulers.
func restartSchedulers(ctx context.Context, r *Rig) ([]result.Reading, error) {
	var tasks []float64
	for _, page := range r.scrapeAll(ctx) {
		tasks = append(tasks, min(float64(r.Sizes.RunningTasks), page.value("tries_held"))) // tasks of short jobs end meanwhile, so only long-running tasks are expected
	}
	for _, p := range r.real {
		p.kill()
	}
	reply, err := r.schedulers.order(hollow.Order{Do: hollow.Restart})
	if err != nil {
		return nil, err
	}
	for _, p := range r.real {
		if err := p.start(ctx); err != nil {
			return nil, err
		}
	}
	goals := []struct {
		name string
		met  func(index int, page scrape) bool
	}{
		{"all tasks known", func(index int, page scrape) bool { return page.value("tries_held") >= tasks[index] }},
		{"all nodes connected", func(_ int, page scrape) bool {
			return page.value("connections", "kind", nodeConnectionKind) >= r.connected()
		}},
		{"all schedulers known", func(_ int, page scrape) bool {
			return page.value("members", "state", "alive") >= float64(r.Sizes.Schedulers-1)
		}},
	}
	var readings []result.Reading
	for _, goal := range goals {
		at, err := r.awaitMetrics(ctx, goal.met)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", goal.name, err)
		}
		readings = append(readings, elapsed(goal.name, reply.At, at))
	}
	r.clients = nil // the connections ended with the processes
	return readings, r.connectClients(ctx)
}

// awaitMetrics waits until the metrics of all real processes satisfy a condition, and returns when the last did, in unix ms.
func (r *Rig) awaitMetrics(ctx context.Context, fits func(index int, page scrape) bool) (at float64, err error) {
	end := time.Now().Add(resettleTimeout)
	for _, p := range r.real {
		for {
			page, err := fetchMetrics(ctx, p.metricsAddress)
			if err != nil {
				return 0, err
			}
			if fits(p.index, page) {
				break
			}
			if time.Now().After(end) {
				return 0, fmt.Errorf("%s: %.0f tasks held, %.0f nodes connected, %.0f other schedulers alive: %w", p.name, page.value("tries_held"), page.value("connections", "kind", nodeConnectionKind),
					page.value("members", "state", "alive"), errTimeout)
			}
			time.Sleep(scrapeInterval)
		}
	}
	return float64(time.Now().UnixMicro()) / 1e3, nil
}

func ms(d time.Duration) float64 { return float64(d) / 1e6 }
