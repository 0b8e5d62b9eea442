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

// heapSuffix is added to the path of a CPU profile for the heap profile beside it.
const heapSuffix = ".heap"

// startCPUProfile writes a CPU profile of the whole run. ended finishes it.
func startCPUProfile(path string) (stop func(), err error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return func() {
		pprof.StopCPUProfile()
		f.Close()
	}, nil
}

// profileOnSignals writes a CPU profile of the time between two signals SIGUSR1, and a heap profile at the second, until the
// context ends. Faults are given to failed. A later pair of signals writes both anew.
func profileOnSignals(ctx context.Context, path string, onError func(error)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	defer signal.Stop(signals)
	for {
		if !waitSignal(ctx, signals) {
			return
		}
		stopProfile, err := startCPUProfile(path)
		if err != nil {
			onError(fmt.Errorf("profile: %w", err))
			continue
		}
		signalled := waitSignal(ctx, signals)
		stopProfile()
		if !signalled {
			return
		}
		if err := writeHeap(path + heapSuffix); err != nil {
			onError(fmt.Errorf("heap profile: %w", err))
		}
	}
}

func waitSignal(ctx context.Context, signals <-chan os.Signal) bool {
	select {
	case <-ctx.Done():
		return false
	case <-signals:
		return true
	}
}

// writeHeap writes what is in use after a collection. The file appears whole.
func writeHeap(path string) error {
	runtime.GC()
	part := path + ".part"
	f, err := os.Create(part)
	if err != nil {
		return err
	}
	if err := errors.Join(pprof.Lookup("heap").WriteTo(f, 0), f.Close()); err != nil {
		return err
	}
	return os.Rename(part, path)
}
