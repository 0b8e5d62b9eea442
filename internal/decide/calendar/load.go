package calendar

import (
	"encoding/binary"
	"fmt"
	"time"
)

const (
	bins           = 20   // in a histogram, 5% each
	halveAt        = 64   // number of measurements at which the histogram of an hour is halved
	usualQuantile  = 0.9  // quantile of the measurements that counts as the usual load
	unmeasuredLoad = 0.55 // fraction in use that is assumed for an hour without measurements

	loadBytes = 2 * hoursOfWeek * bins * 2 // size of an encoded Load: two resources, 2 bytes for each bin
)

// Load is the load that one process measured by hour of the week. Each hour has small histograms that are halved when they are full, so that
// recent weeks weigh most.
type Load struct {
	cores, memory [hoursOfWeek]histogram
}

type histogram struct {
	counts [bins]uint16
	total  uint16
}

// Add adds a measurement: the fractions of all cores and memory in use.
func (l *Load) Add(t time.Time, cores, memory float64) {
	l.cores[hourOfWeek(t)].add(cores)
	l.memory[hourOfWeek(t)].add(memory)
}

// Usual implements LoadEstimate.
func (l *Load) Usual(t time.Time) (cores, memory float64) {
	return l.cores[hourOfWeek(t)].usual(), l.memory[hourOfWeek(t)].usual()
}

// Table returns the measured load as a table that can be published.
func (l *Load) Table() *Table {
	t := &Table{}
	for i := range t {
		t[i] = [2]float64{l.cores[i].usual(), l.memory[i].usual()}
	}
	return t
}

// MarshalBinary encodes the histograms for UnmarshalBinary. It never returns an error.
func (l *Load) MarshalBinary() ([]byte, error) {
	b := make([]byte, 0, loadBytes)
	for _, hours := range []*[hoursOfWeek]histogram{&l.cores, &l.memory} {
		for i := range hours {
			for _, n := range hours[i].counts {
				b = binary.BigEndian.AppendUint16(b, n)
			}
		}
	}
	return b, nil
}

// UnmarshalBinary decodes the histograms.
func (l *Load) UnmarshalBinary(b []byte) error {
	if len(b) != loadBytes {
		return fmt.Errorf("measured load: got %d bytes, want %d", len(b), loadBytes)
	}
	*l = Load{}
	for _, hours := range []*[hoursOfWeek]histogram{&l.cores, &l.memory} {
		for i := range hours {
			h := &hours[i]
			for j := range h.counts {
				h.counts[j], b = binary.BigEndian.Uint16(b), b[2:]
				if h.counts[j] >= halveAt || h.total+h.counts[j] >= halveAt {
					return fmt.Errorf("measured load: hour %d of the week has %d or more measurements", i, halveAt)
				}
				h.total += h.counts[j]
			}
		}
	}
	return nil
}

func (h *histogram) add(v float64) {
	h.counts[max(0, min(bins-1, int(v*bins)))]++
	if h.total++; h.total < halveAt {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// usual returns the upper end of the bin in which the quantile is reached.
func (h *histogram) usual() float64 {
	if h.total == 0 {
		return unmeasuredLoad
	}
	seen := 0.0
	for i, n := range h.counts {
		if seen += float64(n); seen >= usualQuantile*float64(h.total) {
			return float64(i+1) / bins
		}
	}
	return 1
}
