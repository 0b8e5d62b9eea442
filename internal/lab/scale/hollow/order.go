// Package hollow is what stands beside the real schedulers of a scale run: nodes and schedulers that speak the program's
// protocols over real sockets, thousands or hundreds in one process, without the work that real ones do. A hollow process
// takes its plan and then orders as JSON, one a line, from its standard input, answers each by one line on its standard output, and ends when
// its input does.
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

// Action is what a hollow process is ordered to do.
type Action string

// Actions. Those on nodes take the places First to Last-1 of the process's nodes.
const (
	Addresses        Action = "addresses"         // tell where all are reached
	StopNodes        Action = "stop-nodes"        // nodes are gone, with what they ran
	ReturnNodes      Action = "return-nodes"      // they are back, cold
	HangNodes        Action = "hang-nodes"        // they hold their connections and answer nothing
	ResumeNodes      Action = "resume-nodes"      // they answer again
	AwaitConnections Action = "await-connections" // until so many schedulers are connected to each
	Connections      Action = "connections"       // count the schedulers' connections to nodes
	Tasks            Action = "tasks"             // count what nodes hold
	AwaitMember      Action = "await-member"      // until all hold a member in a state; At is when the last did
	StopMember       Action = "stop-member"       // the last hollow scheduler is gone without a word
	AwaitZone        Action = "await-zone"        // until the replicated state has a zone in a state at all; At is when the last did
	LoseZone         Action = "lose-zone"         // hollow schedulers report that they hear none of its nodes
	FindZone         Action = "find-zone"         // they hear it again
	Restart          Action = "restart"           // all hollow schedulers end at once and begin in a later incarnation
	Known            Action = "known"             // count the members that the first hollow scheduler holds for alive
)

// Order is one order.
type Order struct {
	Do          Action
	First, Last int     `json:",omitempty"` // places of nodes
	Count       int     `json:",omitempty"` // of schedulers that are awaited
	Name        string  `json:",omitempty"` // of a member or zone; with one, orders to nodes are to all of the zone
	State       string  `json:",omitempty"`
	Within      float64 `json:",omitempty"` // ms, of what is awaited
}

// Reply answers an order.
type Reply struct {
	Fault     string   `json:",omitempty"`
	Addresses []string `json:",omitempty"`
	Count     int      `json:",omitempty"`
	At        float64  `json:",omitempty"` // unix ms
}

// input is the input of a hollow process.
type input struct{ *bufio.Scanner }

func newInput(in io.Reader) input { return input{bufio.NewScanner(in)} }

// plan reads the first line.
func (l input) plan(into any) error {
	if !l.Scan() {
		return errors.Join(errors.New("no plan"), l.Err())
	}
	if err := json.Unmarshal(l.Bytes(), into); err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	return nil
}

// follow carries out orders until the input or the context ends.
func (l input) follow(ctx context.Context, out io.Writer, do func(Order) (Reply, error)) error {
	answers := json.NewEncoder(out)
	for l.Scan() && ctx.Err() == nil {
		var order Order
		if err := json.Unmarshal(l.Bytes(), &order); err != nil {
			return fmt.Errorf("order: %w", err)
		}
		reply, err := do(order)
		if err != nil {
			reply.Fault = err.Error()
		}
		if err := answers.Encode(reply); err != nil {
			return fmt.Errorf("answer: %w", err)
		}
	}
	return l.Err()
}

// errUnknownAction answers an order that a process of this sort does not know.
var errUnknownAction = errors.New("unknown action")

var errNotWithin = errors.New("not within the time that was given")

const (
	pollInterval   = 5 * time.Millisecond
	defaultAwaitMs = 10_000 // ms
)

// await waits until all are as they should be, and tells when the last was.
func await[T any](all []T, withinMs float64, is func(T) bool) (Reply, error) {
	if withinMs == 0 {
		withinMs = defaultAwaitMs
	}
	left := all
	for end := time.Now().Add(time.Duration(withinMs * 1e6)); time.Now().Before(end); time.Sleep(pollInterval) {
		for len(left) > 0 && is(left[0]) {
			left = left[1:]
		}
		if len(left) == 0 {
			return Reply{At: unixMs(), Count: len(all)}, nil
		}
	}
	return Reply{Count: len(all) - len(left)}, errNotWithin
}
