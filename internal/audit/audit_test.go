package audit

import (
	"fmt"
	"testing"
)

var rules = Rules{
	Jobs:  []JobRules{{}, {Semantics: Idempotent, Scope: ScopeZone, Window: 5000, Spread: SpreadZone, MaxTogether: 2}, {Semantics: AtMostOnce}},
	Nodes: map[uint32]Location{1: {"a", "a1"}, 2: {"a", "a2"}, 3: {"b", "b1"}}, DrainGrace: 2000, ListPolled: true, PollInterval: 8000, SlowStartLimit: 2,
	SlowStartDuration: 10000, SlowStartWindow: 1000, Slack: 100,
}

// started is the start of the scheduler that all records are of.
func started(at float64) Record { return Record{At: at, Kind: SchedulerStarted, Scheduler: "s"} }

// placed is an attempt that a node received from a shard of the scheduler.
func placed(at float64, node uint32, ticket uint64, attempt uint8, job int) Record {
	return Record{
		At: at, Kind: PlacementReceived, Scheduler: "s.1", Node: node, Ticket: ticket, Attempt: attempt, Job: job, Token: ticket, Service: 9,
		Deadline: at + 1000,
	}
}

// concluded is the outcome of the first attempt of ticket 5 at node 1.
func concluded(at float64, detail string) Record {
	return Record{At: at, Kind: AttemptConcluded, Scheduler: "s.1", Node: 1, Ticket: 5, Detail: detail}
}

// responded is the answer to requested.
func responded(at float64, detail string) Record {
	return Record{At: at, Kind: ResponseReceived, Scheduler: "s", Client: 1, RequestRef: 7, Detail: detail}
}

// delivered is the availability of node 1 as the list sent it.
func delivered(at float64, detail string) Record {
	return Record{At: at, Kind: EndpointDelivered, Scheduler: "s", Node: 1, Detail: detail}
}

var (
	requested     = Record{At: 10, Kind: RequestSent, Scheduler: "s", Client: 1, RequestRef: 7, Token: 5, Job: 2, Deadline: 900}
	listDelivered = Record{At: 1, Kind: ListDelivered, Scheduler: "s"}
	listed        = Record{At: 5000, Kind: EndpointChanged, Node: 1, Detail: "draining"}
)

// checkCases are traces, and the rules that they break.
var checkCases = []struct {
	name    string
	records []Record
	want    []int // rules
}{
	{"an answer in time", []Record{requested, responded(800, "served")}, nil},
	{"late", []Record{requested, responded(1000, "served")}, []int{1}},
	{"late, it was paused", []Record{
		requested,
		{At: 500, Kind: SchedulerPaused, Scheduler: "s"},
		{At: 980, Kind: SchedulerResumed, Scheduler: "s"},
		responded(1000, "served"),
	}, nil},
	{"none", []Record{requested, {At: 2000, Kind: ListDelivered, Scheduler: "s"}}, []int{1}},
	{"none, it was killed", []Record{requested, {At: 100, Kind: SchedulerKilled, Scheduler: "s"}, {At: 2000, Kind: ListDelivered, Scheduler: "s"}}, nil},
	{"none, given up", []Record{requested, {At: 100, Kind: RequestAbandoned, Client: 1, RequestRef: 7}, {At: 2000, Kind: ListDelivered, Scheduler: "s"}}, nil},
	{"twice", []Record{requested, responded(20, "served"), responded(30, "failed")}, []int{1}},
	{"never asked", []Record{responded(20, "served")}, []int{1}},
	{"declined though it may have run", []Record{requested, placed(20, 1, 5, 0, 2), responded(800, "declined")}, []int{2}},
	{"declined, handed back", []Record{requested, placed(20, 1, 5, 0, 2), concluded(30, "refused"), responded(800, "declined")}, nil},
	{"attempts in order", []Record{placed(20, 1, 5, 0, 0), concluded(30, "refused"), placed(40, 2, 5, 1, 0)}, nil},
	{"an earlier one that comes after", []Record{placed(900, 2, 5, 1, 0), {
		At: 950, SentAt: 20, Kind: PlacementReceived, Scheduler: "s.1", Node: 1,
		Ticket: 5, Token: 5, Service: 9, Deadline: 1020,
	}}, nil},
	{"two attempts out", []Record{placed(20, 1, 5, 0, 0), placed(40, 2, 5, 1, 0)}, []int{2}},
	{"at most once, after an error", []Record{placed(20, 1, 5, 0, 2), concluded(30, "error"), placed(40, 2, 5, 1, 2)}, []int{2}},
	{"at most once, after its time-out", []Record{placed(20, 1, 5, 0, 2), placed(1500, 2, 5, 1, 2)}, []int{2}},
	{"idempotent, in its group", []Record{placed(20, 1, 5, 0, 1), placed(1500, 2, 5, 1, 1)}, nil},
	{"idempotent, outside its group", []Record{placed(20, 1, 5, 0, 1), placed(1500, 3, 5, 1, 1)}, []int{2}},
	{"idempotent, after its window", []Record{placed(20, 1, 5, 0, 1), placed(6000, 2, 5, 1, 1)}, []int{2}},
	{"taken back after it ran", []Record{
		placed(20, 1, 5, 0, 0),
		{At: 30, Kind: TaskStarted, Scheduler: "s.1", Node: 1, Ticket: 5},
		concluded(40, "refused"),
	}, []int{2}},
	{"within the grace", []Record{delivered(10, "draining"), placed(2000, 1, 5, 0, 0)}, nil},
	{"past the grace", []Record{delivered(10, "draining"), delivered(1500, "gone"), placed(2300, 1, 5, 0, 0)}, []int{3}},
	{"ready again", []Record{delivered(10, "draining"), delivered(1500, "ready"), placed(2300, 1, 5, 0, 0)}, nil},
	{"silence, within what may be", []Record{listDelivered, listed, placed(14000, 1, 5, 0, 0)}, nil},
	{"silence counts as notified", []Record{listDelivered, listed, placed(15500, 1, 5, 0, 0)}, []int{3}},
	{"silence after a failed call", []Record{listDelivered, {At: 4000, Kind: ListDelivered, Scheduler: "s", Detail: "failed"}, listed, placed(15500, 1, 5, 0, 0)}, nil},
	{"out by the calendar", []Record{{At: 10, Kind: MaintenanceChanged, Node: 1, Detail: "out"}, placed(2300, 1, 5, 0, 0)}, []int{3}},
	{"back by the calendar", []Record{
		{At: 10, Kind: MaintenanceChanged, Node: 1, Detail: "out"},
		{At: 2000, Kind: MaintenanceChanged, Node: 1, Detail: "back"},
		placed(2300, 1, 5, 0, 0),
	}, nil},
	{"a cold node", []Record{
		{At: 10, Kind: NodeStarted, Node: 1, Detail: "cold"},
		placed(20, 1, 5, 0, 0), placed(30, 1, 6, 0, 0),
		placed(1100, 1, 7, 0, 0),
	}, nil},
	{"too much for a cold node", []Record{
		{At: 10, Kind: NodeStarted, Node: 1, Detail: "cold"},
		placed(20, 1, 5, 0, 0), placed(30, 1, 6, 0, 0),
		placed(900, 1, 7, 0, 0),
	}, []int{4}},
	{"pushed over", []Record{{At: 10, Kind: NodeOverloaded, Node: 1}}, []int{4}},
	{"too many in a zone", []Record{placed(20, 1, 5, 0, 1), placed(30, 2, 6, 0, 1), placed(40, 1, 7, 0, 1)}, []int{5}},
	{"too many while time is left", []Record{placed(20, 1, 5, 0, 1), placed(30, 2, 6, 0, 1), placed(900, 1, 7, 0, 1)}, []int{5}},
	{"their time ran out just then", []Record{placed(20, 1, 5, 0, 1), placed(30, 2, 6, 0, 1), placed(950, 1, 7, 0, 1)}, nil},
	{"their node restarted", []Record{placed(20, 1, 5, 0, 1), placed(30, 2, 6, 0, 1), {At: 35, Kind: NodeStarted, Node: 1}, placed(40, 1, 7, 0, 1)}, nil},
	{"two zones", []Record{placed(20, 1, 5, 0, 1), placed(30, 2, 6, 0, 1), placed(40, 3, 7, 0, 1)}, nil},
	{"one has ended", []Record{placed(20, 1, 5, 0, 1), placed(30, 2, 6, 0, 1), concluded(35, "ended"), placed(40, 1, 7, 0, 1)}, nil},
}

func TestCheck(t *testing.T) {
	for _, c := range checkCases {
		t.Run(c.name, func(t *testing.T) {
			var got []int
			for _, b := range Check(append([]Record{started(0)}, c.records...), rules) {
				got = append(got, int(b.Rule))
			}
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("broken %v, want %v", got, c.want)
			}
		})
	}
}
