// Package usednumbers remembers which numbers of tasks have been used for work that may have run. Clients give each request a new number; one that comes again
// after its client had left must not run a second time.
//
// The inputs are numbers and the time; the output is whether a request with a number may be attempted. The package does no I/O and returns no errors. A
// Memory is not safe for concurrent use. Times are milliseconds.
package usednumbers

import (
	"fmt"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"ravenpond/logic"
)

// Limits of a Memory.
const (
	retention  = 60000 // ms; clients wait for some seconds at most before they ask again
	maxNumbers = 8192  // over 100 a second for the time of retention
)

// Memory holds the numbers that were used last, for a limited time and up to a limited number. When there are too many, the oldest are dropped.
type Memory struct {
	usedAt *simplelru.LRU[uint64, float64]
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	usedAt, err := simplelru.NewLRU[uint64, float64](maxNumbers, nil)
	if err != nil { // the size is not positive
		panic(fmt.Sprintf("LRU list of %d numbers: %v", maxNumbers, err))
	}
	return &Memory{usedAt}
}

// Add records that work of a class, under a number, may have run.
func (m *Memory) Add(now float64, number uint64, class *logic.JobClass) {
	if mayRunAgain(class) {
		return
	}
	m.usedAt.Add(number, now)
	for {
		_, oldest, ok := m.usedAt.GetOldest()
		if !ok || now-oldest < retention {
			return
		}
		m.usedAt.RemoveOldest()
	}
}

// mayRunAgain reports whether a second run of a class's work does no harm wherever it runs.
func mayRunAgain(class *logic.JobClass) bool {
	return class.Semantics == logic.Restartable || class.Semantics == logic.Idempotent && !class.IsScoped()
}

// Contains reports whether work under a number may have run within the time of retention.
func (m *Memory) Contains(now float64, number uint64) bool {
	usedAt, ok := m.usedAt.Peek(number)
	return ok && now-usedAt < retention
}

// Len returns the number of remembered numbers.
func (m *Memory) Len() int { return m.usedAt.Len() }
