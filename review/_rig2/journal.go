package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// entry is a node in an event of the node list.
type entry struct {
	Name    string     `json:"name"`
	Address string     `json:"address"`
	Zone    string     `json:"zone"`
	Type    string     `json:"type"`
	Group   int        `json:"group"`
	Status  string     `json:"status"`
	Weight  int        `json:"weight"`
	Since   int64      `json:"since_ms"`
	Room    [2]float64 `json:"room"`
}

// journal is a journal service: it sends each event, and the last number alone every second.
type journal struct {
	listener net.Listener
	record   *record

	mu    sync.Mutex
	lines []string
	sent  map[net.Conn]int
}

func startJournal(r *record, entries ...entry) (*journal, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	j := &journal{listener: l, record: r, sent: map[net.Conn]int{}}
	j.publish(entries...)
	go j.accept()
	go func() {
		for range time.Tick(time.Second) {
			j.mu.Lock()
			for c := range j.sent {
				_, _ = fmt.Fprintln(c, len(j.lines))
			}
			j.mu.Unlock()
		}
	}()
	return j, nil
}

func (j *journal) address() string { return j.listener.Addr().String() }

// publish puts an event into the journal: from then on it counts as told. The first one is the whole list.
func (j *journal) publish(entries ...entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	pos := len(j.lines) + 1
	b, _ := json.Marshal(map[string]any{"pos": pos, "hosts": map[string]any{"index": pos, "snapshot": pos == 1, "endpoints": entries}})
	j.lines = append(j.lines, string(b))
	for _, e := range entries {
		j.record.add("journal event %d: node %s at %s is %s, since_ms %d", pos, e.Name, e.Address, e.Status, e.Since)
	}
	for c := range j.sent {
		j.flush(c)
	}
}

// flush sends a subscriber what it was not sent yet. The caller holds the lock.
func (j *journal) flush(c net.Conn) {
	for _, line := range j.lines[j.sent[c]:] {
		_, _ = fmt.Fprintln(c, line)
	}
	j.sent[c] = len(j.lines)
}

func (j *journal) known() map[string]any {
	j.mu.Lock()
	defer j.mu.Unlock()
	var entries []json.RawMessage
	for _, line := range j.lines {
		entries = append(entries, json.RawMessage(line))
	}
	return map[string]any{"pos": len(entries), "entries": entries}
}

func (j *journal) accept() {
	for {
		c, err := j.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			reader := bufio.NewReader(c)
			line, err := reader.ReadString('\n')
			from := 0
			if _, scanErr := fmt.Sscanf(line, "tail %d", &from); err != nil || scanErr != nil {
				_ = c.Close()
				return
			}
			j.mu.Lock()
			j.sent[c] = min(from, len(j.lines))
			j.flush(c)
			j.mu.Unlock()
			_, _ = reader.ReadByte()
			j.mu.Lock()
			delete(j.sent, c)
			j.mu.Unlock()
			_ = c.Close()
		}()
	}
}
