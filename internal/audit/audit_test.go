package audit

import (
	"fmt"
	"testing"
)

var rules = Rules{
	Jobs:  []JobRules{{}, {Semantics: Idempotent, Scope: ScopeZone, Window: 5000, Spread: SpreadZone, MaxPerDomain: 2}, {Semantics: AtMostOnce}},
	Nodes: map[uint32]Location{1: {"a", "a1"}, 2: {"a", "a2"}, 3: {"b", "b1"}}, DrainGrace: 2000, ListPolled: true, PollInterval: 8000, SlowStartLimit: 2,
	SlowStartDuration: 10000, SlowStartWindow: 1000, Slack: 100,
}

// started is the record of the start of the scheduler to which all records belong.
func started(at float64) Record { return Record{At: at, Kind: SchedulerStarted, Scheduler: "s"} }

// placed is the record of an attempt that a node received from a shard of the scheduler.
func placed(at float64, node uint32, ticket uint64, attempt uint8, job int) Record {
	return Record{
		At: at, Kind: PlacementReceived, Scheduler: "s.1", Node: node, Ticket: ticket, Attempt: attempt, Job: job, Token: ticket, Service: 9,
		Deadline: at + 1000,
	}
}

// concluded is the record of the outcome of the first attempt of ticket 5 at node 1.
func concluded(at float64, detail string) Record {
	return Record{At: at, Kind: AttemptConcluded, Scheduler: "s.1", Node: 1, Ticket: 5, Detail: detail}
}

// responded is the record of an answer to the request in requested.
func responded(at float64, detail string) Record {
	return Record{At: at, Kind: ResponseReceived, Scheduler: "s", Client: 1, RequestRef: 7, Detail: detail}
}

// delivered is the record of the availability of node 1 that the list sent to the scheduler.
func delivered(at float64, detail string) Record {
	return Record{At: at, Kind: EndpointDelivered, Scheduler: "s", Node: 1, Detail: detail}
}

var (
	requested     = Record{At: 10, Kind: RequestSent, Scheduler: "s", Client: 1, RequestRef: 7, Token: 5, Job: 2, Deadline: 900}
	listDelivered = Record{At: 1, Kind: ListDelivered, Scheduler: "s"}
	listed        = Record{At: 5000, Kind: EndpointChanged, Node: 1, Detail: "draining"}
)

// checkCases are traces and the rules that they violate.
var checkCases = []struct {
	name    string
	records []Record
	want    []int // numbers of the violated rules
}{
	{"answered in time", []Record{requested, responded(800, "served")}, nil},
	{"answered late", []Record{requested, responded(1000, "served")}, []int{1}},
	{"answered late, scheduler paused at the deadline", []Record{
		requested,
		{At: 500, Kind: SchedulerPaused, Scheduler: "s"},
		{At: 980, Kind: SchedulerResumed, Scheduler: "s"},
		responded(1000, "served"),
	}, nil},
	{"not answered", []Record{requested, {At: 2000, Kind: ListDelivered, Scheduler: "s"}}, []int{1}},
	{"not answered, scheduler killed", []Record{requested, {At: 100, Kind: SchedulerKilled, Scheduler: "s"}, {At: 2000, Kind: ListDelivered, Scheduler: "s"}}, nil},
	{"not answered, request abandoned", []Record{requested, {At: 100, Kind: RequestAbandoned, Client: 1, RequestRef: 7}, {At: 2000, Kind: ListDelivered, Scheduler: "s"}}, nil},
	{"answered twice", []Record{requested, responded(20, "served"), responded(30, "failed")}, []int{1}},
	{"answer without a request", []Record{responded(20, "served")}, []int{1}},
	{"declined although an attempt may have run", []Record{requested, placed(20, 1, 5, 0, 2), responded(800, "declined")}, []int{2}},
	{"declined after the node refused the attempt", []Record{requested, placed(20, 1, 5, 0, 2), concluded(30, "refused"), responded(800, "declined")}, nil},
	{"second attempt after the first was refused", []Record{placed(20, 1, 5, 0, 0), concluded(30, "refused"), placed(40, 2, 5, 1, 0)}, nil},
	{"earlier attempt arrives after a later one", []Record{placed(900, 2, 5, 1, 0), {
		At: 950, SentAt: 20, Kind: PlacementReceived, Scheduler: "s.1", Node: 1,
		Ticket: 5, Token: 5, Service: 9, Deadline: 1020,
	}}, nil},
	{"two open attempts", []Record{placed(20, 1, 5, 0, 0), placed(40, 2, 5, 1, 0)}, []int{2}},
	{"at most once, second attempt after an error", []Record{placed(20, 1, 5, 0, 2), concluded(30, "error"), placed(40, 2, 5, 1, 2)}, []int{2}},
	{"at most once, second attempt after the deadline", []Record{placed(20, 1, 5, 0, 2), placed(1500, 2, 5, 1, 2)}, []int{2}},
	{"idempotent, second attempt in the same zone", []Record{placed(20, 1, 5, 0, 1), placed(1500, 2, 5, 1, 1)}, nil},
	{"idempotent, second attempt in another zone", []Record{placed(20, 1, 5, 0, 1), placed(1500, 3, 5, 1, 1)}, []int{2}},
	{"idempotent, second attempt after the window", []Record{placed(20, 1, 5, 0, 1), placed(6000, 2, 5, 1, 1)}, []int{2}},
	{"refused after the task started", []Record{
		placed(20, 1, 5, 0, 0),
		{At: 30, Kind: TaskStarted, Scheduler: "s.1", Node: 1, Ticket: 5},
		concluded(40, "refused"),
	}, []int{2}},
	{"placement on a draining node within the grace period", []Record{delivered(10, "draining"), placed(2000, 1, 5, 0, 0)}, nil},
	{"placement on a draining node after the grace period", []Record{delivered(10, "draining"), delivered(1500, "gone"), placed(2300, 1, 5, 0, 0)}, []int{3}},
	{"placement on a node that is ready again", []Record{delivered(10, "draining"), delivered(1500, "ready"), placed(2300, 1, 5, 0, 0)}, nil},
	{"no list delivered, within poll interval and grace period", []Record{listDelivered, listed, placed(14000, 1, 5, 0, 0)}, nil},
	{"no list delivered, after poll interval and grace period", []Record{listDelivered, listed, placed(15500, 1, 5, 0, 0)}, []int{3}},
	{"no list delivered after a failed call, within the longer interval", []Record{listDelivered, {At: 4000, Kind: ListDelivered, Scheduler: "s", Detail: "failed"}, listed, placed(15500, 1, 5, 0, 0)}, nil},
	{"placement on a node under maintenance", []Record{{At: 10, Kind: MaintenanceChanged, Node: 1, Detail: "out"}, placed(2300, 1, 5, 0, 0)}, []int{3}},
	{"placement after maintenance", []Record{
		{At: 10, Kind: MaintenanceChanged, Node: 1, Detail: "out"},
		{At: 2000, Kind: MaintenanceChanged, Node: 1, Detail: "back"},
		placed(2300, 1, 5, 0, 0),
	}, nil},
	{"slow-start limit respected", []Record{
		{At: 10, Kind: NodeStarted, Node: 1, Detail: "cold"},
		placed(20, 1, 5, 0, 0), placed(30, 1, 6, 0, 0),
		placed(1100, 1, 7, 0, 0),
	}, nil},
	{"slow-start limit exceeded", []Record{
		{At: 10, Kind: NodeStarted, Node: 1, Detail: "cold"},
		placed(20, 1, 5, 0, 0), placed(30, 1, 6, 0, 0),
		placed(900, 1, 7, 0, 0),
	}, []int{4}},
	{"node overloaded", []Record{{At: 10, Kind: NodeOverloaded, Node: 1}}, []int{4}},
	{"spread over a zone exceeded", []Record{placed(20, 1, 5, 0, 1), placed(30, 2, 6, 0, 1), placed(40, 1, 7, 0, 1)}, []int{5}},
	{"spread exceeded before the deadline of earlier attempts", []Record{placed(20, 1, 5, 0, 1), placed(30, 2, 6, 0, 1), placed(900, 1, 7, 0, 1)}, []int{5}},
	{"spread respected, deadline of an earlier attempt within the slack", []Record{placed(20, 1, 5, 0, 1), placed(30, 2, 6, 0, 1), placed(950, 1, 7, 0, 1)}, nil},
	{"spread respected, node of earlier attempts restarted", []Record{placed(20, 1, 5, 0, 1), placed(30, 2, 6, 0, 1), {At: 35, Kind: NodeStarted, Node: 1}, placed(40, 1, 7, 0, 1)}, nil},
	{"spread respected, two zones", []Record{placed(20, 1, 5, 0, 1), placed(30, 2, 6, 0, 1), placed(40, 3, 7, 0, 1)}, nil},
	{"spread respected, an earlier task ended", []Record{placed(20, 1, 5, 0, 1), placed(30, 2, 6, 0, 1), concluded(35, "ended"), placed(40, 1, 7, 0, 1)}, nil},
}

func TestCheck(t *testing.T) {
	for _, c := range checkCases {
		t.Run(c.name, func(t *testing.T) {
			var got []int
			for _, violation := range Check(append([]Record{started(0)}, c.records...), rules) {
				got = append(got, int(violation.Rule))
			}
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("violated rules %v, want %v", got, c.want)
			}
		})
	}
}
