package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"ravenpond/internal/wire"
)

const settingsText = `{"instances": 1, "discovery": "push", "new-key": [1], "step-ns": 2000000,
 "family-info": {"unit-cores": 1, "mean-memory": 2, "cores-multiple": 2, "memory-multiple": 1.5, "cpu-of-kind": [32], "mem-of-kind": [64],
  "kind-by-class": [-1], "spread-over": ["silent"], "lists-free": true, "cold-bears": 10},
 "policy-limits": {"max-attempts": 3, "probes": true, "cancel": true},
 "report": {"fields": ["x0", "x1"], "how": "piggyback"},
 "rules": {"cold-ns": 9000000000, "overload-for-ns": 2000000000},
 "services": [{"aim-ns": 700000000, "effect": "free", "worth": 1, "group": "all"}]}`

// batch builds a batch from records, each given as its code and fields, and a tail.
func batch(tail string, records ...[]byte) []byte {
	b := make([]byte, 16)
	for _, r := range records {
		b = append(b, r...)
		b = append(b, make([]byte, wire.EventSize-len(r))...)
	}
	b = append(b, tail...)
	binary.BigEndian.PutUint32(b, uint32(len(b)))
	binary.BigEndian.PutUint64(b[4:], 1e9)
	binary.BigEndian.PutUint32(b[12:], uint32(len(records)))
	return b
}

func record(code byte, fields ...any) []byte {
	var b bytes.Buffer
	b.WriteByte(code)
	for _, f := range fields {
		_ = binary.Write(&b, binary.BigEndian, f) // writes to a bytes.Buffer do not fail
	}
	return b.Bytes()
}

// entry builds the list entry of a ready node with 32 free cores and 64 units of free memory.
func entry(node uint32) string {
	return string(record(0, float32(64), float32(32), uint64(0), byte(1), node, float32(1), uint16(0), byte(0),
		byte(0))[1:])
}

// checkInputError checks that malformed input gave an error of one line that names the cause, and no reply.
func checkInputError(t *testing.T, err error, cause string, reply []byte) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), cause) || strings.Contains(err.Error(), "\n") {
		t.Errorf("got error %v, want one line that contains %q", err, cause)
	}
	if len(reply) > 0 {
		t.Errorf("got a reply of %d bytes to malformed input, want none", len(reply))
	}
}

// attemptedNodes returns the nodes to which a reply sends attempts.
func attemptedNodes(reply []byte) (nodes []uint32) {
	for b := reply[8:]; len(b) >= 24; b = b[24:] {
		if b[0] == wire.StartAttempt {
			nodes = append(nodes, wire.Uint32(b, 7))
		}
	}
	return nodes
}

// TestServe checks for one batch each to which nodes the reply sends attempts, or with which error the batch is rejected.
func TestServe(t *testing.T) {
	tail := settingsText + entry(77)
	settingsSize := uint32(len(settingsText))
	create := record(wire.InstanceCreated, uint16(0), uint64(5), uint32(0), settingsSize)
	listEntries := record(wire.ListEntries, uint32(0), settingsSize, uint32(1))
	listUpdate := record(wire.ListUpdate, uint16(0), byte(1), uint32(1), uint32(0))
	task := record(wire.TaskRequested, uint16(0), uint32(9), byte(0), uint16(0), uint64(1), uint64(6e9), uint64(0), uint64(4),
		float32(1), float32(2), byte(0))
	killed := record(wire.InstanceKilled, uint16(0))
	for _, c := range []struct {
		name     string
		in       []byte
		attempts []uint32 // nodes to which attempts are sent
		fault    string
	}{
		{"task is placed", batch(tail, create, listEntries, listUpdate, task), []uint32{77}, ""},
		{
			"instance killed and created again", batch(tail, create, listEntries, listUpdate, killed, create, listEntries, listUpdate, task),
			[]uint32{77},
			"",
		},
		{"instance killed with a request waiting", batch(tail, create, listEntries, listUpdate, task, killed), nil, ""},
		{"list number reused", batch(tail+entry(78), create, listEntries, record(wire.ListEntries, uint32(0),
			settingsSize+wire.EntrySize, uint32(1)), listUpdate, task), []uint32{78}, ""},
		{"events for unknown IDs", batch(tail, create, listEntries, listUpdate, record(wire.RequestExpired, uint16(0), uint32(1)),
			record(wire.ProbeResult, uint16(0), uint32(1)), record(wire.TimerFired, uint16(4), uint64(0))), nil, ""},
		{"unknown event code", batch(tail, record(13, uint16(0))), nil, "unknown event code 13"},
		{
			"settings that do not parse", batch("{", record(wire.InstanceCreated, uint16(0), uint64(5), uint32(0), uint32(1))), nil,
			"cannot decode JSON: ",
		},
		{
			"settings without job classes", batch("{}", record(wire.InstanceCreated, uint16(0), uint64(5), uint32(0), uint32(2))), nil,
			"got 0 services and 0 instances, want at least one of each",
		},
		{"unknown enum value in the settings", batch(strings.Replace(tail, `"free", "worth`, `"tree", "worth`, 1), create), nil, `unknown value "tree", expected one of `},
		{"list beyond the tail of the batch", batch("", listEntries), nil, "tail reference out of range"},
		{"list number out of range", batch(tail, record(wire.ListEntries, uint32(16), settingsSize, uint32(1))), nil, "list number 16 out of range"},
		{
			"unknown job class", batch(tail, create, listEntries, listUpdate, record(wire.TaskRequested, uint16(0), uint32(9), byte(7))), nil,
			"unknown job class 7",
		},
		{"truncated batch", batch(tail, create)[:100], nil, "truncated batch"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			err := serve(bytes.NewReader(c.in), bufio.NewWriter(&out))
			if c.fault != "" {
				checkInputError(t, err, c.fault, out.Bytes())
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			attempts := attemptedNodes(out.Bytes())
			if len(attempts) != len(c.attempts) || len(attempts) > 0 && attempts[0] != c.attempts[0] {
				t.Errorf("got attempts at nodes %v, want %v", attempts, c.attempts)
			}
		})
	}
}
