package audit

import (
	"fmt"
	"testing"
)

var rules = Rules{
	Jobs:  []Job{{}, {Effect: Tokened, Group: 1, Window: 5000, Spread: 3, Most: 2}, {Effect: RunOnce}},
	Nodes: map[uint32]Stand{1: {"a", "a1"}, 2: {"a", "a2"}, 3: {"b", "b1"}}, Grace: 2000, Asks: true, AskEvery: 8000, ColdBears: 2,
	ColdFor: 10000, ColdWindow: 1000, Slack: 100,
}

func born(at float64) Record { return Record{At: at, Kind: Born, Sched: "s"} }
func offer(at float64, nd uint32, ticket uint64, try uint8, job int) Record {
	return Record{At: at, Kind: Offered, Sched: "s.1", Node: nd, Ticket: ticket, Try: try, Job: job, Token: ticket, Service: 9, Until: at + 1000}
}

func done(at float64, nd uint32, ticket uint64, word string) Record {
	return Record{At: at, Kind: Concluded, Sched: "s.1", Node: nd, Ticket: ticket, Word: word}
}

func asked(at float64, until float64) Record {
	return Record{At: at, Kind: Asked, Sched: "s", Owner: 1, Ref: 7, Token: 5, Job: 2, Until: until}
}

func answered(at float64, word string) Record {
	return Record{At: at, Kind: Answered, Sched: "s", Owner: 1, Ref: 7, Word: word}
}

func TestCheck(t *testing.T) {
	told := func(at float64, word string) Record {
		return Record{At: at, Kind: Told, Sched: "s", Node: 1, Word: word}
	}
	heard := Record{At: 1, Kind: Heard, Sched: "s"}
	listed := Record{At: 5000, Kind: Listed, Node: 1, Word: "draining"}
	for _, c := range []struct {
		name    string
		records []Record
		want    []int // rules
	}{
		{"an answer in time", []Record{asked(10, 900), answered(800, "served")}, nil},
		{"late", []Record{asked(10, 900), answered(1000, "served")}, []int{1}},
		{"late, it stood still", []Record{
			asked(10, 900),
			{At: 500, Kind: Paused, Sched: "s"},
			{At: 980, Kind: Resumed, Sched: "s"},
			answered(1000, "served"),
		}, nil},
		{"none", []Record{asked(10, 900), {At: 2000, Kind: Heard, Sched: "s"}}, []int{1}},
		{"none, it was killed", []Record{asked(10, 900), {At: 100, Kind: Killed, Sched: "s"}, {At: 2000, Kind: Heard, Sched: "s"}}, nil},
		{"none, given up", []Record{asked(10, 900), {At: 100, Kind: GaveUp, Owner: 1, Ref: 7}, {At: 2000, Kind: Heard, Sched: "s"}}, nil},
		{"twice", []Record{asked(10, 900), answered(20, "served"), answered(30, "failed")}, []int{1}},
		{"never asked", []Record{answered(20, "served")}, []int{1}},
		{"declined though it may have run", []Record{asked(10, 900), offer(20, 1, 5, 0, 2), answered(800, "declined")}, []int{2}},
		{"declined, handed back", []Record{asked(10, 900), offer(20, 1, 5, 0, 2), done(30, 1, 5, "refused"), answered(800, "declined")}, nil},
		{"tries in order", []Record{offer(20, 1, 5, 0, 0), done(30, 1, 5, "refused"), offer(40, 2, 5, 1, 0)}, nil},
		{"an earlier one that comes after", []Record{offer(900, 2, 5, 1, 0), {
			At: 950, Sent: 20, Kind: Offered, Sched: "s.1", Node: 1,
			Ticket: 5, Token: 5, Service: 9, Until: 1020,
		}}, nil},
		{"two tries out", []Record{offer(20, 1, 5, 0, 0), offer(40, 2, 5, 1, 0)}, []int{2}},
		{"run-once after an error", []Record{offer(20, 1, 5, 0, 2), done(30, 1, 5, "error"), offer(40, 2, 5, 1, 2)}, []int{2}},
		{"run-once after its time-out", []Record{offer(20, 1, 5, 0, 2), offer(1500, 2, 5, 1, 2)}, []int{2}},
		{"tokened in its group", []Record{offer(20, 1, 5, 0, 1), offer(1500, 2, 5, 1, 1)}, nil},
		{"tokened outside its group", []Record{offer(20, 1, 5, 0, 1), offer(1500, 3, 5, 1, 1)}, []int{2}},
		{"tokened after its window", []Record{offer(20, 1, 5, 0, 1), offer(6000, 2, 5, 1, 1)}, []int{2}},
		{"taken back after it ran", []Record{
			offer(20, 1, 5, 0, 0),
			{At: 30, Kind: Ran, Sched: "s.1", Node: 1, Ticket: 5},
			done(40, 1, 5, "refused"),
		}, []int{2}},
		{"within the grace", []Record{told(10, "draining"), offer(2000, 1, 5, 0, 0)}, nil},
		{"past the grace", []Record{told(10, "draining"), told(1500, "gone"), offer(2300, 1, 5, 0, 0)}, []int{3}},
		{"ready again", []Record{told(10, "draining"), told(1500, "ready"), offer(2300, 1, 5, 0, 0)}, nil},
		{"silence, within what may be", []Record{heard, listed, offer(14000, 1, 5, 0, 0)}, nil},
		{"silence counts as told", []Record{heard, listed, offer(15500, 1, 5, 0, 0)}, []int{3}},
		{"silence after a failed call", []Record{heard, {At: 4000, Kind: Heard, Sched: "s", Word: "failed"}, listed, offer(15500, 1, 5, 0, 0)}, nil},
		{"out by the calendar", []Record{{At: 10, Kind: Scheduled, Node: 1, Word: "out"}, offer(2300, 1, 5, 0, 0)}, []int{3}},
		{"back by the calendar", []Record{
			{At: 10, Kind: Scheduled, Node: 1, Word: "out"},
			{At: 2000, Kind: Scheduled, Node: 1, Word: "back"},
			offer(2300, 1, 5, 0, 0),
		}, nil},
		{"a cold node", []Record{
			{At: 10, Kind: NodeBorn, Node: 1, Word: "cold"},
			offer(20, 1, 5, 0, 0), offer(30, 1, 6, 0, 0),
			offer(1100, 1, 7, 0, 0),
		}, nil},
		{"too much for a cold node", []Record{
			{At: 10, Kind: NodeBorn, Node: 1, Word: "cold"},
			offer(20, 1, 5, 0, 0), offer(30, 1, 6, 0, 0),
			offer(900, 1, 7, 0, 0),
		}, []int{4}},
		{"pushed over", []Record{{At: 10, Kind: NodeFell, Node: 1}}, []int{4}},
		{"too many in a zone", []Record{offer(20, 1, 5, 0, 1), offer(30, 2, 6, 0, 1), offer(40, 1, 7, 0, 1)}, []int{5}},
		{"too many while time is left", []Record{offer(20, 1, 5, 0, 1), offer(30, 2, 6, 0, 1), offer(900, 1, 7, 0, 1)}, []int{5}},
		{"their time ran out just then", []Record{offer(20, 1, 5, 0, 1), offer(30, 2, 6, 0, 1), offer(950, 1, 7, 0, 1)}, nil},
		{"their node began a new life", []Record{offer(20, 1, 5, 0, 1), offer(30, 2, 6, 0, 1), {At: 35, Kind: NodeBorn, Node: 1}, offer(40, 1, 7, 0, 1)}, nil},
		{"two zones", []Record{offer(20, 1, 5, 0, 1), offer(30, 2, 6, 0, 1), offer(40, 3, 7, 0, 1)}, nil},
		{"one has ended", []Record{offer(20, 1, 5, 0, 1), offer(30, 2, 6, 0, 1), done(35, 1, 5, "ended"), offer(40, 1, 7, 0, 1)}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got []int
			for _, b := range Check(append([]Record{born(0)}, c.records...), rules) {
				got = append(got, b.Rule)
			}
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("broken %v, want %v", got, c.want)
			}
		})
	}
}
