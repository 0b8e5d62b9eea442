// Package book is the codec of the book that a site's schedulers agree on, and of what they say of it to each other
// (clusterstate.proto). What does not fit its bounds is not read.
package clusterstate

import (
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"ravenpond/internal/proto/field"
)

// Kinds of messages.
const (
	MessageRaft       = 1
	MessageProbe      = 2
	MessageProbeReply = 3
	MessageFetchChunk = 4
	MessageChunk      = 5
	MessageProposal   = 6
	MessageZoneReport = 7
)

// Kinds of commands.
const (
	CommandActivate     = 1 // a process acts in a new life
	CommandDeactivate   = 2 // a process is out
	CommandSetZoneState = 3 // on a zone
	CommandSetPlan      = 4 // who takes how much of whom
)

const (
	snapshotFormat = 1
	maxNameBytes   = 64 // of a name
	maxCauseBytes  = 200
	maxShares      = 4096

	MaxCores = 1 << 20 // of a share
)

// Errors of reading.
var (
	ErrMalformed = field.ErrMalformed
	ErrNewer     = errors.New("written by a later version")
)

// AppendMessage appends a message to another member. Fields that a kind does not have are empty.
func AppendMessage(b []byte, kind uint32, body []byte, number, version, written, offset, total uint64) []byte {
	b = field.AppendUint(b, 1, uint64(kind))
	if len(body) > 0 {
		b = field.AppendBytes(b, 2, body)
	}
	b = field.AppendUint(b, 3, number)
	b = field.AppendUint(b, 4, version)
	b = field.AppendUint(b, 5, written)
	b = field.AppendUint(b, 6, offset)
	return field.AppendUint(b, 7, total)
}

// AppendLeaderFlag says in a word that the sender leads the stewards.
func AppendLeaderFlag(b []byte) []byte { return field.AppendUint(b, 8, 1) }

// AppendZoneSummary appends what is heard of a zone to a report.
func AppendZoneSummary(b []byte, zone string, nodes, reachable int, capacity, used float64) []byte {
	s := field.AppendUint(field.AppendUint(field.AppendString(nil, 1, zone), 2, uint64(nodes)), 3, uint64(reachable))
	return field.AppendBytes(b, 9, field.AppendFloat(field.AppendFloat(s, 4, capacity), 5, used))
}

// ReadZoneSummaries gives what a report says of each zone to f.
func ReadZoneSummaries(b []byte, handle func(zone string, nodes, reachable int, capacity, used float64)) error {
	return field.ForEach(b, func(at protowire.Number, _ uint64, x []byte) bool {
		if at != 9 {
			return true
		}
		var v [6]uint64
		zone := ""
		err := field.ForEach(x, func(at protowire.Number, n uint64, y []byte) bool {
			if at == 1 {
				zone = string(y)
			} else if int(at) < len(v) {
				v[at] = n
			}
			return len(y) <= maxNameBytes
		})
		capacity, used := math.Float64frombits(v[4]), math.Float64frombits(v[5])
		if err != nil || zone == "" || v[2] > math.MaxInt32 || v[3] > v[2] || !(capacity >= 0 && capacity < 1e12 && used >= 0 && used < 1e12) {
			return false
		}
		handle(zone, int(v[2]), int(v[3]), capacity, used)
		return true
	})
}

// ReadMessage gives a message's fields to f.
func ReadMessage(b []byte, handle func(kind uint32, body []byte, number, version, written, offset, total uint64, leads bool)) error {
	var v [9]uint64
	var body []byte
	err := field.ForEach(b, func(at protowire.Number, n uint64, x []byte) bool {
		if at == 2 {
			body = x
		} else if int(at) < len(v) {
			v[at] = n
		}
		return true
	})
	if err != nil || v[1] < MessageRaft || v[1] > MessageZoneReport {
		return ErrMalformed
	}
	handle(uint32(v[1]), body, v[3], v[4], v[5], v[6], v[7], v[8] != 0)
	return nil
}

// AppendCommand appends a command. Shares follow by AppendShare.
func AppendCommand(b []byte, name string, incarnation, number uint64, at float64, kind uint32, subject, zone, region string, epoch uint64,
	state uint32, cause string,
) []byte {
	b = field.AppendString(b, 1, name)
	b = field.AppendUint(b, 2, incarnation)
	b = field.AppendUint(b, 3, number)
	b = field.AppendFloat(b, 4, at)
	b = field.AppendUint(b, 5, uint64(kind))
	b = field.AppendString(b, 6, subject)
	b = field.AppendString(b, 7, zone)
	b = field.AppendString(b, 8, region)
	b = field.AppendUint(b, 9, epoch)
	b = field.AppendUint(b, 10, uint64(state))
	return field.AppendString(b, 11, cause)
}

// AppendShare appends a share to a command (or, as the book's, to a snapshot).
func AppendShare(b []byte, from, to string, cores uint32) []byte {
	return appendShare(b, 12, from, to, cores)
}

func appendShare(b []byte, number protowire.Number, from, to string, cores uint32) []byte {
	return field.AppendBytes(b, number, field.AppendUint(field.AppendString(field.AppendString(nil, 1, from), 2, to), 3, uint64(cores)))
}

// ReadCommand gives a command's fields to f, its shares before to each.
func ReadCommand(b []byte, each func(from, to string, part uint32), handle func(name string, life, number uint64, at float64, kind uint32,
	subject, zone, region string, epoch uint64, state uint32, cause string),
) error {
	var v [13]uint64
	var s [13]string
	shares := 0
	err := field.ForEach(b, func(at protowire.Number, n uint64, x []byte) bool {
		switch {
		case at == 12:
			shares++
			return shares <= maxShares && readShare(x, each)
		case int(at) < len(v):
			v[at], s[at] = n, string(x)
		}
		return len(x) <= maxNameBytes || at == 11 && len(x) <= maxCauseBytes
	})
	when := math.Float64frombits(v[4])
	if err != nil || s[1] == "" || v[2] == 0 || v[5] == 0 || v[5] > math.MaxUint32 || v[10] > math.MaxUint32 || math.IsNaN(when) || math.IsInf(when, 0) {
		return ErrMalformed
	}
	handle(s[1], v[2], v[3], when, uint32(v[5]), s[6], s[7], s[8], v[9], uint32(v[10]), s[11])
	return nil
}

func readShare(b []byte, each func(from, to string, cores uint32)) bool {
	var from, to string
	var cores uint64
	err := field.ForEach(b, func(at protowire.Number, n uint64, x []byte) bool {
		switch at {
		case 1:
			from = string(x)
		case 2:
			to = string(x)
		case 3:
			cores = n
		}
		return len(x) <= maxNameBytes
	})
	if err != nil || from == "" || to == "" || cores > MaxCores {
		return false
	}
	each(from, to, uint32(cores))
	return true
}

// AppendHead appends the head of a snapshot; AppendProcess, AppendZone and AppendHeld follow, each in its order.
func AppendHead(b []byte, version uint64, now float64, epochs, plan uint64) []byte {
	b = field.AppendUint(b, 1, snapshotFormat)
	b = field.AppendUint(b, 2, version)
	b = field.AppendFloat(b, 3, now)
	b = field.AppendUint(b, 4, epochs)
	return field.AppendUint(b, 8, plan)
}

// AppendProcess appends a process to a snapshot.
func AppendProcess(b []byte, name string, incarnation, epoch uint64, zone, region string, inactive bool, number uint64, refused uint32, commandIncarnation uint64) []byte {
	p := field.AppendUint(field.AppendUint(field.AppendString(nil, 1, name), 2, incarnation), 3, epoch)
	p = field.AppendString(field.AppendString(p, 4, zone), 5, region)
	if inactive {
		p = field.AppendUint(p, 6, 1)
	}
	return field.AppendBytes(b, 5, field.AppendUint(field.AppendUint(field.AppendUint(p, 7, number), 8, uint64(refused)), 9, commandIncarnation))
}

// AppendZone appends a zone to a snapshot.
func AppendZone(b []byte, name string, state uint32, since float64, version uint64, closings uint32, closedUntil float64, cause string) []byte {
	z := field.AppendFloat(field.AppendUint(field.AppendString(nil, 1, name), 2, uint64(state)), 3, since)
	z = field.AppendFloat(field.AppendUint(field.AppendUint(z, 4, version), 5, uint64(closings)), 6, closedUntil)
	return field.AppendBytes(b, 6, field.AppendString(z, 7, cause))
}

// AppendPlanShare appends a share of the plan to a snapshot.
func AppendPlanShare(b []byte, from, to string, cores uint32) []byte {
	return appendShare(b, 7, from, to, cores)
}

// SnapshotHandler takes what a snapshot holds, its head first.
type SnapshotHandler interface {
	OnHeader(version uint64, now float64, epochs, plan uint64)
	OnProcess(name string, life, epoch uint64, zone, region string, out bool, number uint64, refused uint32, speaks uint64)
	OnZone(name string, state uint32, since float64, version uint64, closings uint32, rest float64, cause string)
	OnPlanShare(from, to string, part uint32)
}

// ReadSnapshot gives what a snapshot holds to t.
func ReadSnapshot(b []byte, handler SnapshotHandler) error {
	var v [9]uint64
	if err := field.ForEach(b, func(at protowire.Number, n uint64, _ []byte) bool {
		if int(at) < len(v) {
			v[at] = n
		}
		return true
	}); err != nil {
		return err
	}
	switch {
	case v[1] > snapshotFormat:
		return ErrNewer
	case v[1] == 0:
		return ErrMalformed
	}
	handler.OnHeader(v[2], math.Float64frombits(v[3]), v[4], v[8])
	return field.ForEach(b, func(at protowire.Number, _ uint64, x []byte) bool {
		var n [10]uint64
		var s [10]string
		if at != 5 && at != 6 && at != 7 {
			return true
		}
		if at == 7 {
			return readShare(x, handler.OnPlanShare)
		}
		if field.ForEach(x, func(f protowire.Number, v uint64, y []byte) bool {
			if int(f) < len(n) {
				n[f], s[f] = v, string(y)
			}
			return true
		}) != nil || s[1] == "" {
			return false
		}
		if at == 5 {
			handler.OnProcess(s[1], n[2], n[3], s[4], s[5], n[6] != 0, n[7], uint32(n[8]), n[9])
		} else {
			handler.OnZone(s[1], uint32(n[2]), math.Float64frombits(n[3]), n[4], uint32(n[5]), math.Float64frombits(n[6]), s[7])
		}
		return true
	})
}
