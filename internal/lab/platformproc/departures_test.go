package platformproc

import (
	"fmt"
	"testing"
	"time"
)

// departures are the ways in which a client ends its connection.
var departures = map[string]func(x *Client){"closes": (*Client).Close, "resets": (*Client).Reset}

// TestNothingBeginsForClientThatHasGone guards against attempts for a client that has closed its connection while much of what it sent was unread: the
// nodes receive nothing for it later than 0.1 s after the close.
func TestNothingBeginsForClientThatHasGone(t *testing.T) {
	for name, depart := range departures {
		for _, class := range []string{"batch", "single"} {
			t.Run(name+" "+class, func(t *testing.T) {
				r := startRig(t, [2]string{"a", "east"}, [2]string{"b", "west"})
				for round := range 10 {
					first := r.last + 1
					goneAt := r.sendAndLeave(class, time.Duration(round)*3*time.Millisecond, depart)
					time.Sleep(300 * time.Millisecond)
					r.checkNothingBegan(first, goneAt)
				}
			})
		}
	}
}

// sendAndLeave sends 2,000 requests at once on a new connection, ends it after a delay, and returns when.
func (r *rig) sendAndLeave(class string, delay time.Duration, depart func(x *Client)) (goneAt time.Time) {
	r.t.Helper()
	x := r.dial()
	var b []byte
	for range 2000 {
		b = append(b, Request{Task: r.newTask(), JobClass: class, TimeLeft: requestTimeout, Service: r.last}.Encode()...)
	}
	r.check(x.Send(b))
	time.Sleep(delay)
	goneAt = time.Now()
	depart(x)
	return goneAt
}

// checkNothingBegan checks that nodes received nothing for the tasks from first on later than goneLimit after their client had gone.
func (r *rig) checkNothingBegan(first uint64, goneAt time.Time) {
	r.t.Helper()
	for task := first; task <= r.last; task++ {
		for _, s := range r.history.SetUps(task) {
			if late := s.At.Sub(goneAt); late > goneLimit {
				r.t.Fatalf("task %d was sent to %s %s after its client had gone", task, s.Node, late)
			}
		}
	}
}

// TestTaskNumberRunsOnce guards against a second run of at-most-once work whose number comes again after its client had left while an attempt was out.
func TestTaskNumberRunsOnce(t *testing.T) {
	for name, depart := range departures {
		for _, delay := range []time.Duration{0, 2 * time.Millisecond, 5 * time.Millisecond, 15 * time.Millisecond, 40 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " after ", delay), func(t *testing.T) {
				r := startRig(t, [2]string{"a", "east"}, [2]string{"b", "west"})
				for range 12 {
					request := Request{Task: r.newTask(), JobClass: "single", TimeLeft: requestTimeout, Service: r.last}
					x := r.dial()
					r.check(x.Request(request))
					time.Sleep(delay)
					depart(x)
					again := r.dial()
					r.check(again.Request(request))
					if _, ok := again.Await(request.Task, 0, requestTimeout+answerSlack); !ok {
						t.Errorf("task %d has no answer when its number comes again", request.Task)
					}
					if setUps := r.history.SetUps(request.Task); len(setUps) > 1 {
						t.Errorf("task %d was sent to nodes %d times: %v", request.Task, len(setUps), setUps)
					}
				}
			})
		}
	}
}
