package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

// add adds a line with the time in ms since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.1f  %s\n", float64(time.Since(r.start))/1e6, fmt.Sprintf(format, args...))
}

// say adds a line and prints it.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// ms returns a time in ms since the start.
func (r *record) ms(t time.Time) float64 { return float64(t.Sub(r.start)) / 1e6 }
