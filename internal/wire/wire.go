// Package wire reads batches of event records and writes replies of action records in the bench's protocol. A batch or reply is a frame of
// records of fixed size, followed by a tail that holds the fields of variable size. The package knows the framing and the codes, but not the
// layout of the records; all numbers are big-endian. The comment of a code begins with its name in the protocol.
//
// A Reader and a Writer must each be used by one goroutine only. Reader.Next returns io.EOF at a regular end of input; any other error means
// that the input is malformed and reading cannot go on.
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
	InstanceCreated = 0  // Create: an instance starts
	ProbeResult     = 1  // Echo: the result of a probe
	RequestExpired  = 2  // Lapsed: a request has expired
	TaskStarted     = 3  // Confirmed: an attempt has started its task
	ListEntries     = 4  // Table: entries of a node list
	TaskRequested   = 5  // Task: a client requests a task
	AttemptOutcome  = 6  // Settled: the outcome of an attempt
	TaskMetric      = 7  // Signal: a measurement of a running task
	ListUpdate      = 8  // Sync: the node list, or a change of it
	PeerMessage     = 9  // PeerSays: a message of another instance
	TaskRecovered   = 10 // Found: a running task is recovered
	InstanceKilled  = 11 // Down: an instance is killed
	TimerFired      = 12 // Bell: a timer has fired
)

// Action codes.
const (
	StartAttempt = 64 // Bind: send an attempt
	Shed         = 65 // Refuse: give the final answer that the request is shed
	Fail         = 66 // Lose: give the final answer that the request has failed
	Cancel       = 67 // Recall: cancel an attempt
	SetTimer     = 68 // Defer: set a timer
	Probe        = 69 // Test: probe a node
	Log          = 72 // Log: log a line
	Fault        = 73 // Fault: report a fault of the instance
	WatchList    = 74 // Follow: subscribe to the node list, or end the subscription
	ReloadList   = 75 // Reload: fetch the node list once
	Migrate      = 76 // Shift: migrate a task
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
	maxReadAhead = 1 << 20 // most that is allocated ahead of the received bytes
)

// Reader reads batches from a stream. Its buffer is reused: records and tails are valid until the next call of Next.
type Reader struct {
	source  *bufio.Reader
	frame   []byte
	records int
}

// NewReader returns a Reader of the batches in source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, readBuffer)}
}

// Next reads one batch and returns its time in nanoseconds and its number of records. The error is io.EOF only if the stream ends between two
// batches.
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
		return 0, 0, fmt.Errorf("invalid batch: %d bytes for %d records", size, count)
	}
	body := size - batchHeader
	r.frame = r.frame[:0]
	for len(r.frame) < body { // in steps, so that a wrong length allocates at most maxReadAhead bytes in vain
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

// Record returns the i-th event record of the batch, its code included.
func (r *Reader) Record(i int) []byte { return r.frame[i*EventSize : (i+1)*EventSize] }

// Tail returns the part of the tail that the field at an offset of a record refers to. The field holds a position in the tail and a number of
// items, each of size bytes. The error says that the reference goes beyond the tail.
func (r *Reader) Tail(record []byte, offset, size int) ([]byte, error) {
	tail := r.frame[r.records*EventSize:]
	start, count := uint64(Uint32(record, offset)), uint64(Uint32(record, offset+4))
	if start+count*uint64(size) > uint64(len(tail)) {
		return nil, fmt.Errorf("tail reference out of range: %d items of %d bytes at %d, tail of %d bytes",
			count, size, start, len(tail))
	}
	return tail[start : start+count*uint64(size)], nil
}

// Uint16 returns the 16-bit number at an offset of a record.
func Uint16(b []byte, offset int) uint16 { return binary.BigEndian.Uint16(b[offset:]) }

// Uint32 returns the 32-bit number at an offset of a record.
func Uint32(b []byte, offset int) uint32 { return binary.BigEndian.Uint32(b[offset:]) }

// Uint64 returns the 64-bit number at an offset of a record.
func Uint64(b []byte, offset int) uint64 { return binary.BigEndian.Uint64(b[offset:]) }

// Float32 returns the single-precision number at an offset of a record.
func Float32(b []byte, offset int) float64 { return float64(math.Float32frombits(Uint32(b, offset))) }

// Writer collects the action records of a reply and sends the reply in one write.
type Writer struct {
	destination io.Writer
	frame, tail []byte
	records     int
}

// NewWriter returns a Writer that sends replies to destination.
func NewWriter(destination io.Writer) *Writer {
	return &Writer{destination: destination, frame: make([]byte, replyHeader)}
}

// Action adds a record of an instance's action and returns its bytes, with the fields zeroed. They are valid until the next record is added.
func (w *Writer) Action(code byte, instance uint16) []byte {
	offset := len(w.frame)
	w.frame = append(w.frame, make([]byte, actionSize)...)
	w.records++
	record := w.frame[offset:]
	record[0] = code
	PutUint16(record, 1, instance)
	return record
}

// Text adds a record whose field at offset 3 refers to a text, which it adds to the tail.
func (w *Writer) Text(code byte, instance uint16, text string) {
	record := w.Action(code, instance)
	PutUint32(record, 3, uint32(len(w.tail)))
	PutUint32(record, 7, uint32(len(text)))
	w.tail = append(w.tail, text...)
}

// Flush sends the reply and begins the next one.
func (w *Writer) Flush() error {
	w.frame = append(w.frame, w.tail...)
	PutUint32(w.frame, 0, uint32(w.records))
	PutUint32(w.frame, 4, uint32(len(w.frame)))
	_, err := w.destination.Write(w.frame)
	w.frame, w.tail, w.records = w.frame[:replyHeader], w.tail[:0], 0
	return err
}

// PutUint16 writes a 16-bit number at an offset of a record.
func PutUint16(b []byte, offset int, v uint16) { binary.BigEndian.PutUint16(b[offset:], v) }

// PutUint32 writes a 32-bit number at an offset of a record.
func PutUint32(b []byte, offset int, v uint32) { binary.BigEndian.PutUint32(b[offset:], v) }

// PutUint64 writes a 64-bit number at an offset of a record.
func PutUint64(b []byte, offset int, v uint64) { binary.BigEndian.PutUint64(b[offset:], v) }
