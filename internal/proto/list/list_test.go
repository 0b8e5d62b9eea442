package list

import (
	"bytes"
	"fmt"
	"testing"
)

// ear writes down what it hears as it would be said.
type ear struct{ b []byte }

func (e *ear) OnFullRequest() error       { e.b = AppendFullRequest(e.b); return nil }
func (e *ear) OnWatch(since uint64) error { e.b = AppendWatch(e.b, since); return nil }
func (e *ear) OnUnwatch() error           { e.b = AppendUnwatch(e.b); return nil }
func (e *ear) OnMaintenance(id uint32, lasts float64) error {
	e.b = AppendMaintenance(e.b, id, lasts)
	return nil
}
func (e *ear) OnMaintenanceEnd(id uint32) error { e.b = AppendMaintenanceEnd(e.b, id); return nil }
func (e *ear) OnBye(why string) error           { e.b = AppendBye(e.b, why); return nil }
func (e *ear) OnBegin(kind int, version uint64) error {
	e.b = AppendBegin(e.b, kind, version)
	return nil
}

func (e *ear) OnEntry(entry Entry) error {
	e.b = AppendEntry(e.b, entry)
	return nil
}
func (e *ear) OnEnd() error              { e.b = AppendEnd(e.b); return nil }
func (e *ear) OnFailed(why string) error { e.b = AppendFailed(e.b, why); return nil }

// again decodes a line and says it again: decoded anew it must be the same, whatever the line was.
func again(t *testing.T, text []byte, decode func([][]byte, *ear) error) {
	var first, second ear
	if decode(bytes.Fields(text), &first) != nil {
		return
	}
	if err := decode(bytes.Fields(first.b), &second); err != nil || !bytes.Equal(first.b, second.b) {
		t.Errorf("%q: %q, then %q, %v", text, first.b, second.b, err)
	}
}

func FuzzDecode(f *testing.F) {
	for _, s := range []string{
		"WHOLE", "WATCH 7", "UNWATCH", "OUT 3 60000", "BACK 3", "BYE x", "LIST whole 9", "END", "FAILED out",
		"NODE 3 127.0.0.1:5 ready 0 1.5 2 east east-1 small", "OUT 99999999999 1", "NODE 1 a b c",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if len(bytes.Fields(text)) == 0 {
			return
		}
		again(t, text, func(fields [][]byte, e *ear) error { return DecodeScheduler(fields, e) })
		again(t, text, func(fields [][]byte, e *ear) error { return DecodeList(fields, e) })
	})
}

func TestMarks(t *testing.T) {
	b := AppendMaintenanceEnd(AppendMaintenance(nil, 7, 60000), 8)
	var e ear
	for _, text := range bytes.Split(bytes.TrimSpace(b), []byte("\n")) {
		if err := DecodeScheduler(bytes.Fields(text), &e); err != nil {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(b, e.b) {
		t.Errorf("%q, %q", b, e.b)
	}
	for _, bad := range []string{"OUT 7", "OUT x 1", "OUT 7 1 1", "BACK", "BACK 7 7", "OUT 7 NaN"} {
		if err := DecodeScheduler(bytes.Fields([]byte(bad)), &e); err == nil {
			t.Error(fmt.Sprint(bad, ": taken"))
		}
	}
}
