// Package hollow provides the peers of the real schedulers in a scale run: hollow nodes and schedulers, which speak the program's protocols over
// real sockets, thousands of nodes or hundreds of schedulers in one process, without the work that real ones do. A hollow process reads its
// plan and then orders from its standard input as lines of JSON, answers each order with one line on its standard output, and ends when its
// input does.
package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Action is what an order tells a hollow process to do.
type Action string

// Actions. Those on nodes apply to the nodes with the indices First to Last-1 in the process, or to all nodes of a zone.
const (
	Addresses        Action = "addresses"         // return the addresses of all nodes or of the seed schedulers
	StopNodes        Action = "stop-nodes"        // crash nodes, which lose their tasks
	ReturnNodes      Action = "return-nodes"      // restart crashed nodes, which are cold
	HangNodes        Action = "hang-nodes"        // nodes keep their connections and answer nothing
	ResumeNodes      Action = "resume-nodes"      // hung nodes answer again
	AwaitConnections Action = "await-connections" // wait until at least Count schedulers are connected to each node
	Connections      Action = "connections"       // count the schedulers' connections to nodes
	Tasks            Action = "tasks"             // count the tasks on nodes
	AwaitMember      Action = "await-member"      // wait until all schedulers hold a member in State; At is when the last did
	StopMember       Action = "stop-member"       // stop the last hollow scheduler without notifying the others
	AwaitZone        Action = "await-zone"        // wait until the replicated state of all schedulers has a zone in State; At is when the last did
	LoseZone         Action = "lose-zone"         // hollow schedulers report no node of a zone as reachable
	FindZone         Action = "find-zone"         // hollow schedulers report the nodes of the zone as reachable again
	Restart          Action = "restart"           // stop all hollow schedulers and start them in the next incarnation
	CountAlive       Action = "known"             // count the members that the first hollow scheduler holds as alive
)

// Order is an order to a hollow process.
type Order struct {
	Do          Action
	First, Last int     `json:",omitempty"` // indices of nodes in the process: First up to Last-1
	Count       int     `json:",omitempty"` // number of schedulers to wait for
	Name        string  `json:",omitempty"` // of a member or zone; an order to nodes with a name applies to all nodes of that zone
	State       string  `json:",omitempty"` // state to wait for
	Within      float64 `json:",omitempty"` // time limit of a wait in ms; 0: the default
}

// Reply is the answer to an order.
type Reply struct {
	Fault     string   `json:",omitempty"` // error message; empty: the order was carried out
	Addresses []string `json:",omitempty"`
	Count     int      `json:",omitempty"`
	At        float64  `json:",omitempty"` // ms since the Unix epoch
}

// input reads the plan and the orders of a hollow process, one a line.
type input struct{ *bufio.Scanner }

func newInput(in io.Reader) input { return input{bufio.NewScanner(in)} }

// readPlan reads the plan, the first line, into a value.
func (i input) readPlan(destination any) error {
	if !i.Scan() {
		return errors.Join(errors.New("input ended before the plan"), i.Err())
	}
	if err := json.Unmarshal(i.Bytes(), destination); err != nil {
		return fmt.Errorf("decode plan: %w", err)
	}
	return nil
}

// serve carries out orders and writes their replies until the input or the context ends.
func (i input) serve(ctx context.Context, out io.Writer, handle func(Order) (Reply, error)) error {
	replies := json.NewEncoder(out)
	for i.Scan() && ctx.Err() == nil {
		var order Order
		if err := json.Unmarshal(i.Bytes(), &order); err != nil {
			return fmt.Errorf("decode order: %w", err)
		}
		reply, err := handle(order)
		if err != nil {
			reply.Fault = err.Error()
		}
		if err := replies.Encode(reply); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
	return i.Err()
}

// errUnknownAction is the answer to an action that this kind of process does not support.
var errUnknownAction = errors.New("unsupported action")

// errAwaitTimeout is the answer to an order whose condition was not met within its time limit.
var errAwaitTimeout = errors.New("condition not met within the time limit")

const (
	pollInterval   = 5 * time.Millisecond
	defaultAwaitMs = 10_000
)

// await waits until a condition has held for each element, in turn, and returns the time at which the last was met. It fails with
// errAwaitTimeout after a time limit in ms; 0 stands for defaultAwaitMs.
func await[T any](all []T, withinMs float64, condition func(T) bool) (Reply, error) {
	if withinMs == 0 {
		withinMs = defaultAwaitMs
	}
	remaining := all
	for deadline := time.Now().Add(time.Duration(withinMs * 1e6)); time.Now().Before(deadline); time.Sleep(pollInterval) {
		for len(remaining) > 0 && condition(remaining[0]) {
			remaining = remaining[1:]
		}
		if len(remaining) == 0 {
			return Reply{At: unixMs(), Count: len(all)}, nil
		}
	}
	return Reply{Count: len(all) - len(remaining)}, errAwaitTimeout
}
