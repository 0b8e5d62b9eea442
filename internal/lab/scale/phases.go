package scale

import (
	"context"
	"fmt"
	"time"

	"ravenpond/internal/lab/scale/hollow"
	"ravenpond/internal/lab/scale/result"
)

// Scenarios.
const (
	Rest        = "rest"        // nothing is asked
	Starts      = "starts"      // starts are asked at a rate
	Churn       = "churn"       // and nodes restart and fail by a script
	Rack        = "rack"        // a rack of nodes is lost and comes back
	Zone        = "zone"        // a zone is lost and comes back
	Restart     = "restart"     // all schedulers are restarted at once
	Propagation = "propagation" // the list, the members and a verdict change
)

// StartsPerSecond is what a real process is asked for under load: its share of 30 of 2,200.
const StartsPerSecond = 73

// Times of phases.
const (
	changeTimeout   = 20 * time.Second
	verdictTimeout  = 30 * time.Second
	outage          = 4 * time.Second
	resettleTimeout = 60 * time.Second
)

// Phases gives the phases of a scenario by name.
func Phases(names []string) (phases []Phase, err error) {
	all := map[string]Phase{
		Rest:        {Scenario: Rest},
		Starts:      {Scenario: Starts, Starts: StartsPerSecond},
		Churn:       {Scenario: Churn, Starts: StartsPerSecond, During: churn},
		Rack:        {Scenario: Rack, Starts: StartsPerSecond, During: rackLost},
		Zone:        {Scenario: Zone, Starts: StartsPerSecond, During: zoneLost},
		Restart:     {Scenario: Restart, During: restartAll},
		Propagation: {Scenario: Propagation, During: propagation},
	}
	for _, name := range names {
		phase, ok := all[name]
		if !ok {
			return nil, fmt.Errorf("scenario %q: one of %v is expected", name, sorted(all))
		}
		phases = append(phases, phase)
	}
	return phases, nil
}

func since(name string, from, to float64) result.Reading {
	return result.Reading{Part: PartPropagation, Name: name, Unit: result.Milliseconds, Value: to - from}
}

// orderNodes gives an order to the nodes at places among all, or of a zone, and tells when the last process had done it.
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

// updateList has the list tell the nodes at places as gone, or as ready again.
func (r *Rig) updateList(first, last, availability int) {
	r.list.Change(first, last, func(e *hollow.Entry) { e.Availability = availability })
}

// propagation changes the list, the members and the verdict on a zone, and reads how long each takes to the last process. That
// the configuration changes while a process runs is not there: a process reads it at its start, but for the count of
// shards.
func propagation(ctx context.Context, r *Rig) ([]result.Reading, error) {
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

// listChange has the list tell a node more, and waits until each real process is connected to it.
func listChange(r *Rig) ([]result.Reading, error) {
	last := r.entries - 1
	told := float64(time.Now().UnixMicro()) / 1e3
	r.updateList(last, last+1, hollow.Ready)
	at, err := r.orderNodes(hollow.Order{Do: hollow.AwaitConnections, First: last, Last: last + 1, Count: r.Real, Within: ms(changeTimeout)})
	if err != nil {
		return nil, err
	}
	return []result.Reading{since("list", told, at)}, nil
}

// memberFailure takes a hollow scheduler away, and waits until all hold it for dead.
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
	return []result.Reading{since("members", stopped.At, last)}, nil
}

// zoneVerdict has a zone hang and come back, and waits for both verdicts.
func zoneVerdict(r *Rig) ([]result.Reading, error) {
	return r.loseZone(hollow.HangNodes, hollow.ResumeNodes)
}

// loseZone loses a zone that no real process stands in, waits until all hold it for closed, brings it back and waits until
// they hold it for open.
func (r *Rig) loseZone(lose, find hollow.Action) ([]result.Reading, error) {
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
	found, err := r.setZone(zone, hollow.FindZone, find)
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
	return []result.Reading{since("zone closed", lost, closed), since("zone connected", found, connected), since("zone open", found, open)}, nil
}

// setZone has nodes and hollow schedulers lose or find a zone, and tells when.
func (r *Rig) setZone(zone string, hears, nodes hollow.Action) (at float64, err error) {
	if _, err := r.schedulers.order(hollow.Order{Do: hears, Name: zone}); err != nil {
		return 0, err
	}
	return r.orderNodes(hollow.Order{Do: nodes, Name: zone})
}

// awaitVerdict waits until all schedulers hold a zone in a state, and the real ones send to such a part of it.
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

// rackLost takes a rack of nodes away at once and brings it back cold.
func rackLost(ctx context.Context, r *Rig) ([]result.Reading, error) {
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
	return []result.Reading{since("rack connected again", back, at)}, nil
}

// zoneLost takes all nodes of a zone away and brings them back cold.
func zoneLost(_ context.Context, r *Rig) ([]result.Reading, error) {
	return r.loseZone(hollow.StopNodes, hollow.ReturnNodes)
}

// restartAll kills all schedulers, hollow ones too, starts them again and reads how long it takes until each real process
// knows all its tasks, is connected to all nodes and knows all schedulers.
func restartAll(ctx context.Context, r *Rig) ([]result.Reading, error) {
	var tasks []float64
	for _, page := range r.scrapeAll(ctx) {
		tasks = append(tasks, min(float64(r.Sizes.RunningTasks), page.of("tries_held"))) // short tasks end meanwhile
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
		is   func(place int, page scrape) bool
	}{
		{"all tasks known", func(place int, page scrape) bool { return page.of("tries_held") >= tasks[place] }},
		{"all nodes connected", func(_ int, page scrape) bool {
			return page.of("connections", "kind", heldKind) >= r.connected()
		}},
		{"all schedulers known", func(_ int, page scrape) bool {
			return page.of("members", "state", "alive") >= float64(r.Sizes.Schedulers-1)
		}},
	}
	var readings []result.Reading
	for _, goal := range goals {
		at, err := r.awaitCounts(ctx, goal.is)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", goal.name, err)
		}
		readings = append(readings, since(goal.name, reply.At, at))
	}
	r.clients = nil // their connections ended with the processes
	return readings, r.connectClients(ctx)
}

// awaitCounts waits until the counts of all real processes fit, and tells when the last did.
func (r *Rig) awaitCounts(ctx context.Context, fits func(place int, page scrape) bool) (at float64, err error) {
	end := time.Now().Add(resettleTimeout)
	for _, p := range r.real {
		for {
			page, err := fetch(ctx, p.metricsAddress)
			if err != nil {
				return 0, err
			}
			if fits(p.place, page) {
				break
			}
			if time.Now().After(end) {
				return 0, fmt.Errorf("%s: %.0f tasks, %.0f nodes, %.0f schedulers: %w", p.name, page.of("tries_held"), page.of("connections", "kind", heldKind),
					page.of("members", "state", "alive"), errNotWithin)
			}
			time.Sleep(scrapeInterval)
		}
	}
	return float64(time.Now().UnixMicro()) / 1e3, nil
}

func ms(d time.Duration) float64 { return float64(d) / 1e6 }
