package env

import (
	"testing"
	"time"
)

// byteCounter is a ConnHandler that reports how many bytes each call of OnData got.
type byteCounter struct{ received chan int }

func (c *byteCounter) OnData(b []byte) { c.received <- len(b) }
func (c *byteCounter) OnClose(error)   {}

// TestTraffic checks the counts of an accepted connection, of one that is dialed at the endpoint list's address, and of datagrams.
func TestTraffic(t *testing.T) {
	r := NewReal()
	defer r.Close(time.Second)
	accepted, dialed := &byteCounter{make(chan int, 10)}, &byteCounter{make(chan int, 10)}
	listener, err := r.Listen("127.0.0.1:0", func(c Conn) {
		c.Start(accepted, 1000)
		c.Send(func(b []byte) []byte { return append(b, "hello"...) })
	})
	if err != nil {
		t.Fatal(err)
	}
	r.EndpointListAddress = listener.Address()
	conns := make(chan Conn, 1)
	r.Dial(listener.Address(), 1000, func(c Conn, err error) {
		if err != nil {
			t.Error(err)
			close(conns)
			return
		}
		c.Start(dialed, 1000)
		conns <- c
	})
	conn := <-conns
	if got := <-dialed.received; got != 5 {
		t.Fatalf("dialed end received %d bytes, want 5", got)
	}
	conn.Send(func(b []byte) []byte { return append(b, "yes"...) })
	if got := <-accepted.received; got != 3 {
		t.Fatalf("accepted end received %d bytes, want 3", got)
	}
	packets := make(chan int, 1)
	packetConn, err := r.ListenPacket("127.0.0.1:0", func(b []byte) { packets <- len(b) })
	if err != nil {
		t.Fatal(err)
	}
	packetConn.Send(packetConn.Address(), make([]byte, 100))
	<-packets
	want := []Traffic{
		{Kind: Accepted, SentMessages: 1, SentBytes: 5, ReceivedMessages: 1, ReceivedBytes: 3, OpenedConnections: 1, OpenConnections: 1},
		{Kind: Dialed},
		{Kind: EndpointList, SentMessages: 1, SentBytes: 3, ReceivedMessages: 1, ReceivedBytes: 5, OpenedConnections: 1, OpenConnections: 1},
		{Kind: Datagram, SentMessages: 1, SentBytes: 100, ReceivedMessages: 1, ReceivedBytes: 100},
	}
	if !trafficBecomes(r, want) {
		t.Errorf("traffic %+v, want %+v", r.Traffic(), want)
	}
	conn.Close(false, nil)
	want[Accepted].OpenConnections, want[EndpointList].OpenConnections = 0, 0
	if !trafficBecomes(r, want) {
		t.Errorf("traffic after the close %+v, want %+v", r.Traffic(), want)
	}
}

// trafficBecomes waits for up to 2 s until the counts are as wanted: a byte may be read before its writer has counted it.
func trafficBecomes(r *Real, want []Traffic) bool {
	for range 500 {
		equal := true
		for i, got := range r.Traffic() {
			equal = equal && got == want[i]
		}
		if equal {
			return true
		}
		time.Sleep(4 * time.Millisecond)
	}
	return false
}
