package calendar

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

func TestLoadKept(t *testing.T) {
	var l Load
	at := time.Date(2026, 3, 2, 10, 30, 0, 0, time.UTC) // a Monday
	for i := range 200 {
		l.Add(at, 0.01*float64(i%40), 0.3)
		l.Add(at.Add(time.Hour), 2, -1) // out of range counts as the end
	}
	b, err := l.MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	var back Load
	if err := back.UnmarshalBinary(b); err != nil || back != l {
		t.Fatalf("not the same, %v", err)
	}
	if c, m := back.Usual(at); c != 0.4 || m != 0.35 {
		t.Errorf("usual %g, %g", c, m)
	}
	if c, m := back.Usual(at.Add(time.Hour)); c != 1 || m != 0.05 {
		t.Errorf("usual %g, %g at the ends", c, m)
	}
	if c, _ := back.Usual(at.Add(2 * time.Hour)); c != unmeasuredLoad {
		t.Errorf("usual %g where nothing was measured", c)
	}
	for name, bad := range map[string][]byte{"cut": b[1:], "empty": nil, "too many": bytes.Repeat([]byte{0, 9}, len(b)/2)} {
		if back.UnmarshalBinary(bad) == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

func TestTable(t *testing.T) {
	var l Load
	at := time.Date(2026, 3, 3, 10, 30, 0, 0, time.UTC)
	l.Add(at, 0.42, 0.12)
	var b bytes.Buffer
	if err := l.Table().Write(&b); err != nil {
		t.Fatal(err)
	}
	text := b.String()
	got, err := ReadTable(strings.NewReader(text))
	if err != nil || *got != *l.Table() {
		t.Fatalf("not the same, %v", err)
	}
	if c, m := got.Usual(at); c != 0.45 || m != 0.15 {
		t.Errorf("usual %g, %g", c, m)
	}
	for _, c := range []struct{ name, old, new, want string }{
		{"an hour missing", "Tuesday,10,0.45,0.15\n", "", "Tuesday 10 h is missing"},
		{"twice", "Tuesday,10,0.45,0.15\n", "Tuesday,11,0.45,0.15\n", "stands twice"},
		{"no day", "Tuesday,10", "Tuesda,10", "no hour"},
		{"no hour", "Tuesday,10", "Tuesday,24", "no hour"},
		{"over one", "0.45,0.15", "1.45,0.15", `cores "1.45"`},
		{"no number", "0.45,0.15", "0.45,NaN", `memory "NaN"`},
		{"a column less", "0.45,0.15", "0.45", "wrong number of fields"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := ReadTable(strings.NewReader(strings.Replace(text, c.old, c.new, 1))); err == nil ||
				!strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, want %q", err, c.want)
			}
		})
	}
}

// TestKnown guards the promise that processes which share a calendar come to the same verdicts: what one measured
// alone may not decide where there are others.
func TestKnown(t *testing.T) {
	measured, table := &Load{}, &Table{}
	for _, c := range []struct {
		name       string
		table      *Table
		schedulers int
		want       LoadEstimate
	}{
		{"published", table, 3, table},
		{"published, alone", table, 1, table},
		{"alone", nil, 1, measured},
		{"none", nil, 3, UnknownLoad{}},
	} {
		if got, whose := ChooseEstimate(measured, c.table, c.schedulers); got != c.want || whose == "" {
			t.Errorf("%s: %T", c.name, got)
		}
	}
}

// FuzzStored reads any bytes as a kept load or a published table: a fault, or something that is kept the same.
func FuzzStored(f *testing.F) {
	var l Load
	l.Add(time.Unix(0, 0), 0.3, 0.4)
	b, _ := l.MarshalBinary()
	f.Add(b)
	var table bytes.Buffer
	_ = l.Table().Write(&table)
	f.Add(table.Bytes())
	f.Fuzz(func(t *testing.T, b []byte) {
		var l Load
		if l.UnmarshalBinary(b) == nil {
			if again, err := l.MarshalBinary(); err != nil || !bytes.Equal(b, again) {
				t.Error("not kept the same", err)
			}
			for h := range 168 {
				if c, m := l.Usual(time.Unix(int64(h)*3600, 0)); !(c >= 0 && c <= 1 && m >= 0 && m <= 1) {
					t.Errorf("usual %g, %g", c, m)
				}
			}
		}
		if table, err := ReadTable(bytes.NewReader(b)); err == nil {
			var out bytes.Buffer
			if err := table.Write(&out); err != nil {
				t.Fatal(err)
			}
			if again, err := ReadTable(&out); err != nil || *again != *table {
				t.Error("not kept the same", err)
			}
		}
	})
}
