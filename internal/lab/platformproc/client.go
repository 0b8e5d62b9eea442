package platformproc

import (
	"fmt"
	"net"
	"sync"
	"time"

	codec "ravenpond/internal/proto/platform"
)

// Event is a message that a client received.
type Event struct {
	Kind  byte
	Cause byte // of an end
	At    time.Time
}

// Request is a client's request for a task.
type Request struct {
	Task     uint64
	JobClass string
	TimeLeft time.Duration
	Service  uint64
	RunsAt   string // the node that runs the task already; empty for a new task
}

// Client is a client's connection to a scheduler.
type Client struct {
	conn    *net.TCPConn
	reading sync.WaitGroup

	mu       sync.Mutex
	received map[uint64][]Event
	ended    bool // the scheduler has closed the connection
}

// Dial connects a client to a scheduler.
func Dial(p *Process) (*Client, error) {
	conn, err := net.DialTimeout("tcp4", p.Address, startTimeout)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, fmt.Errorf("a connection of type %T", conn)
	}
	c := &Client{conn: tcp, received: map[uint64][]Event{}}
	c.reading.Go(c.read)
	return c, nil
}

// Send sends bytes.
func (c *Client) Send(b []byte) error {
	_, err := c.conn.Write(b)
	return err
}

// Request sends a request.
func (c *Client) Request(r Request) error { return c.Send(r.Encode()) }

// Received returns the messages about a task so far.
func (c *Client) Received(task uint64) []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Event(nil), c.received[task]...)
}

// Await waits until there are more than from messages about a task, and returns the next one.
func (c *Client) Await(task uint64, from int, timeout time.Duration) (Event, bool) {
	for end := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		if received := c.Received(task); len(received) > from {
			return received[from], true
		}
		if time.Now().After(end) {
			return Event{}, false
		}
	}
}

// HasEnded reports whether the scheduler has closed the connection.
func (c *Client) HasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// Close closes the connection.
func (c *Client) Close() {
	_ = c.conn.Close()
	c.reading.Wait()
}

// Reset closes the connection with a reset.
func (c *Client) Reset() {
	_ = c.conn.SetLinger(0)
	c.Close()
}

// read records what is received until the connection ends.
func (c *Client) read() {
	var received []byte
	buffer := make([]byte, codec.MaxMessage)
	for {
		k, err := c.conn.Read(buffer)
		received = append(received, buffer[:k]...)
		for {
			msg, size, malformed := codec.Next(received)
			if malformed != nil || size == 0 {
				break
			}
			c.record(msg)
			received = received[size:]
		}
		if err != nil {
			c.mu.Lock()
			c.ended = true
			c.mu.Unlock()
			return
		}
	}
}

func (c *Client) record(msg []byte) {
	cause, _ := codec.CauseOf(msg)
	c.mu.Lock()
	defer c.mu.Unlock()
	task := codec.Task(msg)
	c.received[task] = append(c.received[task], Event{Kind: codec.Kind(msg), Cause: cause, At: time.Now()})
}

// Encode returns the message of the request. Its name and its idempotency key follow from its task.
func (r Request) Encode() []byte {
	demand := fmt.Sprintf("cores:1;memory:2;service:%016x", r.Service)
	if r.RunsAt != "" {
		demand += ";at:" + r.RunsAt
	}
	return Message(codec.KindSetUp, r.Task,
		Param{codec.ParamJobClass, r.JobClass}, Param{codec.ParamTimeLeft, fmt.Sprint(r.TimeLeft.Milliseconds())}, Param{codec.ParamTenant, "acme"},
		Param{codec.ParamName, fmt.Sprintf("%016x", r.Task)}, Param{codec.ParamKey, fmt.Sprintf("%032x", r.Task)},
		Param{codec.ParamDemand, demand}, Param{codec.ParamDescription, "owner's"})
}

// Param is a parameter of a message.
type Param struct {
	Code  byte
	Value string
}

// Message encodes a message.
func Message(kind byte, task uint64, params ...Param) []byte {
	b := append([]byte{0, 0, kind}, make([]byte, 8)...)
	for i := range 8 {
		b[3+i] = byte(task >> (56 - 8*i))
	}
	for _, p := range params {
		b = append(b, p.Code, byte(len(p.Value)>>8), byte(len(p.Value)))
		b = append(b, p.Value...)
	}
	b[0], b[1] = byte((len(b)-2)>>8), byte(len(b)-2)
	return b
}
