package platformproc

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// positionInterval is the time between two position messages of the journal service.
const positionInterval = time.Second

// Entry is a node in an event of the node list.
type Entry struct {
	Name    string     `json:"name"`
	Address string     `json:"address"`
	Zone    string     `json:"zone"`
	Type    string     `json:"type"`
	Group   int        `json:"group"`
	Status  string     `json:"status"`
	Since   int64      `json:"since_ms"` // Unix ms at which the node started, 0: long ago
	Room    [2]float64 `json:"room"`     // cores and memory
}

// Journal is a journal service. Its first event is the initial node list.
type Journal struct {
	listener net.Listener
	closing  chan struct{}
	running  sync.WaitGroup

	mu    sync.Mutex
	lines []string         // events; line i has position i+1
	told  map[net.Conn]int // the number of lines that each subscriber was sent
}

// StartJournal starts a journal service.
func StartJournal(initial ...Entry) (*Journal, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	j := &Journal{listener: listener, closing: make(chan struct{}), told: map[net.Conn]int{}}
	if err := j.add(true, initial); err != nil {
		return nil, err
	}
	j.running.Go(j.accept)
	j.running.Go(j.sendPositions)
	return j, nil
}

// Address returns the address of the service.
func (j *Journal) Address() string { return j.listener.Addr().String() }

// Publish adds an event with the changes of some nodes.
func (j *Journal) Publish(changes ...Entry) error { return j.add(false, changes) }

// Close ends the service.
func (j *Journal) Close() {
	close(j.closing)
	_ = j.listener.Close()
	j.mu.Lock()
	for c := range j.told {
		_ = c.Close()
	}
	j.mu.Unlock()
	j.running.Wait()
}

// add adds an event and sends it to the subscribers.
func (j *Journal) add(snapshot bool, entries []Entry) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	position := len(j.lines) + 1
	line, err := json.Marshal(map[string]any{
		"pos": position, "hosts": map[string]any{"index": position, "snapshot": snapshot, "endpoints": entries},
	})
	if err != nil {
		return err
	}
	j.lines = append(j.lines, string(line))
	for c := range j.told {
		j.sendTo(c)
	}
	return nil
}

// sendTo sends a subscriber the events that it was not sent yet. The caller holds the lock.
func (j *Journal) sendTo(c net.Conn) {
	for _, line := range j.lines[j.told[c]:] {
		_, _ = fmt.Fprintln(c, line) // a subscriber that has gone is noticed by its reader
	}
	j.told[c] = len(j.lines)
}

// known returns the events so far in the form of a scheduler's configuration.
func (j *Journal) known() map[string]any {
	j.mu.Lock()
	defer j.mu.Unlock()
	var entries []json.RawMessage
	for _, line := range j.lines {
		entries = append(entries, json.RawMessage(line))
	}
	return map[string]any{"pos": len(entries), "entries": entries}
}

func (j *Journal) accept() {
	for {
		c, err := j.listener.Accept()
		if err != nil {
			return
		}
		j.running.Go(func() { j.serve(c) })
	}
}

// serve reads the request of a subscriber, and waits until it has gone.
func (j *Journal) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	line, err := reader.ReadString('\n')
	var from int
	if n, _ := fmt.Sscanf(line, "tail %d", &from); err != nil || n != 1 {
		return
	}
	j.mu.Lock()
	j.told[c] = min(from, len(j.lines))
	j.sendTo(c)
	j.mu.Unlock()
	_, _ = reader.ReadByte()
	j.mu.Lock()
	delete(j.told, c)
	j.mu.Unlock()
}

// sendPositions sends the last position to all subscribers at regular intervals.
func (j *Journal) sendPositions() {
	ticker := time.NewTicker(positionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-j.closing:
			return
		case <-ticker.C:
		}
		j.mu.Lock()
		for c := range j.told {
			_, _ = fmt.Fprintln(c, len(j.lines))
		}
		j.mu.Unlock()
	}
}
