package platformproc

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	codec "ravenpond/internal/proto/platform"
)

// load sends requests of a usual client at intervals, and checks that each has its final answer in time, and whether half of them are served.
func (r *rig) load(x *Client, duration time.Duration, mustServe bool) {
	r.t.Helper()
	var tasks []uint64
	served := 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		tasks = append(tasks, r.request(x, "batch"))
	}
	sentAt := time.Now()
	for _, task := range tasks {
		e, ok := x.Await(task, 0, requestTimeout+answerSlack-time.Since(sentAt))
		if !ok {
			r.t.Errorf("the usual client has no answer for task %d", task)
		} else if e.Kind == kindAnswer {
			served++
		}
	}
	r.t.Logf("%d of %d requests of the usual client were served", served, len(tasks))
	if mustServe && served < len(tasks)/2 {
		r.t.Errorf("%d of %d requests of the usual client were served, want half", served, len(tasks))
	}
}

// watchMemory samples the memory of the process until the returned function is called, which checks that the process lives and has stayed within its
// limit.
func (r *rig) watchMemory(limitMB int) (check func()) {
	stop := make(chan struct{})
	var sampling sync.WaitGroup
	peak := 0
	sampling.Go(func() {
		for pause(stop, 5*time.Millisecond) {
			size, err := r.process.PrivateMemory()
			if err != nil {
				return
			}
			peak = max(peak, size)
		}
	})
	return func() {
		r.t.Helper()
		close(stop)
		sampling.Wait()
		r.t.Logf("peak memory %.1f MB of %d", float64(peak)/(1<<20), limitMB)
		if r.process.HasEnded() || peak == 0 || peak > limitMB<<20 {
			r.t.Errorf("peak memory %.1f MB, ended %t; limit %d MB", float64(peak)/(1<<20), r.process.HasEnded(), limitMB)
		}
	}
}

// crowdMember is what one of hundreds of clients does with its connection until stop is closed.
type crowdMember func(c net.Conn, stop <-chan struct{})

// largeRequest returns a request of almost the maximum size, with a large description or with very many empty parameters.
func largeRequest(task uint64, manyParams bool) []byte {
	const room = 15 << 10 // bytes beside the usual parameters
	if !manyParams {
		return Message(codec.KindSetUp, task, Param{codec.ParamJobClass, "batch"}, Param{codec.ParamDescription, string(make([]byte, room))})
	}
	params := []Param{{codec.ParamJobClass, "batch"}}
	for range room / 3 {
		params = append(params, Param{200, ""})
	}
	return Message(codec.KindSetUp, task, params...)
}

// crowd are the kinds of clients of TestCrowdOfSlowClientsStaysWithinMemory.
var crowd = map[string]crowdMember{
	"write slowly": func(c net.Conn, stop <-chan struct{}) {
		for _, b := range largeRequest(1, false) {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			if !pause(stop, 2*time.Millisecond) {
				return
			}
		}
	},
	"stop half way": func(c net.Conn, stop <-chan struct{}) {
		message := largeRequest(1, false)
		_, _ = c.Write(message[:len(message)/2])
		<-stop
	},
	"send heads of many short fields": func(c net.Conn, stop <-chan struct{}) {
		for task := uint64(1); ; task++ {
			if _, err := c.Write(largeRequest(task, true)); err != nil || !pause(stop, time.Millisecond) {
				return
			}
		}
	},
}

// pause waits for a time, and reports whether stop was not closed meanwhile.
func pause(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

// TestCrowdOfSlowClientsStaysWithinMemory guards against a process that passes its memory limit, or stops serving others, while hundreds of clients write
// slowly, stop half way through a large request, or send very many short fields. Each reconnects when its connection is closed.
func TestCrowdOfSlowClientsStaysWithinMemory(t *testing.T) {
	const members, limitMB = 400, 32
	for name, member := range crowd {
		t.Run(name, func(t *testing.T) {
			r := startRigWith(t, Options{MemoryMB: limitMB, Sockets: 1024}, [2]string{"a", "east"}, [2]string{"b", "west"})
			x, checkMemory := r.dial(), r.watchMemory(limitMB)
			stop := make(chan struct{})
			var running sync.WaitGroup
			for range members {
				running.Go(func() {
					for pause(stop, time.Duration(rand.IntN(20))*time.Millisecond) {
						if c, err := net.DialTimeout("tcp4", r.process.Address, time.Second); err == nil {
							member(c, stop)
							_ = c.Close()
						}
					}
				})
			}
			r.load(x, 4*time.Second, true)
			close(stop)
			running.Wait()
			checkMemory()
		})
	}
}

// flood is what the client of TestFloodOfOneClientLeavesOthersAlone sends.
type flood struct {
	message    func(i uint64) []byte // by the number of the message
	takesRooms bool                  // its tasks take all the room of the nodes, so that others are not served
}

var floods = map[string]flood{
	"unknown job class": {message: func(i uint64) []byte {
		return Request{Task: 1<<32 + i, JobClass: "none", TimeLeft: requestTimeout, Service: i}.Encode()
	}},
	"requests under new names": {message: func(i uint64) []byte {
		return Request{Task: 1<<32 + i, JobClass: "batch", TimeLeft: requestTimeout, Service: 1<<40 + i}.Encode()
	}, takesRooms: true},
	"keyed requests under new names": {message: func(i uint64) []byte {
		return Request{Task: 1<<32 + i, JobClass: "marked", TimeLeft: requestTimeout, Service: 1<<40 + i}.Encode()
	}, takesRooms: true},
	"hand-overs at unknown nodes": {message: func(i uint64) []byte {
		return Request{Task: 1<<32 + i, JobClass: "batch", TimeLeft: requestTimeout, Service: 1, RunsAt: fmt.Sprint("x", i)}.Encode()
	}},
	"hand-overs at a known node": {message: func(i uint64) []byte {
		return Request{Task: 1<<32 + i, JobClass: "batch", TimeLeft: requestTimeout, Service: i, RunsAt: "a"}.Encode()
	}, takesRooms: true},
	"ends of unknown tasks": {message: func(i uint64) []byte { return codec.AppendEnd(nil, 1<<32+i, codec.CauseNormal) }},
	"health checks":         {message: func(i uint64) []byte { return codec.AppendHealthCheck(nil, i, true) }},
	"notes":                 {message: func(i uint64) []byte { return Message(codec.KindNote, i) }},
	"requests that are withdrawn at once": {message: func(i uint64) []byte {
		return codec.AppendEnd(Request{Task: 1<<32 + i, JobClass: "batch", TimeLeft: requestTimeout, Service: i}.Encode(), 1<<32+i, codec.CauseNormal)
	}},
}

// TestFloodOfOneClientLeavesOthersAlone guards against late or missing answers to other clients, and against memory that grows, while one client sends small
// or unsound messages on one connection at full speed, also under ever new names. It reconnects when its connection is closed.
func TestFloodOfOneClientLeavesOthersAlone(t *testing.T) {
	const limitMB = 32
	for name, f := range floods {
		t.Run(name, func(t *testing.T) {
			r := startRigWith(t, Options{MemoryMB: limitMB, Sockets: 512}, [2]string{"a", "east"}, [2]string{"b", "west"})
			x, checkMemory := r.dial(), r.watchMemory(limitMB)
			stop := make(chan struct{})
			var running sync.WaitGroup
			running.Go(func() { r.flood(f.message, stop) })
			r.load(x, 3*time.Second, !f.takesRooms)
			close(stop)
			running.Wait()
			checkMemory()
		})
	}
}

// flood sends messages at full speed on one connection, and reads what is sent back, until stop is closed.
func (r *rig) flood(message func(i uint64) []byte, stop <-chan struct{}) {
	sent := uint64(0)
	for pause(stop, time.Millisecond) {
		c, err := net.DialTimeout("tcp4", r.process.Address, time.Second)
		if err != nil {
			continue
		}
		var reading sync.WaitGroup
		reading.Go(func() {
			buffer := make([]byte, codec.MaxMessage)
			for {
				if _, err := c.Read(buffer); err != nil {
					return
				}
			}
		})
		for err == nil && pause(stop, 0) {
			var batch []byte
			for range 100 {
				sent++
				batch = append(batch, message(sent)...)
			}
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			_, err = c.Write(batch)
		}
		_ = c.Close()
		reading.Wait()
	}
	r.t.Logf("%d messages sent", sent)
}
