package main

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
)

// table prints rows in aligned columns. The cells of a row are separated by tabs. The first error is kept and returned by flush.
type table struct {
	out *tabwriter.Writer
	err error
}

// newTable returns a table whose first row has the column titles.
func newTable(out io.Writer, titles string) *table {
	const padding = 2 // spaces between columns
	t := &table{out: tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)}
	t.row("%s", titles)
	return t
}

// row adds a row.
func (t *table) row(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.out, format+"\n", args...)
	}
}

// flush prints all rows and returns the first error.
func (t *table) flush() error { return errors.Join(t.err, t.out.Flush()) }
