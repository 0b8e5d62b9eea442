package platform

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// eventRecorder records the events of a line as lines of text.
type eventRecorder struct {
	lines   []string
	accepts bool
}

func (x *eventRecorder) BeginEvent(pos uint64, snapshot bool) bool {
	x.lines = append(x.lines, fmt.Sprintf("event %d %v", pos, snapshot))
	return x.accepts
}

func (x *eventRecorder) AddEndpoint(e Endpoint) {
	x.lines = append(x.lines, fmt.Sprint(e.Name, " ", e.Address, " ", e.Zone, " ", e.Kind, " ", e.Cell, " ", e.Availability, " ", e.StartedAt, " ",
		e.FreeCores, " ", e.FreeMemory))
}

const endpointJSON = `{"name":"s-1","address":"127.0.0.9:5060","zone":"east","type":"std","group":2,"status":"ready","weight":4,` +
	`"since_ms":7,"room":[1.5,-2]}`

func TestReadLine(t *testing.T) {
	for _, c := range []struct {
		name, line string
		takes      bool
		last       uint64
		want       string // calls of the reader, or a part of the error
		bad        bool
	}{
		{
			"event", `{"pos":41,"hosts":{"index":7,"snapshot":false,"endpoints":[` + endpointJSON + `]}}`, true, 41,
			"event 41 false, s-1 127.0.0.9:5060 east std 2 1 7 1.5 -2", false,
		},
		{"snapshot", `{"pos":1,"hosts":{"snapshot":true,"endpoints":[]}}`, true, 1, "event 1 true", false},
		{"event that the reader skips", `{"pos":41,"hosts":{"endpoints":[` + endpointJSON + `]}}`, false, 41, "event 41 false", false},
		{
			"node that is gone, without an address", `{"pos":2,"hosts":{"endpoints":[{"name":"s-1","status":"gone"}]}}`, true, 2,
			"event 2 false, s-1    0 0 0 0 0", false,
		},
		{"position as an object", `{"pos":41}`, true, 41, "", false},
		{"position as a number", " 41\r", true, 41, "", false},
		{"truncated event", `{"pos":41,"hosts":{"index":7,"snap`, true, 0, "journal event", true},
		{"two events in one line", `{"pos":41}{"pos":42}`, true, 0, "journal event", true},
		{"no position", `{"hosts":{"endpoints":[]}}`, true, 0, "has no position", true},
		{"unknown status after a valid endpoint", `{"pos":3,"hosts":{"endpoints":[` + endpointJSON + `,{"name":"s-2","address":"x",` +
			`"status":"odd"}]}}`, true, 3, `"odd"`, true},
		{"no address", `{"pos":3,"hosts":{"endpoints":[{"name":"s-2","status":"ready"}]}}`, true, 3, "s-2", true},
		{"not a number", "hello", true, 0, "journal line", true},
		{"negative position", "-1", true, 0, "journal line", true},
		{"empty line", "", true, 0, "journal event", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := eventRecorder{accepts: c.takes}
			last, err := ReadLine([]byte(c.line), &x)
			if c.bad {
				if !errors.Is(err, ErrUnreadable) || !strings.Contains(err.Error(), c.want) || len(x.lines) > 0 {
					t.Errorf("got error %v, want one that contains %q; got calls %q, want none", err, c.want, x.lines)
				}
				return
			}
			if got := strings.Join(x.lines, ", "); err != nil || got != c.want || last != c.last {
				t.Errorf("got calls %q, last position %d, error %v; want calls %q, last position %d", got, last, err, c.want, c.last)
			}
		})
	}
}

func TestReadInitialEvents(t *testing.T) {
	x := eventRecorder{accepts: true}
	last, err := ReadInitialEvents([]byte(`{"pos":3,"entries":[{"pos":1,"hosts":{"snapshot":true,"endpoints":[`+endpointJSON+`]}},{"pos":2,"hosts":`+
		`{"endpoints":[]}}]}`), &x)
	if got := strings.Join(x.lines, ", "); err != nil || last != 3 || !strings.HasPrefix(got, "event 1 true, s-1 ") ||
		!strings.HasSuffix(got, "event 2 false") {
		t.Errorf("got calls %q, last position %d, error %v; want events 1 and 2, last position 3", got, last, err)
	}
	if _, err := ReadInitialEvents([]byte(`[`), &x); !errors.Is(err, ErrUnreadable) {
		t.Errorf("truncated JSON: got error %v, want ErrUnreadable", err)
	}
}

// FuzzReadLine checks that no line causes a panic, and that none that gives an error is passed to the reader in part.
func FuzzReadLine(f *testing.F) {
	f.Add([]byte(`{"pos":41,"hosts":{"index":7,"snapshot":false,"endpoints":[` + endpointJSON + `]}}`))
	f.Add([]byte(`41`))
	f.Fuzz(func(t *testing.T, line []byte) {
		x := eventRecorder{accepts: true}
		if _, err := ReadLine(line, &x); err != nil && len(x.lines) > 0 {
			t.Errorf("got error %v after calls %q, want no calls", err, x.lines)
		}
	})
}
