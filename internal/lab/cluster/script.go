package cluster

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Step is a line of a script: a fault that hits some schedulers at a time, for a while.
type Step struct {
	At, Duration time.Duration
	Kind         string
	Schedulers   []int // that it hits, empty: all
	Size         float64
}

// stepKinds are the kinds of steps, and what their size means.
var stepKinds = map[string]string{
	"kill":      "they are killed, and started again after the duration",
	"stop":      "their processes are paused",
	"part":      "they are cut off from all schedulers that are not named",
	"deaf":      "the first named receives nothing from the second",
	"lossy":     "the size is the fraction of datagrams to and from them that is lost",
	"slow":      "the size is the added delay in ms of datagrams from them",
	"list-cut":  "nothing passes between them and the node list; what was sent arrives afterwards",
	"list-slow": "the size is the added delay in ms between them and the node list",
	"node-cut":  "nothing passes between them and a fraction of the nodes, the size",
	"node-slow": "the size is the added delay in ms from a tenth of the nodes to them",
	"trickle":   "the size is the bytes per second that pass in each direction between them and a tenth of the nodes",
	"reset":     "all their connections are reset, and again every 250 ms for the duration",
	"zone":      "no scheduler reaches the nodes of a zone, the size is its number; it names no scheduler",
	"cold":      "a fraction of all nodes, the size, crashes and restarts cold; it names no scheduler",
}

// NeedsRelays reports whether steps need Config.Relays.
func NeedsRelays(steps []Step) bool {
	return slices.ContainsFunc(steps, func(s Step) bool {
		return strings.HasPrefix(s.Kind, "list-") || strings.HasPrefix(s.Kind, "node-") || s.Kind == "trickle" || s.Kind == "reset" || s.Kind == "zone"
	})
}

// Parse reads a script of lines `MS KIND FOR-MS SIZE [NUMBERS ...]`; those that begin with # are comments. Schedulers are numbered from 0;
// 3-7 is a range, and 40% is that percentage of all schedulers, counted from the last.
func Parse(in io.Reader, schedulers int) (steps []Step, err error) {
	lines := bufio.NewScanner(in)
	for n := 1; lines.Scan(); n++ {
		f := strings.Fields(lines.Text())
		if len(f) == 0 || f[0][0] == '#' {
			continue
		}
		s := Step{}
		var at, duration float64
		if len(f) >= 4 {
			s.Kind = f[1]
			_, err = fmt.Sscan(f[0]+" "+f[2]+" "+f[3], &at, &duration, &s.Size)
		}
		if len(f) < 4 || err != nil || stepKinds[s.Kind] == "" || at < 0 || duration < 0 {
			return nil, fmt.Errorf("script, line %d: want MS KIND FOR-MS SIZE [NUMBERS ...]", n)
		}
		s.At, s.Duration = time.Duration(at*1e6), time.Duration(duration*1e6)
		for _, field := range f[4:] {
			from, to, err := schedulerRange(field, schedulers)
			if err != nil || from < 0 || to >= schedulers || from > to {
				return nil, fmt.Errorf("script, line %d: %q: want numbers from 0 to %d", n, field, schedulers-1)
			}
			for i := from; i <= to; i++ {
				s.Schedulers = append(s.Schedulers, i)
			}
		}
		if s.Kind == "deaf" && len(s.Schedulers) != 2 {
			return nil, fmt.Errorf("script, line %d: deaf needs two scheduler numbers", n)
		}
		steps = append(steps, s)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps, lines.Err()
}

func schedulerRange(field string, schedulers int) (from, to int, err error) {
	if percent, ok := strings.CutSuffix(field, "%"); ok {
		n, err := strconv.Atoi(percent)
		return schedulers - max(1, n*schedulers/100), schedulers - 1, err
	}
	a, b, isRange := strings.Cut(field, "-")
	if from, err = strconv.Atoi(a); err != nil || !isRange {
		return from, from, err
	}
	to, err = strconv.Atoi(b)
	return from, to, err
}

// Play plays a script on the rig, and returns when its last step is over.
func (r *Rig) Play(ctx context.Context, steps []Step, logf func(format string, args ...any)) error {
	began := time.Now()
	r.scriptFrom = r.testbed.Now()
	defer func() { r.scriptUntil = r.testbed.Now() }()
	var ends time.Duration
	for _, s := range steps {
		if err := wait(ctx, began.Add(s.At)); err != nil {
			return err
		}
		logf("%6.1f s %s %v for %s", time.Since(began).Seconds(), s.Kind, s.Schedulers, s.Duration)
		r.inject(s)
		ends = max(ends, s.At+s.Duration)
	}
	return wait(ctx, began.Add(ends))
}

func wait(ctx context.Context, until time.Time) error {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// slowNodes is the fraction of nodes that node-slow and trickle hit.
const slowNodes = 0.1

// resetInterval is the time between two resets of a step.
const resetInterval = 250 * time.Millisecond

// injection is a step that is injected.
type injection struct {
	*Rig
	Step
	hit []int // schedulers
}

// injectors inject each kind of step, and schedule its end.
var injectors = map[string]func(*injection){
	"kill": (*injection).kill,
	"stop": (*injection).pause,
	"part": func(in *injection) {
		in.linkFault(func(i, j int) bool { return in.hits(i) != in.hits(j) }, DatagramLink{Cut: true})
	},
	"deaf": func(in *injection) {
		in.linkFault(func(i, j int) bool { return i == in.hit[1] && j == in.hit[0] }, DatagramLink{Cut: true})
	},
	"lossy": func(in *injection) {
		in.linkFault(func(i, j int) bool { return in.hits(i) || in.hits(j) }, DatagramLink{Loss: in.Size})
	},
	"slow": func(in *injection) {
		in.linkFault(func(i, _ int) bool { return in.hits(i) }, DatagramLink{Delay: in.delay()})
	},
	"list-cut": func(in *injection) { in.routeFault([]string{"list"}, Route{Cut: true}, Route{Cut: true}) },
	"list-slow": func(in *injection) {
		in.routeFault([]string{"list"}, Route{Delay: in.delay()}, Route{Delay: in.delay()})
	},
	"node-cut":  func(in *injection) { in.routeFault(in.firstNodes(in.Size), Route{Cut: true}, Route{Cut: true}) },
	"node-slow": func(in *injection) { in.routeFault(in.firstNodes(slowNodes), Route{}, Route{Delay: in.delay()}) },
	"trickle": func(in *injection) {
		slow := Route{BytesPerSecond: int(in.Size)}
		in.routeFault(in.firstNodes(slowNodes), slow, slow)
	},
	"reset": (*injection).reset,
	"zone":  (*injection).isolate,
	"cold":  func(in *injection) { in.CrashNodes(in.Size, in.Duration) },
}

// inject injects a step, and schedules its end.
func (r *Rig) inject(s Step) {
	injected := &injection{Rig: r, Step: s, hit: s.Schedulers}
	if len(injected.hit) == 0 {
		for i := range r.processes {
			injected.hit = append(injected.hit, i)
		}
	}
	injectors[s.Kind](injected)
}

// hits reports whether the step hits a scheduler.
func (in *injection) hits(i int) bool { return slices.Contains(in.hit, i) }

// delay is the step's size, in ms, as a duration.
func (in *injection) delay() time.Duration { return time.Duration(in.Size * 1e6) }

func (in *injection) kill() {
	for _, i := range in.hit {
		in.KillScheduler(i)
		in.runAfter(in.Duration, func() { _ = in.StartScheduler(i) }) // A scheduler that does not start is found missing by those who wait for convergence.
	}
}

func (in *injection) pause() {
	for _, i := range in.hit {
		in.PauseScheduler(i, true)
		in.runAfter(in.Duration, func() { in.PauseScheduler(i, false) })
	}
}

func (in *injection) reset() {
	for at := time.Duration(0); at <= in.Duration; at += resetInterval {
		in.runAfter(at, func() {
			for _, i := range in.hit {
				in.ResetConnections(i)
			}
		})
	}
}

func (in *injection) isolate() {
	zone := in.zoneOf(int(in.Size))
	in.IsolateZone(zone, true)
	in.runAfter(in.Duration, func() { in.IsolateZone(zone, false) })
}

// linkFault sets datagram links between schedulers for the step's duration.
func (in *injection) linkFault(hits func(from, to int) bool, faulty DatagramLink) {
	set := func(l DatagramLink) {
		for i := range in.processes {
			for j := range in.processes {
				if i != j && hits(i, j) {
					in.SetDatagramLink(i, j, l)
				}
			}
		}
	}
	set(faulty)
	in.runAfter(in.Duration, func() { set(DatagramLink{}) })
}

// routeFault sets routes between the schedulers that the step hits and other parties for its duration.
func (in *injection) routeFault(parties []string, there, back Route) {
	set := func(there, back Route) {
		for _, i := range in.hit {
			for _, party := range parties {
				in.SetRoute(i, party, there, back)
			}
		}
	}
	set(there, back)
	in.runAfter(in.Duration, func() { set(Route{}, Route{}) })
}

// firstNodes returns the names of the first nodes, a fraction of all.
func (r *Rig) firstNodes(fraction float64) (names []string) {
	for i := range r.nodes {
		if float64(i) < fraction*float64(len(r.nodes)) {
			names = append(names, strconv.Itoa(int(r.nodes[i].ID)))
		}
	}
	return names
}
