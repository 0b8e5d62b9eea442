package calendar

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"
)

// hoursOfWeek is the number of hours in a week. Hours are counted in UTC from Sunday 0:00, so that all processes agree on them.
const hoursOfWeek = 7 * 24

// hourOfWeek returns the hour of the week at a time, from 0.
func hourOfWeek(t time.Time) int {
	t = t.UTC()
	return int(t.Weekday())*24 + t.Hour()
}

// LoadEstimate estimates the load of an hour of the week.
type LoadEstimate interface {
	// Usual returns the fractions of all cores and of all memory that are usually in use at a time.
	Usual(t time.Time) (cores, memory float64)
}

// UnknownLoad is the estimate if the load is not known. It is conservative.
type UnknownLoad struct{}

// Usual returns the same fractions for every hour.
func (UnknownLoad) Usual(time.Time) (cores, memory float64) { return unmeasuredLoad, unmeasuredLoad }

// ChooseEstimate returns the estimate for verdicts, and its source in words. What one process measured is used only at a site with a single
// scheduler, because several schedulers must compute the same verdicts.
func ChooseEstimate(measured *Load, published *Table, schedulers int) (estimate LoadEstimate, source string) {
	switch {
	case published != nil:
		return published, "as published"
	case schedulers == 1:
		return measured, "as measured by this scheduler, the only one of the site"
	}
	return UnknownLoad{}, "none is published for the site's schedulers, so 55% is assumed for each hour"
}

// Table is a load that an operator published: the fractions of all cores and of all memory in use, by hour of the week.
type Table [hoursOfWeek][2]float64

// Usual implements LoadEstimate.
func (l *Table) Usual(t time.Time) (cores, memory float64) {
	return l[hourOfWeek(t)][0], l[hourOfWeek(t)][1]
}

var tableHeader = []string{"day", "hour-utc", "cores", "memory"}

// Write writes the table as CSV: day, hour, cores and memory.
func (l *Table) Write(out io.Writer) error {
	w := csv.NewWriter(out)
	_ = w.Write(tableHeader) // w.Error returns the first error
	for i, v := range l {
		_ = w.Write([]string{
			time.Weekday(i / 24).String(), strconv.Itoa(i % 24), strconv.FormatFloat(v[0], 'g', -1, 64),
			strconv.FormatFloat(v[1], 'g', -1, 64),
		})
	}
	w.Flush()
	return w.Error()
}

// ReadTable reads a table as Write or a person writes it: every hour of the week once, in any order.
func ReadTable(in io.Reader) (*Table, error) {
	r := csv.NewReader(in)
	r.FieldsPerRecord = len(tableHeader)
	l, seen := &Table{}, [hoursOfWeek]bool{}
	for first := true; ; first = false {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("usual load: %w", err)
		}
		if first && record[0] == tableHeader[0] {
			continue
		}
		line, _ := r.FieldPos(0)
		hour, err := parseHour(record[0], record[1])
		if err != nil {
			return nil, fmt.Errorf("usual load, line %d: %w", line, err)
		}
		if seen[hour] {
			return nil, fmt.Errorf("usual load, line %d: %s %d h appears twice", line, record[0], hour%24)
		}
		seen[hour] = true
		for i := range l[hour] {
			if l[hour][i], err = parseFraction(tableHeader[2+i], record[2+i]); err != nil {
				return nil, fmt.Errorf("usual load, line %d: %w", line, err)
			}
		}
	}
	for i, ok := range seen {
		if !ok {
			return nil, fmt.Errorf("usual load: %s %d h is missing", time.Weekday(i/24), i%24)
		}
	}
	return l, nil
}

// parseHour returns the hour of the week for the name of a day and an hour of that day.
func parseHour(day, hour string) (int, error) {
	h, err := strconv.Atoi(hour)
	for d := time.Sunday; d <= time.Saturday; d++ {
		if d.String() == day && err == nil && h >= 0 && h <= 23 {
			return int(d)*24 + h, nil
		}
	}
	return 0, fmt.Errorf("invalid hour %q or day %q", hour, day)
}

// parseFraction parses a fraction in a column of the table.
func parseFraction(column, text string) (float64, error) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v <= 1) { // rejects NaN as well
		return 0, fmt.Errorf("%s %q: want a fraction from 0 to 1", column, text)
	}
	return v, nil
}
