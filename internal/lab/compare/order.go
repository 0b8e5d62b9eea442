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

// FaultClasses are the kinds of days that policies are put in order on: all faults of one sort, and no other.
var FaultClasses = []struct {
	Name  string
	Kinds []string // of faults; none: a calm day
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

// Ranking is how policies came out on the days of one trouble.
type Ranking struct {
	Fault      string
	Score      []float64 // by policy: part of the asks served in time; a day on which a rule was broken counts nothing
	InTime     []float64 // and the same without a look at the rules
	Compliance []float64 // part of the days on which every rule was kept
	Names      []string  // of the policies, the best first, as far as the days tell them apart
	Distinct   []bool    // that a policy is worse than the one before it, by paired days
}

// scenarioWithFaults draws a day of one trouble alone: faults of other kinds are left out, and seeds tried until some are left.
func scenarioWithFaults(seed uint64, kinds []string, nodes int, load float64) sim.Script {
	for try := uint64(0); ; try++ {
		day := Scenario(seed+try*1e6, nodes, load, true)
		day.Faults = slices.DeleteFunc(day.Faults, func(f sim.Fault) bool { return !slices.Contains(kinds, f.Kind) })
		if len(kinds) == 0 || len(day.Faults) > 0 {
			return day
		}
	}
}

// Rank plays so many days of each trouble with every policy and puts them in order.
func Rank(ctx context.Context, days, nodes int, load float64, workers int) (all []Ranking, err error) {
	var made []engine.PolicyFactory
	for _, name := range Policies {
		p, err := newPolicy(name)
		if err != nil {
			return nil, err
		}
		made = append(made, p)
	}
	for _, tr := range FaultClasses {
		got := make([][]*Figures, len(Policies))
		for i := range got {
			got[i] = make([]*Figures, days)
		}
		var mu sync.Mutex
		var work sync.WaitGroup
		room := make(chan struct{}, max(1, workers))
		for d := range days {
			for i, p := range made {
				if ctx.Err() != nil {
					break
				}
				room <- struct{}{}
				work.Go(func() {
					defer func() { <-room }()
					f, failed := run(scenarioWithFaults(uint64(d+1), tr.Kinds, nodes, load), p)
					mu.Lock()
					defer mu.Unlock()
					if failed != nil && err == nil {
						err = fmt.Errorf("%s, %s: %w", tr.Name, Policies[i], failed)
					}
					got[i][d] = f
				})
			}
		}
		work.Wait()
		if err = cmp.Or(err, ctx.Err()); err != nil {
			return nil, err
		}
		all = append(all, rank(tr.Name, got))
	}
	return all, nil
}

// rank puts the policies in order by what they served in time, and tells by paired days which places are certain.
func rank(trouble string, got [][]*Figures) Ranking {
	o := Ranking{Fault: trouble, Score: make([]float64, len(got)), InTime: make([]float64, len(got)), Compliance: make([]float64, len(got))}
	worth := make([][]float64, len(got))
	for i, days := range got {
		for _, f := range days {
			g := float64(f.InTime) / float64(max(1, f.Requests))
			o.InTime[i] += g / float64(len(days))
			if f.Violations == 0 {
				o.Compliance[i] += 1 / float64(len(days))
			} else {
				g = 0
			}
			worth[i] = append(worth[i], g)
			o.Score[i] += g / float64(len(days))
		}
	}
	places := make([]int, len(got))
	for i := range places {
		places[i] = i
	}
	slices.SortStableFunc(places, func(x, y int) int { return cmp.Compare(o.Score[y], o.Score[x]) })
	for n, i := range places {
		o.Names = append(o.Names, Policies[i])
		told := false
		if n > 0 {
			var d []float64
			for day := range worth[i] {
				d = append(d, worth[i][day]-worth[places[n-1]][day])
			}
			_, _, high := interval(d)
			told = high < 0
		}
		o.Distinct = append(o.Distinct, told)
	}
	return o
}

// PrintRankings writes the orders: > where the days tell two policies apart, = where they do not.
func PrintRankings(out io.Writer, all []Ranking) {
	fmt.Fprintf(out, "%-16s", "in time, rules kept")
	for _, name := range Policies {
		fmt.Fprintf(out, " %20s", name)
	}
	fmt.Fprintln(out, "  order by worth: in time, a day with a broken rule counts nothing")
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
