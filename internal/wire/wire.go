// Package wire reads batches of event records and writes replies of action records of the bench's protocol: frames, records of fixed size, and
// the tail with fields of variable size. It knows the framing and the codes, not the fields; all numbers are big-endian. The codes have the
// protocol's names.
//
// A Reader and a Writer each belong to one goroutine. Reader.Next returns io.EOF at a regular end of input; any other error means that the
// input is malformed and reading cannot go on.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Event codes.
const (
	InstanceCreated = 0  // an instance starts
	ProbeResult     = 1  // result of a probe
	RequestExpired  = 2  // a request has expired
	TaskStarted     = 3  // an attempt has started its task
	ListEntries     = 4  // entries of a node list
	TaskRequested   = 5  // a request
	AttemptOutcome  = 6  // outcome of an attempt
	TaskMetric      = 7  // measurement of a running task
	ListUpdate      = 8  // the node list, or a change of it
	PeerMessage     = 9  // message of another instance
	TaskRecovered   = 10 // a running task is recovered
	InstanceKilled  = 11 // an instance is killed
	TimerFired      = 12 // a timer has fired
)

// Action codes.
const (
	StartAttempt = 64 // send an attempt
	Shed         = 65 // final answer: shed
	Fail         = 66 // final answer: failed
	Cancel       = 67 // cancel an attempt
	SetTimer     = 68 // set a timer
	Probe        = 69 // probe a node
	Log          = 72 // log a line
	Fault        = 73 // report a fault of the instance
	WatchList    = 74 // subscribe to the node list
	ReloadList   = 75 // fetch the node list once
	Migrate      = 76 // migrate a task
)

// Sizes in bytes.
const (
	EventSize = 56 // of an event record
	EntrySize = 29 // of an entry of a node list

	batchHeader  = 16
	replyHeader  = 8
	actionSize   = 24
	maxFrame     = 1 << 30
	readBuffer   = 1 << 16
	maxReadAhead = 1 << 20 // memory that is allocated before the bytes for it have arrived
)

// Reader reads batches from a stream. Its buffer is reused: records and tails are valid until the next call of Next.
type Reader struct {
	source  *bufio.Reader
	frame   []byte
	records int
}

// NewReader reads batches from source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, readBuffer)}
}

// Next reads one batch and returns its clock in nanoseconds and its number of records. The error is io.EOF only where the stream ends between
// two batches.
func (r *Reader) Next() (clock uint64, records int, err error) {
	var head [batchHeader]byte
	if n, err := io.ReadFull(r.source, head[:]); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
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
	for len(r.frame) < body { // in steps, so that a wrong length costs no memory
		step := min(body-len(r.frame), maxReadAhead)
		offset := len(r.frame)
		r.frame = append(r.frame, make([]byte, step)...)
		if n, err := io.ReadFull(r.source, r.frame[offset:]); err != nil {
			return 0, 0, fmt.Errorf("truncated batch: %d of %d bytes", batchHeader+offset+n, size)
		}
	}
	r.records = count
	return binary.BigEndian.Uint64(head[4:]), count, nil
}

// Record is the i-th event record of the batch, code included.
func (r *Reader) Record(i int) []byte { return r.frame[i*EventSize : (i+1)*EventSize] }

// Tail is the part of the tail to which the field at a place of a record refers: a number of items, each of a size in bytes. It fails if the
// reference goes beyond the tail.
func (r *Reader) Tail(record []byte, offset, size int) ([]byte, error) {
	tail := r.frame[r.records*EventSize:]
	start, count := uint64(Uint32(record, offset)), uint64(Uint32(record, offset+4))
	if start+count*uint64(size) > uint64(len(tail)) {
		return nil, fmt.Errorf("impossible tail reference: %d items of %d bytes at %d, tail of %d bytes",
			count, size, start, len(tail))
	}
	return tail[start : start+count*uint64(size)], nil
}

// Uint16 reads a number at a place of a record.
func Uint16(b []byte, offset int) uint16 { return binary.BigEndian.Uint16(b[offset:]) }

// Uint32 reads a number at a place of a record.
func Uint32(b []byte, offset int) uint32 { return binary.BigEndian.Uint32(b[offset:]) }

// Uint64 reads a number at a place of a record.
func Uint64(b []byte, offset int) uint64 { return binary.BigEndian.Uint64(b[offset:]) }

// Float32 reads a number of single precision at a place of a record.
func Float32(b []byte, offset int) float64 { return float64(math.Float32frombits(Uint32(b, offset))) }

// Writer collects the actions of one reply and sends them in one write.
type Writer struct {
	destination io.Writer
	frame, tail []byte
	records     int
}

// NewWriter writes replies to destination.
func NewWriter(destination io.Writer) *Writer {
	return &Writer{destination: destination, frame: make([]byte, replyHeader)}
}

// Action adds a record for an instance and returns its bytes, with the fields zeroed. They are valid until the next record is added.
func (w *Writer) Action(code byte, instance uint16) []byte {
	offset := len(w.frame)
	w.frame = append(w.frame, make([]byte, actionSize)...)
	w.records++
	record := w.frame[offset:]
	record[0] = code
	PutUint16(record, 1, instance)
	return record
}

// Text adds a record whose field at byte 3 refers to a text in the tail.
func (w *Writer) Text(code byte, instance uint16, text string) {
	record := w.Action(code, instance)
	PutUint32(record, 3, uint32(len(w.tail)))
	PutUint32(record, 7, uint32(len(text)))
	w.tail = append(w.tail, text...)
}

// Flush sends the reply and begins the next.
func (w *Writer) Flush() error {
	w.frame = append(w.frame, w.tail...)
	PutUint32(w.frame, 0, uint32(w.records))
	PutUint32(w.frame, 4, uint32(len(w.frame)))
	_, err := w.destination.Write(w.frame)
	w.frame, w.tail, w.records = w.frame[:replyHeader], w.tail[:0], 0
	return err
}

// PutUint16 writes a number at a place of a record.
func PutUint16(b []byte, offset int, v uint16) { binary.BigEndian.PutUint16(b[offset:], v) }

// PutUint32 writes a number at a place of a record.
func PutUint32(b []byte, offset int, v uint32) { binary.BigEndian.PutUint32(b[offset:], v) }

// PutUint64 writes a number at a place of a record.
func PutUint64(b []byte, offset int, v uint64) { binary.BigEndian.PutUint64(b[offset:], v) }
