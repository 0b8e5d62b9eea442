package calendar

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var monday = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

// fleet is three zones of eight nodes each, one of a kind "rare" in the first and the second.
func fleet() (all []Node) {
	for i := range 24 {
		n := Node{
			ID: fmt.Sprintf("n%02d", i), Zone: fmt.Sprintf("z%d", i/8), Cell: fmt.Sprintf("c%d", i/4), Kind: "plain",
			Cores: 10, Memory: 20,
		}
		if i == 0 || i == 12 {
			n.Kind = "rare"
		}
		all = append(all, n)
	}
	return all
}

var limits = Limits{Fleet: 0.25, Zone: 0.5, Kind: 0.5, MaxWarmingUp: 6, WarmUp: 10 * time.Minute, LoadMargin: 1.2, ClockGuard: 10 * time.Second}

func at(day, h, m int) time.Time {
	return monday.AddDate(0, 0, day).Add(time.Duration(h)*time.Hour + time.Duration(m)*time.Minute)
}

func win(id, place string, start time.Time, slack time.Duration, priority int) Window {
	reach := Cell
	if strings.HasPrefix(place, "n") {
		reach = OneNode
	} else if strings.HasPrefix(place, "z") {
		reach = Zone
	}
	return Window{ID: id, Scope: reach, Target: place, Start: start, Duration: 2 * time.Hour, Slack: slack, Priority: priority}
}

// verdictCase is a calendar and the verdicts on its occurrences.
type verdictCase struct {
	name    string
	cal     Calendar
	load    func(*Load)
	want    string // window, outcome and minutes late, in order of nominal start
	because string
}

var verdictCases = []verdictCase{
	{"one", Calendar{Windows: []Window{win("a", "c0", at(0, 10, 0), 0, 0)}}, nil, "a kept 0", ""},
	{
		"two that are too much for their zone",
		Calendar{Windows: []Window{
			win("a", "c0", at(0, 10, 0), 0, 0), win("b", "c1", at(0, 11, 0), 0, 0),
		}},
		nil,
		"a kept 0, b refused 0", "33% of the fleet would be out",
	},
	{
		"the later one has slack",
		Calendar{Windows: []Window{
			win("a", "c0", at(0, 10, 0), 0, 0), win("b", "c1", at(0, 11, 0), 3*time.Hour, 0),
		}},
		nil,
		"a kept 0, b postponed 75", "33% of the fleet would be out",
	},
	{
		"the later one has priority",
		Calendar{Windows: []Window{
			win("a", "c0", at(0, 10, 0), 4*time.Hour, 0), win("b", "c1", at(0, 11, 0), 0, 5),
		}},
		nil,
		"a postponed 195, b kept 0", "33% of the fleet would be out",
	},
	{
		"back to back, closer than the guard",
		Calendar{Windows: []Window{
			win("a", "c0", at(0, 10, 0), 0, 0), win("b", "c1", at(0, 12, 0), time.Hour, 0),
		}},
		nil,
		"a kept 0, b postponed 15", "",
	},
	{
		"five at once",
		Calendar{Windows: []Window{
			win("a", "c0", at(0, 10, 0), 0, 0), win("b", "c2", at(0, 10, 0), 0, 0),
			win("c", "c4", at(0, 10, 0), 0, 0), win("d", "c1", at(0, 10, 0), 9*time.Hour, 0), win("e", "c3", at(0, 10, 0), 0, 9),
		}},
		nil,
		"a refused 0, b refused 0, c refused 0, d postponed 135, e kept 0", "of the fleet would be out",
	},
	{
		"the last of a kind",
		Calendar{Windows: []Window{
			win("a", "n00", at(0, 10, 0), 0, 0), win("b", "n12", at(0, 10, 0), 0, 0),
		}},
		nil,
		"a kept 0, b refused 0", "100% of machine kind rare",
	},
	{
		"on a deadline",
		Calendar{
			Windows:   []Window{win("a", "c0", at(6, 20, 0), 5*time.Hour, 0)},
			Protected: []ProtectedTime{{ID: "contest", Start: at(6, 21, 0), Duration: time.Hour, Lead: 2 * time.Hour, Tail: 30 * time.Minute}},
		},
		nil,
		"a postponed 165", "contest is protected from Sun 8 Mar 19:00",
	},
	{"no room at that hour", Calendar{Windows: []Window{win("a", "c0", at(0, 10, 0), 3*time.Hour, 0)}}, func(l *Load) {
		for i := range 24 * 7 {
			part := 0.3
			if i == 11 {
				part = 0.8
			}
			l.Add(monday.Add(time.Duration(i)*time.Hour), part, 0.3)
		}
	}, "a postponed 135", "on Mon 2 Mar 11:00 usually"},
	{
		"too many cold at once",
		Calendar{Windows: []Window{
			win("a", "c0", at(0, 10, 0), 0, 0), {ID: "b", Scope: Cell, Target: "c2", Start: at(0, 11, 0), Duration: time.Hour},
		}},
		nil,
		"a kept 0, b refused 0", "of the fleet",
	},
	{"a place that is not there", Calendar{Windows: []Window{win("a", "c99", at(0, 10, 0), 0, 0)}}, nil, "a kept 0", ""},
	{"cancelled", Calendar{Windows: []Window{{
		ID: "a", Scope: Cell, Target: "c0", Start: at(0, 10, 0), Duration: time.Hour,
		Rule: "FREQ=DAILY;COUNT=3", Exceptions: []time.Time{at(1, 10, 0)},
	}}}, nil, "a kept 0, a kept 0", ""},
}

func TestVerdicts(t *testing.T) {
	for _, c := range verdictCases {
		t.Run(c.name, func(t *testing.T) {
			if err := c.cal.Check(); err != nil {
				t.Fatal(err)
			}
			var load LoadEstimate
			if c.load != nil {
				measured := &Load{}
				c.load(measured)
				load = measured
			}
			var got, why []string
			for _, v := range Plan(&c.cal, fleet(), limits, load, monday, monday.AddDate(0, 0, 14)) {
				late := 0.0
				if v.Outcome != Refused {
					late = v.Start.Sub(v.ScheduledStart).Minutes()
				}
				got = append(got, fmt.Sprintf("%s %s %.0f", v.Window, v.Outcome, late))
				why = append(why, v.Reason)
			}
			if s := strings.Join(got, ", "); s != c.want || !strings.Contains(strings.Join(why, "; "), c.because) {
				t.Errorf("got %q because %q\nwant %q because %q", s, why, c.want, c.because)
			}
		})
	}
}

func TestZone(t *testing.T) {
	l := limits
	l.Fleet = 1
	cal := Calendar{Windows: []Window{win("a", "c0", at(0, 10, 0), 0, 0), win("b", "c1", at(0, 11, 0), 0, 0)}}
	if v := Plan(&cal, fleet(), l, nil, monday, monday.AddDate(0, 0, 7)); !strings.Contains(v[1].Reason, "100% of zone z0 would be out") {
		t.Errorf("%+v", v)
	}
}

func TestColdBack(t *testing.T) {
	l := limits
	l.Fleet, l.Zone = 1, 1
	cal := Calendar{Windows: []Window{win("a", "c0", at(0, 10, 0), 0, 0), win("b", "c2", at(0, 10, 5), time.Hour, 0)}}
	v := Plan(&cal, fleet(), l, nil, monday, monday.AddDate(0, 0, 7))
	if v[1].Outcome != Postponed || !strings.Contains(v[1].Reason, "8 nodes would come back cold") {
		t.Errorf("%+v", v)
	}
}

// TestSummerTime keeps a window at two in the morning, wherever the clocks change.
func TestSummerTime(t *testing.T) {
	zone, err := time.LoadLocation("Europe/Berlin")
	if err != nil {
		t.Skip("no time zones on this machine")
	}
	cal := Calendar{Windows: []Window{{
		ID: "a", Scope: OneNode, Target: "n05", Duration: time.Hour, Rule: "FREQ=DAILY;COUNT=3",
		Start: time.Date(2026, 3, 28, 2, 30, 0, 0, zone),
	}}}
	var got []string
	for _, v := range Plan(&cal, fleet(), limits, nil, monday, monday.AddDate(0, 2, 0)) {
		got = append(got, v.Start.In(zone).Format("2 15:04"))
	}
	// on the 29th there is no half past two: it comes an hour later by the clock, once
	if s := strings.Join(got, ", "); s != "28 02:30, 29 03:30, 30 02:30" {
		t.Error(s)
	}
	across := Calendar{Windows: []Window{{
		ID: "a", Scope: OneNode, Target: "n05", Duration: 4 * time.Hour,
		Start: time.Date(2026, 10, 25, 1, 0, 0, 0, zone),
	}}}
	if v := Plan(&across, fleet(), limits, nil, monday, monday.AddDate(1, 0, 0)); v[0].End.Sub(v[0].Start) != 4*time.Hour {
		t.Errorf("%s long across the change", v[0].End.Sub(v[0].Start))
	}
}

func TestCheck(t *testing.T) {
	good := win("a", "c0", at(0, 10, 0), 0, 0)
	for _, c := range []struct {
		name, fault string
		damage      func(w *Window)
	}{
		{"no name", "name missing", func(w *Window) { w.ID = "" }},
		{"no length", "impossible length", func(w *Window) { w.Duration = 0 }},
		{"too long", "together", func(w *Window) { w.Slack = 200 * time.Hour }},
		{"not a rule", "rule", func(w *Window) { w.Rule = "FREQ=SOMETIMES" }},
		{"too often", "more often than daily", func(w *Window) { w.Rule = "FREQ=HOURLY" }},
		{"no start", "no start", func(w *Window) { w.Start = time.Time{} }},
		{"no place", "no place", func(w *Window) { w.Target = "" }},
	} {
		w := good
		c.damage(&w)
		if err := (&Calendar{Windows: []Window{w}}).Check(); err == nil || !strings.Contains(err.Error(), c.fault) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if err := (&Calendar{Windows: []Window{good, good}}).Check(); err == nil {
		t.Error("a name twice")
	}
}

// drawCalendar draws windows, with a weekly protected time.
func drawCalendar(t *rapid.T) *Calendar {
	cal := &Calendar{}
	for i := range rapid.IntRange(1, 14).Draw(t, "windows") {
		place := rapid.SampledFrom([]string{"n00", "n12", "n09", "c0", "c1", "c2", "c3", "c4", "c5", "z0", "z2"}).Draw(t, "place")
		w := win(fmt.Sprint("w", i), place, at(rapid.IntRange(0, 8).Draw(t, "day"), rapid.IntRange(0, 23).Draw(t, "h"),
			15*rapid.IntRange(0, 3).Draw(t, "m")), time.Duration(rapid.IntRange(0, 12).Draw(t, "slack"))*time.Hour,
			rapid.IntRange(0, 2).Draw(t, "priority"))
		w.Lead = time.Duration(rapid.IntRange(0, 60).Draw(t, "lead")) * time.Minute
		w.Rule = rapid.SampledFrom([]string{"", "FREQ=DAILY;COUNT=4", "FREQ=WEEKLY;COUNT=3"}).Draw(t, "rule")
		cal.Windows = append(cal.Windows, w)
	}
	cal.Protected = []ProtectedTime{{ID: "deadline", Start: at(6, 12, 0), Duration: 12 * time.Hour, Rule: "FREQ=WEEKLY", Lead: time.Hour}}
	return cal
}

// unavailable returns the nodes that are out at a time, with the clock guard on both sides.
func unavailable(verdicts []Verdict, m time.Time) map[string]bool {
	out := map[string]bool{}
	for _, v := range verdicts {
		if v.Outcome != Refused && !m.Before(v.DrainStart.Add(-limits.ClockGuard)) && m.Before(v.End.Add(limits.ClockGuard)) {
			for _, n := range v.Nodes {
				out[n] = true
			}
		}
	}
	return out
}

// expectWithinLimits checks the nodes that are out at a time.
func expectWithinLimits(t *rapid.T, m time.Time, out map[string]bool) {
	zones, kinds := map[string]int{}, map[string]int{}
	for _, n := range fleet() {
		if out[n.ID] {
			zones[n.Zone]++
			kinds[n.Kind]++
		}
	}
	if len(out) > 6 || zones["z0"] > 4 || zones["z1"] > 4 || zones["z2"] > 4 || kinds["rare"] > 1 {
		t.Fatalf("%s: %v out", m, out)
	}
	if h := m.Sub(at(6, 11, 0)) % (7 * 24 * time.Hour); len(out) > 0 && h >= 0 && h < 13*time.Hour {
		t.Fatalf("%s: %v out at the deadline", m, out)
	}
}

// TestLimits draws calendars: what is kept or postponed never breaks a limit at any minute, by clocks that are off by the guard either way,
// and the verdicts do not depend on the range that is asked for.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cal := drawCalendar(t)
		end := monday.AddDate(0, 0, 30)
		all := Plan(cal, fleet(), limits, nil, monday, end)
		for m := monday; m.Before(end); m = m.Add(15 * time.Minute) {
			if out := unavailable(all, m); len(out) > 0 {
				expectWithinLimits(t, m, out)
			}
		}
		from := monday.AddDate(0, 0, rapid.IntRange(0, 9).Draw(t, "from"))
		for _, v := range Plan(cal, fleet(), limits, nil, from, from.AddDate(0, 0, 3)) {
			if !slices.ContainsFunc(all, func(w Verdict) bool {
				return w.Window == v.Window && w.ScheduledStart.Equal(v.ScheduledStart) && w.Outcome == v.Outcome && w.Start.Equal(v.Start)
			}) {
				t.Fatalf("asked for from %s: %+v", from, v)
			}
		}
	})
}
