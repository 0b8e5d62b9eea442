package main

import (
	"encoding/binary"
	"net"
	"strconv"
)

// Kinds of messages, codes of parameters and causes, as the protocol page names them.
const (
	kindSetUp  = 1
	kindAnswer = 9
	kindEnd    = 12
	kindHeard  = 16
	kindNote   = 44
	kindMove   = 51
	kindTest   = 52
	kindTested = 53

	paramClass       = 3
	paramTimeLeft    = 5
	paramTenant      = 7
	paramName        = 11
	paramFigures     = 13
	paramReason      = 17
	paramReport      = 21
	paramFigure      = 27
	paramKey         = 29
	paramCause       = 31
	paramDescription = 33

	causeNormal  = 16
	causeStopped = 31
	causeFull    = 34
	causeReset   = 41
	causeBusy    = 42
	causeError   = 47
	causeMoot    = 102
)

// message is a decoded message.
type message struct {
	kind   byte
	task   uint64
	params map[byte]string
}

func (m message) cause() byte {
	if v := m.params[paramCause]; len(v) == 1 {
		return v[0]
	}
	return 0
}

func (m message) timeLeft() int {
	n, _ := strconv.Atoi(m.params[paramTimeLeft])
	return n
}

// param is a parameter to be encoded.
type param struct {
	code  byte
	value string
}

func cause(c byte) param { return param{paramCause, string([]byte{c})} }

func encode(kind byte, task uint64, params ...param) []byte {
	b := binary.BigEndian.AppendUint64([]byte{0, 0, kind}, task)
	for _, p := range params {
		b = append(binary.BigEndian.AppendUint16(append(b, p.code), uint16(len(p.value))), p.value...)
	}
	binary.BigEndian.PutUint16(b, uint16(len(b)-2))
	return b
}

// readMessages reads messages from a connection and calls on for each, until the connection ends.
func readMessages(c net.Conn, on func(message)) error {
	var received []byte
	buffer := make([]byte, 32<<10)
	for {
		n, err := c.Read(buffer)
		received = append(received, buffer[:n]...)
		for len(received) >= 2 {
			size := 2 + int(binary.BigEndian.Uint16(received))
			if len(received) < size || size < 11 {
				break
			}
			on(decode(received[2:size]))
			received = received[size:]
		}
		if err != nil {
			return err
		}
	}
}

func decode(b []byte) message {
	m := message{kind: b[0], task: binary.BigEndian.Uint64(b[1:9]), params: map[byte]string{}}
	for p := b[9:]; len(p) >= 3; {
		size := 3 + int(binary.BigEndian.Uint16(p[1:]))
		if size > len(p) {
			break
		}
		m.params[p[0]] = string(p[3:size])
		p = p[size:]
	}
	return m
}
