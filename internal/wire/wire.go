// Package wire reads batches of event records and writes replies of action records: frames, fixed-size
// records and their tails, nothing of what they mean to a scheduler.
package wire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math"
)

// Event codes.
const (
	Create    = 0
	Echo      = 1
	Lapsed    = 2
	Confirmed = 3
	Table     = 4
	Task      = 5
	Settled   = 6
	Signal    = 7
	Sync      = 8
	PeerSays  = 9
	Found     = 10
	Down      = 11
	Bell      = 12
)

// Action codes.
const (
	Bind   = 64
	Refuse = 65
	Lose   = 66
	Recall = 67
	Defer  = 68
	Test   = 69
	Log    = 72
	Fault  = 73
	Follow = 74
	Reload = 75
	Shift  = 76
)

// Sizes in bytes.
const (
	batchHeader = 16
	replyHeader = 8
	EventSize   = 56
	actionSize  = 24
	EntrySize   = 29
	maxFrame    = 1 << 30
)

// Reader takes batches off a stream. Its buffer is reused: records and tails hold until the next call of Next.
type Reader struct {
	source  *bufio.Reader
	frame   []byte
	records int
}

func NewReader(in io.Reader) *Reader { return &Reader{source: bufio.NewReaderSize(in, 1<<16)} }

// Next reads one batch and returns its clock in nanoseconds and its number of records. The error is io.EOF
// only where the stream ends between two batches.
func (r *Reader) Next() (clock uint64, records int, err error) {
	var head [batchHeader]byte
	if n, err := io.ReadFull(r.source, head[:]); err != nil {
		if n == 0 && err == io.EOF {
			return 0, 0, io.EOF
		}
		return 0, 0, fmt.Errorf("truncated batch header: %d of %d bytes", n, batchHeader)
	}
	size := int(binary.BigEndian.Uint32(head[0:]))
	count := int(binary.BigEndian.Uint32(head[12:]))
	if size < batchHeader || size > maxFrame || count > (size-batchHeader)/EventSize {
		return 0, 0, fmt.Errorf("impossible batch: %d bytes for %d records", size, count)
	}
	body := size - batchHeader
	r.frame = r.frame[:0]
	for len(r.frame) < body { // in steps, so that a false length costs no memory
		step := min(body-len(r.frame), 1<<20)
		at := len(r.frame)
		r.frame = append(r.frame, make([]byte, step)...)
		if n, err := io.ReadFull(r.source, r.frame[at:]); err != nil {
			return 0, 0, fmt.Errorf("truncated batch: %d of %d bytes", batchHeader+at+n, size)
		}
	}
	r.records = count
	return binary.BigEndian.Uint64(head[4:]), count, nil
}

// Record is the i-th event record of the batch, code included.
func (r *Reader) Record(i int) []byte { return r.frame[i*EventSize : (i+1)*EventSize] }

// Tail is the part of the tail that the field at the given place of a record names: count items of the given
// size in bytes.
func (r *Reader) Tail(record []byte, at, size int) ([]byte, error) {
	tail := r.frame[r.records*EventSize:]
	from, count := uint64(Uint32(record, at)), uint64(Uint32(record, at+4))
	if from+count*uint64(size) > uint64(len(tail)) {
		return nil, fmt.Errorf("impossible tail reference: %d items of %d bytes at %d, tail of %d bytes",
			count, size, from, len(tail))
	}
	return tail[from : from+count*uint64(size)], nil
}

func Uint16(b []byte, at int) uint16   { return binary.BigEndian.Uint16(b[at:]) }
func Uint32(b []byte, at int) uint32   { return binary.BigEndian.Uint32(b[at:]) }
func Uint64(b []byte, at int) uint64   { return binary.BigEndian.Uint64(b[at:]) }
func Float32(b []byte, at int) float64 { return float64(math.Float32frombits(Uint32(b, at))) }

// Writer gathers the actions of one reply and sends them in one write.
type Writer struct {
	destination io.Writer
	frame, tail []byte
	records     int
}

func NewWriter(out io.Writer) *Writer {
	return &Writer{destination: out, frame: make([]byte, replyHeader)}
}

// Action adds a record of an instance and returns its bytes for the fields, zeroed.
func (w *Writer) Action(code byte, instance uint16) []byte {
	at := len(w.frame)
	w.frame = append(w.frame, make([]byte, actionSize)...)
	w.records++
	record := w.frame[at:]
	record[0] = code
	PutUint16(record, 1, instance)
	return record
}

// Text adds a record whose field at byte 3 is a text in the tail.
func (w *Writer) Text(code byte, instance uint16, text string) {
	record := w.Action(code, instance)
	PutUint32(record, 3, uint32(len(w.tail)))
	PutUint32(record, 7, uint32(len(text)))
	w.tail = append(w.tail, text...)
}

// Flush sends the reply and starts the next.
func (w *Writer) Flush() error {
	w.frame = append(w.frame, w.tail...)
	PutUint32(w.frame, 0, uint32(w.records))
	PutUint32(w.frame, 4, uint32(len(w.frame)))
	_, err := w.destination.Write(w.frame)
	w.frame, w.tail, w.records = w.frame[:replyHeader], w.tail[:0], 0
	return err
}

func PutUint16(b []byte, at int, v uint16) { binary.BigEndian.PutUint16(b[at:], v) }
func PutUint32(b []byte, at int, v uint32) { binary.BigEndian.PutUint32(b[at:], v) }
func PutUint64(b []byte, at int, v uint64) { binary.BigEndian.PutUint64(b[at:], v) }
