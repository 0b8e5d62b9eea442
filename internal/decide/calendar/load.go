package calendar

import (
	"encoding/binary"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"
)

// LoadEstimate tells the parts of all cores and memory that an hour of the week usually asks for.
type LoadEstimate interface {
	Usual(t time.Time) (cores, memory float64)
}

// UnknownLoad knows nothing: windows begin carefully.
type UnknownLoad struct{}

// Usual gives the same for each hour.
func (UnknownLoad) Usual(time.Time) (cores, memory float64) { return unmeasuredLoad, unmeasuredLoad }

// ChooseEstimate gives the load that verdicts rest on, and says which it is. What one process measured may decide only where no
// other has to come to the same verdict.
func ChooseEstimate(measured *Load, published *Table, schedulers int) (LoadEstimate, string) {
	switch {
	case published != nil:
		return published, "as published"
	case schedulers == 1:
		return measured, "as measured by this scheduler, the only one"
	}
	return UnknownLoad{}, "none published for the site's schedulers, 55% is assumed for each hour"
}

// Table is a load that was published: the parts of cores and memory by hour of the week, Sunday 0 h UTC first. Every
// process that has the same one comes to the same verdicts.
type Table [168][2]float64

// Usual gives an hour's parts.
func (l *Table) Usual(t time.Time) (cores, memory float64) {
	return l[hourOfWeek(t)][0], l[hourOfWeek(t)][1]
}

// Write writes the table as lines of day, hour, cores and memory.
func (l *Table) Write(out io.Writer) error {
	w := csv.NewWriter(out)
	_ = w.Write(tableHeader)
	for i, v := range l {
		_ = w.Write([]string{
			time.Weekday(i / 24).String(), strconv.Itoa(i % 24), strconv.FormatFloat(v[0], 'g', -1, 64),
			strconv.FormatFloat(v[1], 'g', -1, 64),
		}) // the first error is kept
	}
	w.Flush()
	return w.Error()
}

var tableHeader = []string{"day", "hour-utc", "cores", "memory"}

// ReadTable reads what Write wrote, or somebody by hand: every hour of the week once, in any order.
func ReadTable(in io.Reader) (*Table, error) {
	r := csv.NewReader(in)
	r.FieldsPerRecord = len(tableHeader)
	l, seen := &Table{}, [168]bool{}
	for n := 0; ; n++ {
		f, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("usual load: %w", err)
		}
		if n == 0 && f[0] == tableHeader[0] {
			continue
		}
		at, _ := r.FieldPos(0)
		day := -1
		for d := time.Sunday; d <= time.Saturday; d++ {
			if d.String() == f[0] {
				day = int(d)
			}
		}
		h, err := strconv.Atoi(f[1])
		if day < 0 || err != nil || h < 0 || h > 23 {
			return nil, fmt.Errorf("usual load, line %d: no hour %q of a day %q", at, f[1], f[0])
		}
		if seen[day*24+h] {
			return nil, fmt.Errorf("usual load, line %d: %s %d h stands twice", at, f[0], h)
		}
		seen[day*24+h] = true
		for i := range 2 {
			v, err := strconv.ParseFloat(f[2+i], 64)
			if err != nil || !(v >= 0 && v <= 1) {
				return nil, fmt.Errorf("usual load, line %d: %s %q: a part from 0 to 1 is expected", at, tableHeader[2+i], f[2+i])
			}
			l[day*24+h][i] = v
		}
	}
	for i, ok := range seen {
		if !ok {
			return nil, fmt.Errorf("usual load: %s %d h is missing", time.Weekday(i/24), i%24)
		}
	}
	return l, nil
}

// Load keeps what each hour of the week usually asks for, as small histograms that are halved as they fill, so
// that the last weeks count most. Hours are of UTC: every process must find the same one.
type Load struct {
	cores, memory [168]histogram
}

const (
	bins           = 20   // of 5% each
	halveAt        = 64   // measurements at which an hour is halved
	usualQuantile  = 0.9  // quantile that counts as usual
	unmeasuredLoad = 0.55 // part of all room taken for asked where nothing was measured: windows begin carefully
)

type histogram struct {
	counts [bins]uint16
	total  uint16
}

func hourOfWeek(t time.Time) int {
	t = t.UTC()
	return int(t.Weekday())*24 + t.Hour()
}

// Add takes a measurement: the parts of all cores and memory that are asked for.
func (l *Load) Add(t time.Time, cores, memory float64) {
	l.cores[hourOfWeek(t)].add(cores)
	l.memory[hourOfWeek(t)].add(memory)
}

// Usual gives the parts that an hour of the week usually asks for.
func (l *Load) Usual(t time.Time) (cores, memory float64) {
	return l.cores[hourOfWeek(t)].usual(), l.memory[hourOfWeek(t)].usual()
}

// Table gives what was measured as a table.
func (l *Load) Table() *Table {
	t := &Table{}
	for i := range t {
		t[i] = [2]float64{l.cores[i].usual(), l.memory[i].usual()}
	}
	return t
}

const loadBytes = 2 * 168 * bins * 2

// MarshalBinary gives what was measured in a form that UnmarshalBinary reads.
func (l *Load) MarshalBinary() ([]byte, error) {
	b := make([]byte, 0, loadBytes)
	for _, hours := range []*[168]histogram{&l.cores, &l.memory} {
		for i := range hours {
			for _, n := range hours[i].counts {
				b = binary.BigEndian.AppendUint16(b, n)
			}
		}
	}
	return b, nil
}

// UnmarshalBinary reads what was measured.
func (l *Load) UnmarshalBinary(b []byte) error {
	if len(b) != loadBytes {
		return fmt.Errorf("measured load of %d bytes, expected %d", len(b), loadBytes)
	}
	*l = Load{}
	for _, hours := range []*[168]histogram{&l.cores, &l.memory} {
		for i := range hours {
			h := &hours[i]
			for j := range h.counts {
				h.counts[j], b = binary.BigEndian.Uint16(b), b[2:]
				if h.counts[j] >= halveAt || h.total+h.counts[j] >= halveAt {
					return fmt.Errorf("measured load: hour %d has over %d measurements", i, halveAt)
				}
				h.total += h.counts[j]
			}
		}
	}
	return nil
}

func (h *histogram) add(v float64) {
	h.counts[max(0, min(bins-1, int(v*bins)))]++
	if h.total++; h.total >= halveAt {
		h.total = 0
		for i := range h.counts {
			h.counts[i] /= 2
			h.total += h.counts[i]
		}
	}
}

// usual is the upper end of the bin in which the quantile is reached.
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
