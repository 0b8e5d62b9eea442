package audit

import (
	"fmt"
	"testing"
)

var rules = Rules{
	Jobs:  []JobRules{{}, {Semantics: Idempotent, Scope: ScopeZone, Window: 5000, Spread: 3, MaxTogether: 2}, {Semantics: AtMostOnce}},
	Nodes: map[uint32]Location{1: {"a", "a1"}, 2: {"a", "a2"}, 3: {"b", "b1"}}, DrainGrace: 2000, ListPolled: true, PollInterval: 8000, SlowStartLimit: 2,
	SlowStartDuration: 10000, SlowStartWindow: 1000, Slack: 100,
}

func born(at float64) Record { return Record{At: at, Kind: SchedulerStarted, Scheduler: "s"} }
func offer(at float64, nd uint32, ticket uint64, try uint8, job int) Record {
	return Record{At: at, Kind: PlacementReceived, Scheduler: "s.1", Node: nd, Ticket: ticket, Attempt: try, Job: job, Token: ticket, Service: 9, Deadline: at + 1000}
}

func done(at float64, nd uint32, ticket uint64, word string) Record {
	return Record{At: at, Kind: AttemptConcluded, Scheduler: "s.1", Node: nd, Ticket: ticket, Detail: word}
}

func asked(at float64, until float64) Record {
	return Record{At: at, Kind: RequestSent, Scheduler: "s", Client: 1, RequestRef: 7, Token: 5, Job: 2, Deadline: until}
}

func answered(at float64, word string) Record {
	return Record{At: at, Kind: ResponseReceived, Scheduler: "s", Client: 1, RequestRef: 7, Detail: word}
}

func TestCheck(t *testing.T) {
	told := func(at float64, word string) Record {
		return Record{At: at, Kind: EndpointDelivered, Scheduler: "s", Node: 1, Detail: word}
	}
	heard := Record{At: 1, Kind: ListDelivered, Scheduler: "s"}
	listed := Record{At: 5000, Kind: EndpointChanged, Node: 1, Detail: "draining"}
	for _, c := range []struct {
		name    string
		records []Record
		want    []int // rules
	}{
		{"an answer in time", []Record{asked(10, 900), answered(800, "served")}, nil},
		{"late", []Record{asked(10, 900), answered(1000, "served")}, []int{1}},
		{"late, it stood still", []Record{
			asked(10, 900),
			{At: 500, Kind: SchedulerPaused, Scheduler: "s"},
			{At: 980, Kind: SchedulerResumed, Scheduler: "s"},
			answered(1000, "served"),
		}, nil},
		{"none", []Record{asked(10, 900), {At: 2000, Kind: ListDelivered, Scheduler: "s"}}, []int{1}},
		{"none, it was killed", []Record{asked(10, 900), {At: 100, Kind: SchedulerKilled, Scheduler: "s"}, {At: 2000, Kind: ListDelivered, Scheduler: "s"}}, nil},
		{"none, given up", []Record{asked(10, 900), {At: 100, Kind: RequestAbandoned, Client: 1, RequestRef: 7}, {At: 2000, Kind: ListDelivered, Scheduler: "s"}}, nil},
		{"twice", []Record{asked(10, 900), answered(20, "served"), answered(30, "failed")}, []int{1}},
		{"never asked", []Record{answered(20, "served")}, []int{1}},
		{"declined though it may have run", []Record{asked(10, 900), offer(20, 1, 5, 0, 2), answered(800, "declined")}, []int{2}},
		{"declined, handed back", []Record{asked(10, 900), offer(20, 1, 5, 0, 2), done(30, 1, 5, "refused"), answered(800, "declined")}, nil},
		{"tries in order", []Record{offer(20, 1, 5, 0, 0), done(30, 1, 5, "refused"), offer(40, 2, 5, 1, 0)}, nil},
		{"an earlier one that comes after", []Record{offer(900, 2, 5, 1, 0), {
			At: 950, SentAt: 20, Kind: PlacementReceived, Scheduler: "s.1", Node: 1,
			Ticket: 5, Token: 5, Service: 9, Deadline: 1020,
		}}, nil},
		{"two tries out", []Record{offer(20, 1, 5, 0, 0), offer(40, 2, 5, 1, 0)}, []int{2}},
		{"run-once after an error", []Record{offer(20, 1, 5, 0, 2), done(30, 1, 5, "error"), offer(40, 2, 5, 1, 2)}, []int{2}},
		{"run-once after its time-out", []Record{offer(20, 1, 5, 0, 2), offer(1500, 2, 5, 1, 2)}, []int{2}},
		{"tokened in its group", []Record{offer(20, 1, 5, 0, 1), offer(1500, 2, 5, 1, 1)}, nil},
		{"tokened outside its group", []Record{offer(20, 1, 5, 0, 1), offer(1500, 3, 5, 1, 1)}, []int{2}},
		{"tokened after its window", []Record{offer(20, 1, 5, 0, 1), offer(6000, 2, 5, 1, 1)}, []int{2}},
		{"taken back after it ran", []Record{
			offer(20, 1, 5, 0, 0),
			{At: 30, Kind: TaskStarted, Scheduler: "s.1", Node: 1, Ticket: 5},
			done(40, 1, 5, "refused"),
		}, []int{2}},
		{"within the grace", []Record{told(10, "draining"), offer(2000, 1, 5, 0, 0)}, nil},
		{"past the grace", []Record{told(10, "draining"), told(1500, "gone"), offer(2300, 1, 5, 0, 0)}, []int{3}},
		{"ready again", []Record{told(10, "draining"), told(1500, "ready"), offer(2300, 1, 5, 0, 0)}, nil},
		{"silence, within what may be", []Record{heard, listed, offer(14000, 1, 5, 0, 0)}, nil},
		{"silence counts as told", []Record{heard, listed, offer(15500, 1, 5, 0, 0)}, []int{3}},
		{"silence after a failed call", []Record{heard, {At: 4000, Kind: ListDelivered, Scheduler: "s", Detail: "failed"}, listed, offer(15500, 1, 5, 0, 0)}, nil},
		{"out by the calendar", []Record{{At: 10, Kind: MaintenanceChanged, Node: 1, Detail: "out"}, offer(2300, 1, 5, 0, 0)}, []int{3}},
		{"back by the calendar", []Record{
			{At: 10, Kind: MaintenanceChanged, Node: 1, Detail: "out"},
			{At: 2000, Kind: MaintenanceChanged, Node: 1, Detail: "back"},
			offer(2300, 1, 5, 0, 0),
		}, nil},
		{"a cold node", []Record{
			{At: 10, Kind: NodeStarted, Node: 1, Detail: "cold"},
			offer(20, 1, 5, 0, 0), offer(30, 1, 6, 0, 0),
			offer(1100, 1, 7, 0, 0),
		}, nil},
		{"too much for a cold node", []Record{
			{At: 10, Kind: NodeStarted, Node: 1, Detail: "cold"},
			offer(20, 1, 5, 0, 0), offer(30, 1, 6, 0, 0),
			offer(900, 1, 7, 0, 0),
		}, []int{4}},
		{"pushed over", []Record{{At: 10, Kind: NodeOverloaded, Node: 1}}, []int{4}},
		{"too many in a zone", []Record{offer(20, 1, 5, 0, 1), offer(30, 2, 6, 0, 1), offer(40, 1, 7, 0, 1)}, []int{5}},
		{"too many while time is left", []Record{offer(20, 1, 5, 0, 1), offer(30, 2, 6, 0, 1), offer(900, 1, 7, 0, 1)}, []int{5}},
		{"their time ran out just then", []Record{offer(20, 1, 5, 0, 1), offer(30, 2, 6, 0, 1), offer(950, 1, 7, 0, 1)}, nil},
		{"their node began a new life", []Record{offer(20, 1, 5, 0, 1), offer(30, 2, 6, 0, 1), {At: 35, Kind: NodeStarted, Node: 1}, offer(40, 1, 7, 0, 1)}, nil},
		{"two zones", []Record{offer(20, 1, 5, 0, 1), offer(30, 2, 6, 0, 1), offer(40, 3, 7, 0, 1)}, nil},
		{"one has ended", []Record{offer(20, 1, 5, 0, 1), offer(30, 2, 6, 0, 1), done(35, 1, 5, "ended"), offer(40, 1, 7, 0, 1)}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got []int
			for _, b := range Check(append([]Record{born(0)}, c.records...), rules) {
				got = append(got, int(b.Rule))
			}
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("broken %v, want %v", got, c.want)
			}
		})
	}
}
