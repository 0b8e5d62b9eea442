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

// heapSuffix is appended to the path of a CPU profile for the path of its heap profile.
const heapSuffix = ".heap"

// startCPUProfile starts a CPU profile that is written to the file. stop ends the profile and closes the file.
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

// profileOnSignals writes a CPU profile of the time between two SIGUSR1 signals, and a heap profile at the second one. It does so for each
// pair of signals until the context ends; a later pair overwrites both files. Errors are passed to onError.
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

// writeHeapProfile writes a heap profile after a garbage collection. It writes a temporary file and renames it, so that the file never has
// partial content.
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
