package env

import (
	"testing"
	"time"
)

// byteCounter reports how many bytes each call received.
type byteCounter struct{ came chan int }

func (l *byteCounter) OnData(b []byte) { l.came <- len(b) }
func (l *byteCounter) OnClose(error)   {}

// TestTraffic counts what passes over a connection that is let in, one that is made, and datagrams, each by its kind.
func TestTraffic(t *testing.T) {
	w := NewReal()
	defer w.Close(time.Second)
	there, here := &byteCounter{make(chan int, 10)}, &byteCounter{make(chan int, 10)}
	door, err := w.Listen("127.0.0.1:0", func(c Conn) {
		c.Start(there, 1000)
		c.Send(func(b []byte) []byte { return append(b, "hello"...) })
	})
	if err != nil {
		t.Fatal(err)
	}
	w.EndpointListAddress = door.Address()
	made := make(chan Conn, 1)
	w.Dial(door.Address(), 1000, func(c Conn, err error) {
		if err != nil {
			t.Error(err)
			close(made)
			return
		}
		c.Start(here, 1000)
		made <- c
	})
	conn := <-made
	if got := <-here.came; got != 5 {
		t.Fatalf("%d bytes came", got)
	}
	conn.Send(func(b []byte) []byte { return append(b, "yes"...) })
	if got := <-there.came; got != 3 {
		t.Fatalf("%d bytes came back", got)
	}
	packets := make(chan int, 1)
	port, err := w.ListenPacket("127.0.0.1:0", func(b []byte) { packets <- len(b) })
	if err != nil {
		t.Fatal(err)
	}
	port.Send(port.Address(), make([]byte, 100))
	<-packets
	want := []Traffic{
		{Kind: Accepted, SentMessages: 1, SentBytes: 5, ReceivedMessages: 1, ReceivedBytes: 3, OpenedConnections: 1, OpenConnections: 1},
		{Kind: Dialed},
		{Kind: EndpointList, SentMessages: 1, SentBytes: 3, ReceivedMessages: 1, ReceivedBytes: 5, OpenedConnections: 1, OpenConnections: 1},
		{Kind: Datagram, SentMessages: 1, SentBytes: 100, ReceivedMessages: 1, ReceivedBytes: 100},
	}
	if !same(w, want) {
		t.Errorf("flows %+v, want %+v", w.Traffic(), want)
	}
	conn.Close(false, nil)
	want[Accepted].OpenConnections, want[EndpointList].OpenConnections = 0, 0
	if !same(w, want) {
		t.Errorf("flows after the end %+v, want %+v", w.Traffic(), want)
	}
}

// same waits until flows are as they should be: a byte may be read before its writer has counted it.
func same(w *Real, want []Traffic) bool {
	for range 500 {
		equal := true
		for i, f := range w.Traffic() {
			equal = equal && f == want[i]
		}
		if equal {
			return true
		}
		time.Sleep(4 * time.Millisecond)
	}
	return false
}
