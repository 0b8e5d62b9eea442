package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// visit is a request of an owner on a new connection.
type visit struct {
	answered bool
	kind     byte
	after    time.Duration // from the last byte of the set-up to the answer, or to the end of the connection
	end      error         // why the connection ended, if there was no answer
}

// visitOnce connects, sends a set-up at once, and waits for the answer or the end of the connection.
func visitOnce(address string, task uint64) (v visit, err error) {
	c, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return v, err
	}
	defer func() { _ = c.Close() }()
	b := encode(kindSetUp, task, param{paramClass, "batch"}, param{paramTimeLeft, "5000"}, param{paramTenant, "acme"}, param{paramName, "00000000000000aa"},
		param{paramFigures, "cores:1;memory:2;service:00000000000000bb"}, param{paramDescription, "task"})
	if _, err := c.Write(b); err != nil {
		return v, err
	}
	sent := time.Now()
	_ = c.SetReadDeadline(sent.Add(5*time.Second + answerLimit))
	v.end = readMessages(c, func(m message) {
		if m.task == task && !v.answered {
			v.answered, v.kind, v.after = true, m.kind, time.Since(sent)
			_ = c.SetReadDeadline(time.Now()) // enough is known
		}
	})
	if !v.answered {
		v.after = time.Since(sent)
	}
	return v, nil
}

const (
	waves       = 24
	waveEvery   = 3 * time.Second
	silentConns = 400
	owners      = 9
	visitEvery  = 100 * time.Millisecond // of one owner
	crossing    = 50 * time.Millisecond  // a set-up that crosses a close within this time is sent once more
)

// crowd: some hundreds of clients connect at the same time and say nothing, once every 3 s. They go when they are turned away.
func crowd(s setting) (int, error) {
	f, err := startFleet(s, settingsText(1, 29), []int64{0, 0, 0, 0}, func(n *node) { n.life = 2 * time.Second })
	if err != nil {
		return noRun, err
	}
	defer f.scheduler.kill()
	var lost, resent, total, refused, task atomic.Int64
	end := time.Now().Add(waves * waveEvery)
	var running sync.WaitGroup
	for range owners {
		running.Go(func() {
			for ; time.Now().Before(end); time.Sleep(visitEvery) {
				number := uint64(task.Add(1))
				total.Add(1)
				v, err := visitOnce(f.scheduler.address, number)
				s.record.add("task %d: answered %t (kind %d) after %.1f ms: %v %v", number, v.answered, v.kind, v.after.Seconds()*1000, v.end, err)
				if err == nil && !v.answered && v.after < crossing {
					resent.Add(1)
					v, err = visitOnce(f.scheduler.address, 1<<32+number)
					s.record.add("task %d, sent once more: answered %t (kind %d) after %.1f ms: %v %v", number, v.answered, v.kind, v.after.Seconds()*1000, v.end, err)
				}
				switch {
				case err != nil:
					refused.Add(1)
				case !v.answered:
					lost.Add(1)
				}
			}
		})
	}
	for range waves {
		time.Sleep(waveEvery / 2)
		if s.trouble {
			s.record.add("%d clients connect and say nothing", silentConns)
			for range silentConns {
				running.Go(func() {
					if c, err := net.DialTimeout("tcp4", f.scheduler.address, time.Second); err == nil {
						_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
						if _, err := io.Copy(io.Discard, c); errors.Is(err, io.EOF) {
							s.record.add("a silent client was turned away")
						}
						_ = c.Close()
					}
				})
			}
		}
		time.Sleep(waveEvery / 2)
	}
	running.Wait()
	s.record.say("%d set-ups on new connections, %d sent once more, %d without an answer, %d could not be sent", total.Load(), resent.Load(), lost.Load(), refused.Load())
	if f.scheduler.hasEnded() {
		s.record.say("the scheduler has ended")
		return broken, nil
	}
	if lost.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
