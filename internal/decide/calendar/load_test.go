package calendar

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

func TestLoadRoundTrip(t *testing.T) {
	var l Load
	at := time.Date(2026, 3, 2, 10, 30, 0, 0, time.UTC) // a Monday
	for i := range 200 {
		l.Add(at, 0.01*float64(i%40), 0.3)
		l.Add(at.Add(time.Hour), 2, -1) // values out of range count in the last and the first bin
	}
	b, err := l.MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	var decoded Load
	if err := decoded.UnmarshalBinary(b); err != nil || decoded != l {
		t.Fatalf("the decoded load differs, or was not decoded: error %v", err)
	}
	if c, m := decoded.Usual(at); c != 0.4 || m != 0.35 {
		t.Errorf("got usual cores %g, memory %g, want 0.4, 0.35", c, m)
	}
	if c, m := decoded.Usual(at.Add(time.Hour)); c != 1 || m != 0.05 {
		t.Errorf("values out of range: got usual cores %g, memory %g, want 1, 0.05", c, m)
	}
	if c, _ := decoded.Usual(at.Add(2 * time.Hour)); c != unmeasuredLoad {
		t.Errorf("hour without measurements: got usual cores %g, want 0.55", c)
	}
	for name, malformed := range map[string][]byte{"truncated": b[1:], "empty": nil, "counts too high": bytes.Repeat([]byte{0, 9}, len(b)/2)} {
		if decoded.UnmarshalBinary(malformed) == nil {
			t.Errorf("%s: decoded without an error", name)
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
		t.Fatalf("the table that was read differs, or was not read: error %v", err)
	}
	if c, m := got.Usual(at); c != 0.45 || m != 0.15 {
		t.Errorf("got usual cores %g, memory %g, want 0.45, 0.15", c, m)
	}
	for _, c := range []struct{ name, old, new, want string }{
		{"missing hour", "Tuesday,10,0.45,0.15\n", "", "Tuesday 10 h is missing"},
		{"duplicate hour", "Tuesday,10,0.45,0.15\n", "Tuesday,11,0.45,0.15\n", "appears twice"},
		{"invalid day", "Tuesday,10", "Tuesda,10", `invalid hour "10" or day "Tuesda"`},
		{"invalid hour", "Tuesday,10", "Tuesday,24", `invalid hour "24" or day "Tuesday"`},
		{"fraction over 1", "0.45,0.15", "1.45,0.15", `cores "1.45"`},
		{"fraction is not a number", "0.45,0.15", "0.45,NaN", `memory "NaN"`},
		{"missing column", "0.45,0.15", "0.45", "wrong number of fields"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := ReadTable(strings.NewReader(strings.Replace(text, c.old, c.new, 1))); err == nil ||
				!strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want %q", err, c.want)
			}
		})
	}
}

// TestChooseEstimate checks that what one process measured is not used at a site with several schedulers: they would compute different
// verdicts.
func TestChooseEstimate(t *testing.T) {
	measured, table := &Load{}, &Table{}
	for _, c := range []struct {
		name       string
		table      *Table
		schedulers int
		want       LoadEstimate
	}{
		{"published table, three schedulers", table, 3, table},
		{"published table, one scheduler", table, 1, table},
		{"no published table, one scheduler", nil, 1, measured},
		{"no published table, three schedulers", nil, 3, UnknownLoad{}},
	} {
		if got, source := ChooseEstimate(measured, c.table, c.schedulers); got != c.want || source == "" {
			t.Errorf("%s: got an estimate of type %T, or no source", c.name, got)
		}
	}
}

// FuzzStored decodes any bytes as a measured load and as a published table. Either must fail, or encode to what decodes to the same value.
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
				t.Error("the load encodes to other bytes than it was decoded from, or not at all: error", err)
			}
			for h := range 168 {
				if c, m := l.Usual(time.Unix(int64(h)*3600, 0)); !(c >= 0 && c <= 1 && m >= 0 && m <= 1) {
					t.Errorf("got usual cores %g, memory %g, want fractions from 0 to 1", c, m)
				}
			}
		}
		if table, err := ReadTable(bytes.NewReader(b)); err == nil {
			var out bytes.Buffer
			if err := table.Write(&out); err != nil {
				t.Fatal(err)
			}
			if again, err := ReadTable(&out); err != nil || *again != *table {
				t.Error("the written table reads differently, or not at all: error", err)
			}
		}
	})
}
