package clusterstate

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"ravenpond/internal/proto/field"
)

// snapshotFormat is the version of the snapshot's encoding. ReadSnapshot rejects snapshots of later versions.
const snapshotFormat = 1

// Field numbers of Snapshot.
const (
	snapshotFormatField = 1
	snapshotVersion     = 2
	snapshotNow         = 3
	snapshotLastEpoch   = 4
	snapshotProcess     = 5
	snapshotZone        = 6
	snapshotShare       = 7
	snapshotPlanVersion = 8

	snapshotFields = 9 // exceeds all field numbers
)

// Field numbers of Process.
const (
	processName               = 1
	processIncarnation        = 2
	processEpoch              = 3
	processZone               = 4
	processRegion             = 5
	processInactive           = 6
	processCommandNumber      = 7
	processCommandRefusal     = 8
	processCommandIncarnation = 9

	processFields = 10 // exceeds all field numbers
)

// Field numbers of Zone.
const (
	zoneName           = 1
	zoneState          = 2
	zoneSince          = 3
	zoneVersion        = 4
	zoneRecentClosings = 5
	zoneClosedUntil    = 6
	zoneCause          = 7
)

// Snapshot is the whole replicated state. Times are in ms.
type Snapshot struct {
	Version     uint64
	Now         float64
	LastEpoch   uint64
	PlanVersion uint64
	Processes   []Process
	Zones       []Zone
	Shares      []Share
}

// Process is a process in a snapshot.
type Process struct {
	Name               string
	Incarnation, Epoch uint64
	Zone, Region       string
	Inactive           bool
	CommandNumber      uint64 // number of its last command
	CommandRefusal     uint32 // reason why that command was refused; 0 if it was accepted
	CommandIncarnation uint64 // incarnation in which it proposed that command
}

// Zone is a zone in a snapshot.
type Zone struct {
	Name           string
	State          uint32
	Since          float64
	Version        uint64
	RecentClosings uint32
	ClosedUntil    float64
	Cause          string
}

// AppendSnapshot appends an encoded snapshot to b.
func AppendSnapshot(b []byte, s *Snapshot) []byte {
	b = field.AppendUint(b, snapshotFormatField, snapshotFormat)
	b = field.AppendUint(b, snapshotVersion, s.Version)
	b = field.AppendFloat(b, snapshotNow, s.Now)
	b = field.AppendUint(b, snapshotLastEpoch, s.LastEpoch)
	b = field.AppendUint(b, snapshotPlanVersion, s.PlanVersion)
	for i := range s.Processes {
		b = field.AppendBytes(b, snapshotProcess, encodeProcess(&s.Processes[i]))
	}
	for i := range s.Zones {
		b = field.AppendBytes(b, snapshotZone, encodeZone(&s.Zones[i]))
	}
	for _, share := range s.Shares {
		b = appendShare(b, snapshotShare, share)
	}
	return b
}

func encodeProcess(p *Process) []byte {
	b := field.AppendString(nil, processName, p.Name)
	b = field.AppendUint(b, processIncarnation, p.Incarnation)
	b = field.AppendUint(b, processEpoch, p.Epoch)
	b = field.AppendString(b, processZone, p.Zone)
	b = field.AppendString(b, processRegion, p.Region)
	if p.Inactive {
		b = field.AppendUint(b, processInactive, 1)
	}
	b = field.AppendUint(b, processCommandNumber, p.CommandNumber)
	b = field.AppendUint(b, processCommandRefusal, uint64(p.CommandRefusal))
	return field.AppendUint(b, processCommandIncarnation, p.CommandIncarnation)
}

func encodeZone(z *Zone) []byte {
	b := field.AppendString(nil, zoneName, z.Name)
	b = field.AppendUint(b, zoneState, uint64(z.State))
	b = field.AppendFloat(b, zoneSince, z.Since)
	b = field.AppendUint(b, zoneVersion, z.Version)
	b = field.AppendUint(b, zoneRecentClosings, uint64(z.RecentClosings))
	b = field.AppendFloat(b, zoneClosedUntil, z.ClosedUntil)
	return field.AppendString(b, zoneCause, z.Cause)
}

// ReadSnapshot decodes a snapshot. It checks the encoding alone; the caller checks the values.
func ReadSnapshot(b []byte) (Snapshot, error) {
	var numbers [snapshotFields]uint64
	err := field.ForEach(b, func(number protowire.Number, value uint64, _ []byte) bool {
		if int(number) < len(numbers) {
			numbers[number] = value
		}
		return true
	})
	switch {
	case err != nil:
		return Snapshot{}, err
	case numbers[snapshotFormatField] > snapshotFormat:
		return Snapshot{}, ErrNewer
	case numbers[snapshotFormatField] == 0:
		return Snapshot{}, ErrMalformed
	}
	s := Snapshot{
		Version:     numbers[snapshotVersion],
		Now:         math.Float64frombits(numbers[snapshotNow]),
		LastEpoch:   numbers[snapshotLastEpoch],
		PlanVersion: numbers[snapshotPlanVersion],
	}
	if err := field.ForEach(b, s.readPart); err != nil {
		return Snapshot{}, err
	}
	return s, nil
}

// readPart decodes a process, zone or share of a snapshot, and skips its other fields.
func (s *Snapshot) readPart(number protowire.Number, _ uint64, content []byte) bool {
	switch number {
	case snapshotProcess:
		numbers, texts, ok := readFields(content)
		if !ok {
			return false
		}
		s.Processes = append(s.Processes, Process{
			Name:               texts[processName],
			Incarnation:        numbers[processIncarnation],
			Epoch:              numbers[processEpoch],
			Zone:               texts[processZone],
			Region:             texts[processRegion],
			Inactive:           numbers[processInactive] != 0,
			CommandNumber:      numbers[processCommandNumber],
			CommandRefusal:     uint32(numbers[processCommandRefusal]),
			CommandIncarnation: numbers[processCommandIncarnation],
		})
	case snapshotZone:
		numbers, texts, ok := readFields(content)
		if !ok {
			return false
		}
		s.Zones = append(s.Zones, Zone{
			Name:           texts[zoneName],
			State:          uint32(numbers[zoneState]),
			Since:          math.Float64frombits(numbers[zoneSince]),
			Version:        numbers[zoneVersion],
			RecentClosings: uint32(numbers[zoneRecentClosings]),
			ClosedUntil:    math.Float64frombits(numbers[zoneClosedUntil]),
			Cause:          texts[zoneCause],
		})
	case snapshotShare:
		share, ok := readShare(content)
		s.Shares = append(s.Shares, share)
		return ok
	}
	return true
}

// readFields reads the fields of a process or zone. It reports whether they are well-formed and name the process or zone.
func readFields(b []byte) (numbers [processFields]uint64, texts [processFields]string, ok bool) {
	err := field.ForEach(b, func(number protowire.Number, value uint64, content []byte) bool {
		if int(number) < len(numbers) {
			numbers[number], texts[number] = value, string(content)
		}
		return true
	})
	return numbers, texts, err == nil && texts[processName] != ""
}
