package consensus

import (
	"fmt"
)

// silentLogger discards Raft's log lines. Its methods for fatal conditions panic.
type silentLogger struct{}

func (silentLogger) Debug(...any) {}

func (silentLogger) Debugf(string, ...any) {}

func (silentLogger) Error(...any) {}

func (silentLogger) Errorf(string, ...any) {}

func (silentLogger) Info(...any) {}

func (silentLogger) Infof(string, ...any) {}

func (silentLogger) Warning(...any) {}

func (silentLogger) Warningf(string, ...any) {}

func (silentLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

func (silentLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}

func (silentLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

func (silentLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
