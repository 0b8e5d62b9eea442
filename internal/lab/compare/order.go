package compare

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	"ravenpond/internal/engine"
	"ravenpond/internal/lab/sim"
)

// FaultClasses lists the classes of faults by which policies are ranked. A simulated day of a class has faults of its kinds alone.
var FaultClasses = []struct {
	Name  string
	Kinds []string // of faults; none: days without faults
}{
	{"calm", nil},
	{"more asks", []string{"flood"}},
	{"nodes hang", []string{"hang"}},
	{"answers lost", []string{"mute", "silence"}},
	{"errors", []string{"errors"}},
	{"list behind", []string{"list-behind", "list-away"}},
	{"drains", []string{"drain"}},
	{"restarts", []string{"restart", "lost"}},
	{"hall lost", []string{"hall"}},
	{"schedulers stop", []string{"kill", "pause"}},
}

// Ranking is the order of the policies on the simulated days of one class of faults.
type Ranking struct {
	Fault      string
	Score      []float64 // by policy: mean fraction of the requests served in time; a day with a rule violation counts as 0
	InTime     []float64 // by policy: mean fraction of the requests served in time, whether or not rules were violated
	Compliance []float64 // by policy: fraction of the days without a rule violation
	Names      []string  // of the policies by score, the best first
	Distinct   []bool    // by place: whether the policy is worse than the one before it, by the 95% interval of paired days
}

// scenarioWithFaults draws a simulated day with faults of the given kinds alone: faults of other kinds are left out, and further seeds are
// drawn until at least one fault is left.
func scenarioWithFaults(seed uint64, kinds []string, nodes int, load float64) sim.Script {
	for attempt := uint64(0); ; attempt++ {
		day := Scenario(seed+attempt*1e6, nodes, load, true)
		day.Faults = slices.DeleteFunc(day.Faults, func(f sim.Fault) bool { return !slices.Contains(kinds, f.Kind) })
		if len(kinds) == 0 || len(day.Faults) > 0 {
			return day
		}
	}
}

// Rank simulates the given number of days of each class of faults under every policy and ranks the policies. Up to the given number of
// workers run at a time.
func Rank(ctx context.Context, days, nodes int, load float64, workers int) (all []Ranking, err error) {
	var factories []engine.PolicyFactory
	for _, name := range Policies {
		p, err := newPolicy(name)
		if err != nil {
			return nil, err
		}
		factories = append(factories, p)
	}
	for _, class := range FaultClasses {
		figures := make([][]*Figures, len(Policies))
		for i := range figures {
			figures[i] = make([]*Figures, days)
		}
		var mu sync.Mutex
		var work sync.WaitGroup
		slots := make(chan struct{}, max(1, workers))
		for d := range days {
			for i, p := range factories {
				if ctx.Err() != nil {
					break
				}
				slots <- struct{}{}
				work.Go(func() {
					defer func() { <-slots }()
					f, runErr := run(scenarioWithFaults(uint64(d+1), class.Kinds, nodes, load), p)
					mu.Lock()
					defer mu.Unlock()
					if runErr != nil && err == nil {
						err = fmt.Errorf("%s, %s: %w", class.Name, Policies[i], runErr)
					}
					figures[i][d] = f
				})
			}
		}
		work.Wait()
		if err = cmp.Or(err, ctx.Err()); err != nil {
			return nil, err
		}
		all = append(all, rank(class.Name, figures))
	}
	return all, nil
}

// rank orders the policies by score and determines by paired days which neighbours in the order differ significantly.
func rank(fault string, figures [][]*Figures) Ranking {
	o := Ranking{Fault: fault, Score: make([]float64, len(figures)), InTime: make([]float64, len(figures)), Compliance: make([]float64, len(figures))}
	scores := make([][]float64, len(figures))
	for i, days := range figures {
		for _, f := range days {
			score := float64(f.InTime) / float64(max(1, f.Requests))
			o.InTime[i] += score / float64(len(days))
			if f.Violations == 0 {
				o.Compliance[i] += 1 / float64(len(days))
			} else {
				score = 0
			}
			scores[i] = append(scores[i], score)
			o.Score[i] += score / float64(len(days))
		}
	}
	places := make([]int, len(figures))
	for i := range places {
		places[i] = i
	}
	slices.SortStableFunc(places, func(x, y int) int { return cmp.Compare(o.Score[y], o.Score[x]) })
	for n, i := range places {
		o.Names = append(o.Names, Policies[i])
		distinct := false
		if n > 0 {
			var differences []float64
			for day := range scores[i] {
				differences = append(differences, scores[i][day]-scores[places[n-1]][day])
			}
			_, _, high := interval(differences)
			distinct = high < 0
		}
		o.Distinct = append(o.Distinct, distinct)
	}
	return o
}

// PrintRankings writes a table of the rankings. In the order, > stands where two policies differ significantly, = where they do not.
func PrintRankings(out io.Writer, all []Ranking) {
	fmt.Fprintf(out, "%-16s", "in time, rules kept")
	for _, name := range Policies {
		fmt.Fprintf(out, " %20s", name)
	}
	fmt.Fprintln(out, "  order by score: fraction in time, a day with a rule violation counts as 0")
	for _, o := range all {
		fmt.Fprintf(out, "%-19s", o.Fault)
		for i := range Policies {
			fmt.Fprintf(out, " %12.3f %6.0f%%", o.InTime[i], 100*o.Compliance[i])
		}
		var b strings.Builder
		for n, name := range o.Names {
			if n > 0 && o.Distinct[n] {
				b.WriteString(" > ")
			} else if n > 0 {
				b.WriteString(" = ")
			}
			b.WriteString(name)
		}
		fmt.Fprintf(out, "  %s\n", b.String())
	}
}
