package control

import (
	"sync"

	"ravenpond/internal/decide/consensus"
)

// MaxPendingMessages is how many messages, and how many calls, wait for the loop at most. More are dropped: the senders of messages send
// newer ones.
const MaxPendingMessages = 1024

// message is a message of another member, or, without a body, the version of the cluster state that the member holds.
type message struct {
	from    string
	body    []byte
	version uint64
}

// inbox queues what other goroutines have for the loop. It is safe for concurrent use; its lock is held for a few instructions only.
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

// takeAll removes and returns all that waits.
func (i *inbox) takeAll() ([]message, []func(*consensus.Replica)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	messages, calls := i.messages, i.calls
	i.messages, i.calls = nil, nil
	return messages, calls
}
