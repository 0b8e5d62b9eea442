package calendar

import "time"

// Load keeps what each hour of the week usually asks for, as small histograms that are halved as they fill, so
// that the last weeks count most. Hours are of UTC: every process must find the same one.
type Load struct {
	cores, memory [168]hist
}

const (
	bins  = 20   // of 5% each
	full  = 64   // measurements at which an hour is halved
	usual = 0.9  // quantile that counts as usual
	blind = 0.55 // part of all room taken for asked where nothing was measured: windows begin carefully
)

type hist struct {
	n   [bins]uint16
	sum uint16
}

func hour(t time.Time) int {
	t = t.UTC()
	return int(t.Weekday())*24 + t.Hour()
}

// Seen takes a measurement: the parts of all cores and memory that are asked for.
func (l *Load) Seen(t time.Time, cores, memory float64) {
	l.cores[hour(t)].add(cores)
	l.memory[hour(t)].add(memory)
}

// Usual gives the parts that an hour of the week usually asks for.
func (l *Load) Usual(t time.Time) (cores, memory float64) {
	return l.cores[hour(t)].usual(), l.memory[hour(t)].usual()
}

func (h *hist) add(v float64) {
	h.n[max(0, min(bins-1, int(v*bins)))]++
	if h.sum++; h.sum >= full {
		h.sum = 0
		for i := range h.n {
			h.n[i] /= 2
			h.sum += h.n[i]
		}
	}
}

// usual is the upper end of the bin in which the quantile is reached.
func (h *hist) usual() float64 {
	if h.sum == 0 {
		return blind
	}
	seen := 0.0
	for i, n := range h.n {
		if seen += float64(n); seen >= usual*float64(h.sum) {
			return float64(i+1) / bins
		}
	}
	return 1
}
