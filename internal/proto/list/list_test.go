package list

import (
	"bytes"
	"testing"
)

// recorder encodes each message that it receives. It implements the handlers of both sides.
type recorder struct{ b []byte }

func (r *recorder) OnFullRequest() error       { r.b = AppendFullRequest(r.b); return nil }
func (r *recorder) OnWatch(since uint64) error { r.b = AppendWatch(r.b, since); return nil }
func (r *recorder) OnUnwatch() error           { r.b = AppendUnwatch(r.b); return nil }
func (r *recorder) OnMaintenance(id uint32, duration float64) error {
	r.b = AppendMaintenance(r.b, id, duration)
	return nil
}

func (r *recorder) OnMaintenanceEnd(id uint32) error { r.b = AppendMaintenanceEnd(r.b, id); return nil }
func (r *recorder) OnBye(reason string) error        { r.b = AppendBye(r.b, reason); return nil }
func (r *recorder) OnBegin(kind int, version uint64) error {
	r.b = AppendBegin(r.b, kind, version)
	return nil
}

func (r *recorder) OnEntry(entry Entry) error {
	r.b = AppendEntry(r.b, entry)
	return nil
}
func (r *recorder) OnEnd() error                 { r.b = AppendEnd(r.b); return nil }
func (r *recorder) OnFailed(reason string) error { r.b = AppendFailed(r.b, reason); return nil }

// checkRoundTrip checks that decoding a line, encoding the result and decoding that again gives the same result. It skips lines that can't be
// decoded.
func checkRoundTrip(t *testing.T, input []byte, decode func([][]byte, *recorder) error) {
	t.Helper()
	var first, second recorder
	if decode(bytes.Fields(input), &first) != nil {
		return
	}
	if err := decode(bytes.Fields(first.b), &second); err != nil || !bytes.Equal(first.b, second.b) {
		t.Errorf("%q: encoded as %q, after another round trip as %q, error %v", input, first.b, second.b, err)
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
		checkRoundTrip(t, text, func(fields [][]byte, e *recorder) error { return DecodeScheduler(fields, e) })
		checkRoundTrip(t, text, func(fields [][]byte, e *recorder) error { return DecodeList(fields, e) })
	})
}

func TestMaintenanceNotices(t *testing.T) {
	b := AppendMaintenanceEnd(AppendMaintenance(nil, 7, 60000), 8)
	var e recorder
	for _, text := range bytes.Split(bytes.TrimSpace(b), []byte("\n")) {
		if err := DecodeScheduler(bytes.Fields(text), &e); err != nil {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(b, e.b) {
		t.Errorf("encoded %q, after decoding %q; want the same", b, e.b)
	}
	for _, bad := range []string{"OUT 7", "OUT x 1", "OUT 7 1 1", "BACK", "BACK 7 7", "OUT 7 NaN"} {
		if err := DecodeScheduler(bytes.Fields([]byte(bad)), &e); err == nil {
			t.Errorf("%s: accepted, want an error", bad)
		}
	}
}
