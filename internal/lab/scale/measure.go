package scale

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"ravenpond/internal/lab/scale/result"
)

// Parts and names of readings other than those of profiles, and the standard metrics that some are read from.
const (
	PartProcess     = "process"
	PartClients     = "clients"
	PartPropagation = "propagation"

	NameCPU              = "cpu"
	NameCPUPerAttempt    = "cpu per attempt"
	NameResident         = "resident"
	NameHeap             = "heap"
	NameDescriptors      = "descriptors"
	NameGoroutines       = "goroutines"
	NameConnections      = "connections"
	NameAttempts         = "attempts"
	NameTasks            = "tasks held"
	NameMessagesSent     = "messages sent"
	NameMessagesReceived = "messages received"
	NameBytesSent        = "bytes sent"
	NameBytesReceived    = "bytes received"
	NameP50, NameP99     = "start p50", "start p99"
	NameP999             = "start p99.9"
	NameAlive            = "others alive"
	NameServed           = "served"
	NameNotServed        = "not served"
	gaugeResident        = "process_resident_memory_bytes"
	gaugeHeap            = "go_memstats_heap_alloc_bytes"
	gaugeHeapInUse       = "go_memstats_heap_inuse_bytes"
	gaugeDescriptors     = "process_open_fds"
	gaugeGoroutines      = "go_goroutines"
)

// kinds are the kinds of connections, as the metrics name them.
var kinds = []string{"dialed", "taken", "list", "datagrams"}

// Phase is one measurement: its scenario, the rate of starts that clients request of each real process, and a function that runs
// meanwhile and may return readings of its own.
type Phase struct {
	Scenario string
	Starts   float64                                                     // per second
	During   func(ctx context.Context, r *Rig) ([]result.Reading, error) // may be nil
}

// Measure runs a phase: it warms up, measures, and returns a result for each real process.
func (r *Rig) Measure(ctx context.Context, phase Phase) ([]*result.Result, error) {
	stop, stopped := make(chan struct{}), sync.WaitGroup{}
	if phase.Starts > 0 {
		stopped.Go(func() {
			next := sendRequests(stop, r.clients, shortJob, phase.Starts*float64(r.Real), r.requested, 0, r.Sizes.Teams, r.random)
			r.requested = next
		})
	}
	results, err := r.measureWindow(ctx, phase)
	close(stop)
	stopped.Wait()
	return results, err
}

// measureWindow measures a phase, after the warm-up, while the load is running.
func (r *Rig) measureWindow(ctx context.Context, phase Phase) ([]*result.Result, error) {
	if err := pause(ctx, r.WarmUp); err != nil {
		return nil, err
	}
	r.tally.reset()
	before, began, err := r.scrapeAll(ctx), time.Now(), error(nil)
	var incarnations []int
	for _, p := range r.real {
		incarnations = append(incarnations, p.incarnation)
		if err := p.toggleProfile(true); err != nil {
			return nil, err
		}
	}
	var ownReadings []result.Reading
	if phase.During != nil {
		if ownReadings, err = phase.During(ctx, r); err != nil {
			return nil, fmt.Errorf("%s: %w", phase.Scenario, err)
		}
	}
	if err := pause(ctx, time.Until(began.Add(r.MeasureFor))); err != nil {
		return nil, err
	}
	seconds := time.Since(began).Seconds()
	after := r.scrapeAll(ctx)
	clients := r.clientReadings(phase)
	var results []*result.Result
	for i, p := range r.real {
		if before[i] == nil || after[i] == nil {
			return nil, fmt.Errorf("%s: could not read metrics before and after the measurement", p.name)
		}
		if p.incarnation != incarnations[i] { // the process restarted, so its counters began at zero
			before[i] = scrape{}
		}
		watched := p.profiling
		if err := p.toggleProfile(false); err != nil {
			return nil, err
		}
		res := r.result(phase, p, seconds)
		res.Readings = append(processReadings(before[i], after[i], seconds), clients...)
		res.Readings = append(res.Readings, ownReadings...)
		if watched {
			parts, err := profileReadings(p.profile, seconds)
			if err != nil {
				return nil, err
			}
			res.Readings = append(res.Readings, parts...)
		}
		results = append(results, res)
	}
	return results, nil
}

func pause(ctx context.Context, last time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(last):
		return nil
	}
}

// scrapeAll fetches the metrics of all real processes; the page of a process is nil if that failed.
func (r *Rig) scrapeAll(ctx context.Context) (pages []scrape) {
	for _, p := range r.real {
		page, err := fetchMetrics(ctx, p.metricsAddress)
		if err != nil {
			page = nil
		}
		pages = append(pages, page)
	}
	return pages
}

func (r *Rig) result(phase Phase, p *process, seconds float64) *result.Result {
	sizes := r.Sizes
	sizes.StartsPerSecond = phase.Starts
	scenario := phase.Scenario
	if r.Variant != "" {
		scenario += "-" + r.Variant
	}
	return &result.Result{
		Schema: result.Schema, Machine: describeMachine(), Commit: r.Commit, Seed: r.Seed, Scenario: scenario, Dimension: r.Dimension,
		Process: p.name, Run: r.Run, Sizes: sizes, Seconds: seconds,
	}
}

// processReadings returns readings of what a process used between two scrapes, and of what it holds at the second.
func processReadings(before, after scrape, seconds float64) (all []result.Reading) {
	add := func(part, name, unit string, value float64) {
		all = append(all, result.Reading{Part: part, Name: name, Unit: unit, Value: value})
	}
	cpu := after.value("cpu_seconds_total") - before.value("cpu_seconds_total")
	attempts := after.value("tries_total") - before.value("tries_total")
	add(PartProcess, NameCPU, result.Cores, cpu/seconds)
	add(PartProcess, NameAttempts, result.Attempts, attempts)
	if attempts > 0 {
		add(PartProcess, NameCPUPerAttempt, result.Microseconds, cpu*1e6/attempts)
	}
	add(PartProcess, NameResident, result.Bytes, after[gaugeResident])
	add(PartProcess, NameHeap, result.Bytes, after[gaugeHeap])
	add(PartProcess, "heap in use", result.Bytes, after[gaugeHeapInUse])
	add(PartProcess, NameDescriptors, result.Descriptors, after[gaugeDescriptors])
	add(PartProcess, NameGoroutines, result.Goroutines, after[gaugeGoroutines])
	add(PartProcess, NameTasks, result.Count, after.value("tries_held"))
	add(partMembers, NameAlive, result.Count, after.value("members", "state", "alive"))
	for _, kind := range kinds {
		add(kind, NameConnections, result.Connections, after.value("connections", "kind", kind))
		for _, flow := range []struct{ count, way, name, unit string }{
			{"traffic_messages_total", "sent", NameMessagesSent, result.MessagesRate},
			{"traffic_messages_total", "received", NameMessagesReceived, result.MessagesRate},
			{"traffic_bytes_total", "sent", NameBytesSent, result.BytesPerSec},
			{"traffic_bytes_total", "received", NameBytesReceived, result.BytesPerSec},
		} {
			labels := []string{"kind", kind, "way", flow.way}
			add(kind, flow.name, flow.unit, (after.value(flow.count, labels...)-before.value(flow.count, labels...))/seconds)
		}
	}
	return all
}

// clientReadings returns the outcomes and the latency of the requested starts, over all real processes.
func (r *Rig) clientReadings(phase Phase) []result.Reading {
	if phase.Starts == 0 {
		return nil
	}
	_, served, others := r.tally.counts()
	readings := []result.Reading{
		{Part: PartClients, Name: NameServed, Unit: result.Count, Value: float64(served)},
		{Part: PartClients, Name: NameNotServed, Unit: result.Count, Value: float64(others)},
	}
	for _, q := range []struct {
		name    string
		percent float64
	}{{NameP50, 50}, {NameP99, 99}, {NameP999, 99.9}} {
		readings = append(readings, result.Reading{Part: PartClients, Name: q.name, Unit: result.Milliseconds, Value: r.tally.quantileMs(q.percent)})
	}
	return readings
}

// sortedKeys returns the sorted keys of a map.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
