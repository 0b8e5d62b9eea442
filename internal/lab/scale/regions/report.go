package regions

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/google/renameio/v2"

	"ravenpond/internal/lab/scale/result"
)

// Scenario is the name of these runs in result files.
const Scenario = "regions-cut"

// Report is the outcome of a run.
type Report struct {
	Config  Config   `json:"config"`
	Minutes []Minute `json:"minutes"`
	Heal    Heal     `json:"heal"`
}

// WriteMinutes writes the whole report, with every reading of every process, to a file as JSON.
func (r *Report) WriteMinutes(path string) error {
	text, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode the report of cut regions: %w", err)
	}
	return renameio.WriteFile(path, append(text, '\n'), 0o644)
}

// Result converts the report to the format of the scale runs' results. For each phase it has the mean of each size over all
// processes at the last reading, the largest size at any process, and the traffic; and it has the times of the heal that were
// reached.
func (r *Report) Result(machine result.Machine, commit string) *result.Result {
	out := &result.Result{
		Schema: result.Schema, Machine: machine, Commit: commit, Seed: r.Config.Seed, Scenario: Scenario, Dimension: "schedulers",
		Process: "mean of all", Run: 1, Seconds: r.Config.Cut.Seconds(),
		Sizes: result.Sizes{Schedulers: r.Config.Processes, Zones: r.Config.Zones, Regions: r.Config.Regions, ConfigChangesPerDay: r.Config.CommandsPerDay},
	}
	add := func(part, name, unit string, value float64) {
		out.Readings = append(out.Readings, result.Reading{Part: part, Name: name, Unit: unit, Value: value})
	}
	for _, phase := range []Phase{Before, During, Healed} {
		minutes := r.phase(phase)
		if len(minutes) == 0 {
			continue
		}
		for s := range structures {
			unit := result.Count
			if s.IsBytes() {
				unit = result.Bytes
			}
			add(string(phase), s.String()+", mean at the end", unit, minutes[len(minutes)-1].mean(func(x *Reading) float64 { return float64(x.Sizes[s]) }))
			add(string(phase), s.String()+", most", unit, float64(largest(minutes, s)))
		}
		add(string(phase), "datagrams", result.MessagesRate, meanOver(minutes, func(x *Reading) float64 { return x.DatagramsPerSecond }))
		add(string(phase), "traffic", result.BytesPerSec, meanOver(minutes, func(x *Reading) float64 { return x.BytesPerSecond }))
	}
	for _, m := range r.moments() {
		if m.Reached {
			add("heal", m.name, result.Seconds, m.Seconds)
		}
	}
	return out
}

// namedMoment is a moment with the name of its condition.
type namedMoment struct {
	name string
	Moment
}

func (r *Report) moments() []namedMoment {
	moments := []namedMoment{{"members hold one view", r.Heal.Members}, {"one cluster state, leases valid", r.Heal.State}, {"all zones open", r.Heal.Zones}}
	if r.Config.Restart {
		moments = append(moments, namedMoment{"restarted process in the cluster state", r.Heal.Restarted})
	}
	return moments
}

// phase returns the readings of a phase.
func (r *Report) phase(phase Phase) (minutes []Minute) {
	for _, m := range r.Minutes {
		if m.Phase == phase {
			minutes = append(minutes, m)
		}
	}
	return minutes
}

// mean returns the mean of a value over all processes.
func (m *Minute) mean(of func(*Reading) float64) (mean float64) {
	for i := range m.Readings {
		mean += of(&m.Readings[i]) / float64(len(m.Readings))
	}
	return mean
}

func meanOver(minutes []Minute, of func(*Reading) float64) (mean float64) {
	for i := range minutes {
		mean += minutes[i].mean(of) / float64(len(minutes))
	}
	return mean
}

// WriteMarkdown writes a table of the sizes in the course of the run, the times of the heal and the violations. All figures are
// simulated.
func (r *Report) WriteMarkdown(w io.Writer) error {
	out := &lineWriter{w: w}
	columns := r.columns()
	out.cells("structure, most at any process", columns, func(c column) string { return c.name })
	out.rule(len(columns))
	for s := range structures {
		out.cells(s.String(), columns, func(c column) string { return fmt.Sprint(largest(c.minutes, s)) })
	}
	out.cells("all bytes, mean", columns, func(c column) string {
		return fmt.Sprintf("%.0f", meanOver(c.minutes, func(x *Reading) float64 { return float64(x.Total()) }))
	})
	out.cells("datagrams/s, mean", columns, func(c column) string {
		return fmt.Sprintf("%.1f", meanOver(c.minutes, func(x *Reading) float64 { return x.DatagramsPerSecond }))
	})
	out.cells("B/s, mean", columns, func(c column) string {
		return fmt.Sprintf("%.0f", meanOver(c.minutes, func(x *Reading) float64 { return x.BytesPerSecond }))
	})
	out.cells("leases valid, of all", columns, func(c column) string {
		return fmt.Sprintf("%.2f", meanOver(c.minutes, func(x *Reading) float64 {
			if x.LeaseValid {
				return 1
			}
			return 0
		}))
	})
	out.line("")
	for _, m := range r.moments() {
		if m.Reached {
			out.line("- %s: %.1f s after the heal", m.name, m.Seconds)
		} else {
			out.line("- %s: not within %.0f s after the heal", m.name, r.Config.Settle.Seconds())
		}
	}
	violations := r.Check()
	out.line("- violations of bounds: %d", len(violations))
	for _, v := range violations[:min(len(violations), maxPrinted)] {
		out.line("  - %s", v)
	}
	return out.err
}

const maxPrinted = 20 // violations

// column is a time range of a run.
type column struct {
	name    string
	minutes []Minute
}

// columns returns the last reading before the cut, the four quarters of the cut, and the last reading after the heal.
func (r *Report) columns() (columns []column) {
	last := func(minutes []Minute) []Minute { return minutes[max(0, len(minutes)-1):] }
	columns = append(columns, column{"before", last(r.phase(Before))})
	during := r.phase(During)
	for quarter := range 4 {
		from, to := quarter*len(during)/4, (quarter+1)*len(during)/4
		if from < to {
			name := fmt.Sprintf("cut, %.4g to %.4g min", r.Config.Cut.Minutes()*float64(quarter)/4, r.Config.Cut.Minutes()*float64(quarter+1)/4)
			columns = append(columns, column{name, during[from:to]})
		}
	}
	return append(columns, column{"healed, last", last(r.phase(Healed))})
}

// lineWriter writes lines until a write fails.
type lineWriter struct {
	w   io.Writer
	err error
}

func (l *lineWriter) line(format string, args ...any) {
	if l.err == nil {
		_, l.err = fmt.Fprintf(l.w, format+"\n", args...)
	}
}

func (l *lineWriter) cells(head string, columns []column, cell func(column) string) {
	text := "| " + head + " |"
	for _, c := range columns {
		text += " " + cell(c) + " |"
	}
	l.line("%s", text)
}

func (l *lineWriter) rule(columns int) {
	text := "| --- |"
	for range columns {
		text += " ---: |"
	}
	l.line("%s", text)
}
