package control

import (
	"sync"

	"ravenpond/internal/decide/consensus"
)

// MaxPendingMessages is the maximum number of messages, and the maximum number of calls, that wait for the loop. Further ones are dropped;
// members whose messages were dropped send newer ones later.
const MaxPendingMessages = 1024

// message is a message of another member or, if body is nil, the version of the cluster state that the member holds.
type message struct {
	from    string
	body    []byte
	version uint64
}

// inbox queues messages and calls of other goroutines for the loop. It is safe for concurrent use. Its lock is held only briefly.
type inbox struct {
	mu       sync.Mutex
	messages []message                  // guarded by mu
	calls    []func(*consensus.Replica) // guarded by mu
}

func (i *inbox) putMessage(m message) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.messages) < MaxPendingMessages {
		i.messages = append(i.messages, m)
	}
}

func (i *inbox) putCall(f func(*consensus.Replica)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.calls) < MaxPendingMessages {
		i.calls = append(i.calls, f)
	}
}

// takeAll removes and returns all pending messages and calls.
func (i *inbox) takeAll() ([]message, []func(*consensus.Replica)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	messages, calls := i.messages, i.calls
	i.messages, i.calls = nil, nil
	return messages, calls
}
