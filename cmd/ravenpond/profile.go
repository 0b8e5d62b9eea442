package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/pprof"
	"syscall"
)

// heapSuffix is appended to the path of a CPU profile to name the heap profile beside it.
const heapSuffix = ".heap"

// startCPUProfile starts writing a CPU profile. stop ends it and closes the file.
func startCPUProfile(path string) (stop func() error, err error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return func() error {
		pprof.StopCPUProfile()
		return f.Close()
	}, nil
}

// profileOnSignals writes a CPU profile of the time between two signals SIGUSR1, and a heap profile at the second one, until the context ends.
// A later pair of signals overwrites both. Errors go to onError.
func profileOnSignals(ctx context.Context, path string, onError func(error)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	defer signal.Stop(signals)
	for waitForSignal(ctx, signals) {
		stopProfile, err := startCPUProfile(path)
		if err != nil {
			onError(fmt.Errorf("profile: %w", err))
			continue
		}
		signalled := waitForSignal(ctx, signals)
		if err := stopProfile(); err != nil {
			onError(fmt.Errorf("profile: %w", err))
		}
		if !signalled {
			return
		}
		if err := writeHeapProfile(path + heapSuffix); err != nil {
			onError(fmt.Errorf("heap profile: %w", err))
		}
	}
}

// waitForSignal waits for a signal and returns false if the context ended first.
func waitForSignal(ctx context.Context, signals <-chan os.Signal) bool {
	select {
	case <-ctx.Done():
		return false
	case <-signals:
		return true
	}
}

// writeHeapProfile writes what is in use after a garbage collection. The file appears at once with its whole content.
func writeHeapProfile(path string) error {
	runtime.GC()
	partial := path + ".part"
	f, err := os.Create(partial)
	if err != nil {
		return err
	}
	if err := errors.Join(pprof.Lookup("heap").WriteTo(f, 0), f.Close()); err != nil {
		return err
	}
	return os.Rename(partial, path)
}
