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

// fleet returns three zones of eight nodes each; the first and the second zone have one node of kind "rare" each.
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

// at returns the time of day h:m, a number of days after monday.
func at(day, h, m int) time.Time {
	return monday.AddDate(0, 0, day).Add(time.Duration(h)*time.Hour + time.Duration(m)*time.Minute)
}

// newWindow returns a window of two hours for a node, cell or zone, by the first letter of the target.
func newWindow(id, target string, start time.Time, slack time.Duration, priority int) Window {
	scope := Cell
	if strings.HasPrefix(target, "n") {
		scope = OneNode
	} else if strings.HasPrefix(target, "z") {
		scope = Zone
	}
	return Window{ID: id, Scope: scope, Target: target, Start: start, Duration: 2 * time.Hour, Slack: slack, Priority: priority}
}

// verdictCase is a calendar with the expected verdicts on its occurrences.
type verdictCase struct {
	name       string
	cal        Calendar
	load       func(*Load) // measures the load; nil: the load is not checked
	want       string      // window, outcome and delay in minutes of each verdict, in order of scheduled start
	wantReason string      // part of the reasons
}

var verdictCases = []verdictCase{
	{"one window", Calendar{Windows: []Window{newWindow("a", "c0", at(0, 10, 0), 0, 0)}}, nil, "a kept 0", ""},
	{
		"two windows exceed the fleet's limit",
		Calendar{Windows: []Window{
			newWindow("a", "c0", at(0, 10, 0), 0, 0), newWindow("b", "c1", at(0, 11, 0), 0, 0),
		}},
		nil,
		"a kept 0, b refused 0", "33% of the fleet would be out",
	},
	{
		"the later window has slack",
		Calendar{Windows: []Window{
			newWindow("a", "c0", at(0, 10, 0), 0, 0), newWindow("b", "c1", at(0, 11, 0), 3*time.Hour, 0),
		}},
		nil,
		"a kept 0, b postponed 75", "33% of the fleet would be out",
	},
	{
		"the later window has priority",
		Calendar{Windows: []Window{
			newWindow("a", "c0", at(0, 10, 0), 4*time.Hour, 0), newWindow("b", "c1", at(0, 11, 0), 0, 5),
		}},
		nil,
		"a postponed 195, b kept 0", "33% of the fleet would be out",
	},
	{
		"one window begins when the other ends, closer than the clock guard",
		Calendar{Windows: []Window{
			newWindow("a", "c0", at(0, 10, 0), 0, 0), newWindow("b", "c1", at(0, 12, 0), time.Hour, 0),
		}},
		nil,
		"a kept 0, b postponed 15", "",
	},
	{
		"five windows at once",
		Calendar{Windows: []Window{
			newWindow("a", "c0", at(0, 10, 0), 0, 0), newWindow("b", "c2", at(0, 10, 0), 0, 0),
			newWindow("c", "c4", at(0, 10, 0), 0, 0), newWindow("d", "c1", at(0, 10, 0), 9*time.Hour, 0), newWindow("e", "c3", at(0, 10, 0), 0, 9),
		}},
		nil,
		"a refused 0, b refused 0, c refused 0, d postponed 135, e kept 0", "of the fleet would be out",
	},
	{
		"both nodes of a machine kind",
		Calendar{Windows: []Window{
			newWindow("a", "n00", at(0, 10, 0), 0, 0), newWindow("b", "n12", at(0, 10, 0), 0, 0),
		}},
		nil,
		"a kept 0, b refused 0", "100% of machine kind rare",
	},
	{
		"during a protected time",
		Calendar{
			Windows:   []Window{newWindow("a", "c0", at(6, 20, 0), 5*time.Hour, 0)},
			Protected: []ProtectedTime{{ID: "contest", Start: at(6, 21, 0), Duration: time.Hour, Lead: 2 * time.Hour, Tail: 30 * time.Minute}},
		},
		nil,
		"a postponed 165", "contest is protected from Sun 8 Mar 19:00",
	},
	{"the usual load leaves no room at one hour", Calendar{Windows: []Window{newWindow("a", "c0", at(0, 10, 0), 3*time.Hour, 0)}}, func(l *Load) {
		for i := range 24 * 7 {
			cores := 0.3
			if i == 11 {
				cores = 0.8
			}
			l.Add(monday.Add(time.Duration(i)*time.Hour), cores, 0.3)
		}
	}, "a postponed 135", "on Mon 2 Mar 11:00 the usual load needs"},
	{
		"two windows that end at the same time",
		Calendar{Windows: []Window{
			newWindow("a", "c0", at(0, 10, 0), 0, 0), {ID: "b", Scope: Cell, Target: "c2", Start: at(0, 11, 0), Duration: time.Hour},
		}},
		nil,
		"a kept 0, b refused 0", "of the fleet",
	},
	{"the target is not in the fleet", Calendar{Windows: []Window{newWindow("a", "c99", at(0, 10, 0), 0, 0)}}, nil, "a kept 0", ""},
	{"one occurrence is cancelled", Calendar{Windows: []Window{{
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
			var got, reasons []string
			for _, v := range Plan(&c.cal, fleet(), limits, load, monday, monday.AddDate(0, 0, 14)) {
				delay := 0.0
				if v.Outcome != Refused {
					delay = v.Start.Sub(v.ScheduledStart).Minutes()
				}
				got = append(got, fmt.Sprintf("%s %s %.0f", v.Window, v.Outcome, delay))
				reasons = append(reasons, v.Reason)
			}
			if s := strings.Join(got, ", "); s != c.want || !strings.Contains(strings.Join(reasons, "; "), c.wantReason) {
				t.Errorf("got verdicts %q, reasons %q\nwant verdicts %q, reason %q", s, reasons, c.want, c.wantReason)
			}
		})
	}
}

func TestZoneLimit(t *testing.T) {
	l := limits
	l.Fleet = 1
	cal := Calendar{Windows: []Window{newWindow("a", "c0", at(0, 10, 0), 0, 0), newWindow("b", "c1", at(0, 11, 0), 0, 0)}}
	if v := Plan(&cal, fleet(), l, nil, monday, monday.AddDate(0, 0, 7)); !strings.Contains(v[1].Reason, "100% of zone z0 would be out of service") {
		t.Errorf("got verdicts %+v, want the second one refused because of zone z0", v)
	}
}

func TestMaxWarmingUp(t *testing.T) {
	l := limits
	l.Fleet, l.Zone = 1, 1
	cal := Calendar{Windows: []Window{newWindow("a", "c0", at(0, 10, 0), 0, 0), newWindow("b", "c2", at(0, 10, 5), time.Hour, 0)}}
	v := Plan(&cal, fleet(), l, nil, monday, monday.AddDate(0, 0, 7))
	if v[1].Outcome != Postponed || !strings.Contains(v[1].Reason, "8 nodes would warm up") {
		t.Errorf("got verdicts %+v, want the second window postponed because 8 nodes would warm up", v)
	}
}

// TestDaylightSavingTime checks that a daily window stays at the same time of the day when daylight saving time begins, and that a window
// keeps its duration when daylight saving time ends within it.
func TestDaylightSavingTime(t *testing.T) {
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
	// On the 29th there is no 2:30, so that occurrence starts an hour later by the clock.
	if s := strings.Join(got, ", "); s != "28 02:30, 29 03:30, 30 02:30" {
		t.Error(s)
	}
	across := Calendar{Windows: []Window{{
		ID: "a", Scope: OneNode, Target: "n05", Duration: 4 * time.Hour,
		Start: time.Date(2026, 10, 25, 1, 0, 0, 0, zone),
	}}}
	if v := Plan(&across, fleet(), limits, nil, monday, monday.AddDate(1, 0, 0)); v[0].End.Sub(v[0].Start) != 4*time.Hour {
		t.Errorf("got a duration of %s across the end of daylight saving time, want 4 h", v[0].End.Sub(v[0].Start))
	}
}

func TestCheck(t *testing.T) {
	valid := newWindow("a", "c0", at(0, 10, 0), 0, 0)
	for _, c := range []struct {
		name, fault string
		invalidate  func(w *Window)
	}{
		{"no name", "name missing", func(w *Window) { w.ID = "" }},
		{"no length", "invalid length 0s, lead ", func(w *Window) { w.Duration = 0 }},
		{"too long", "together", func(w *Window) { w.Slack = 200 * time.Hour }},
		{"malformed rule", "rule", func(w *Window) { w.Rule = "FREQ=SOMETIMES" }},
		{"hourly rule", "more often than daily", func(w *Window) { w.Rule = "FREQ=HOURLY" }},
		{"no start", "no start", func(w *Window) { w.Start = time.Time{} }},
		{"no target", "no place to drain", func(w *Window) { w.Target = "" }},
	} {
		w := valid
		c.invalidate(&w)
		if err := (&Calendar{Windows: []Window{w}}).Check(); err == nil || !strings.Contains(err.Error(), c.fault) {
			t.Errorf("%s: got error %v", c.name, err)
		}
	}
	if err := (&Calendar{Windows: []Window{valid, valid}}).Check(); err == nil {
		t.Error("got no error for two windows with the same name")
	}
}

// drawCalendar draws a calendar of random windows and a weekly protected time.
func drawCalendar(t *rapid.T) *Calendar {
	cal := &Calendar{}
	for i := range rapid.IntRange(1, 14).Draw(t, "windows") {
		target := rapid.SampledFrom([]string{"n00", "n12", "n09", "c0", "c1", "c2", "c3", "c4", "c5", "z0", "z2"}).Draw(t, "target")
		w := newWindow(fmt.Sprint("w", i), target, at(rapid.IntRange(0, 8).Draw(t, "day"), rapid.IntRange(0, 23).Draw(t, "h"),
			15*rapid.IntRange(0, 3).Draw(t, "m")), time.Duration(rapid.IntRange(0, 12).Draw(t, "slack"))*time.Hour,
			rapid.IntRange(0, 2).Draw(t, "priority"))
		w.Lead = time.Duration(rapid.IntRange(0, 60).Draw(t, "lead")) * time.Minute
		w.Rule = rapid.SampledFrom([]string{"", "FREQ=DAILY;COUNT=4", "FREQ=WEEKLY;COUNT=3"}).Draw(t, "rule")
		cal.Windows = append(cal.Windows, w)
	}
	cal.Protected = []ProtectedTime{{ID: "deadline", Start: at(6, 12, 0), Duration: 12 * time.Hour, Rule: "FREQ=WEEKLY", Lead: time.Hour}}
	return cal
}

// unavailable returns the nodes that are out of service at a time, with the clock guard on both sides of each window.
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

// expectWithinLimits checks that the nodes that are out of service at a time exceed no limit, and that none is out in the protected time.
func expectWithinLimits(t *rapid.T, m time.Time, out map[string]bool) {
	zones, kinds := map[string]int{}, map[string]int{}
	for _, n := range fleet() {
		if out[n.ID] {
			zones[n.Zone]++
			kinds[n.Kind]++
		}
	}
	if len(out) > 6 || zones["z0"] > 4 || zones["z1"] > 4 || zones["z2"] > 4 || kinds["rare"] > 1 {
		t.Fatalf("%s: nodes %v are out of service, which exceeds a limit", m, out)
	}
	if h := m.Sub(at(6, 11, 0)) % (7 * 24 * time.Hour); len(out) > 0 && h >= 0 && h < 13*time.Hour {
		t.Fatalf("%s: nodes %v are out of service in a protected time", m, out)
	}
}

// TestLimits draws calendars, and checks that windows that are kept or postponed exceed no limit at any time, by clocks that are off by the
// clock guard either way, and that the verdicts do not depend on the requested range.
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
				t.Fatalf("range from %s: got verdict %+v, which is not among those of the whole range", from, v)
			}
		}
	})
}
