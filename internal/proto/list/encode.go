package list

import "ravenpond/internal/proto/line"

// AppendFullRequest appends the request for the full list.
func AppendFullRequest(b []byte) []byte { return append(b, "WHOLE\n"...) }

// AppendWatch appends the request for all changes after a version, including future ones.
func AppendWatch(b []byte, since uint64) []byte {
	return append(line.AppendInt(append(b, "WATCH"...), since), '\n')
}

// AppendUnwatch appends the request to end the watch.
func AppendUnwatch(b []byte) []byte { return append(b, "UNWATCH\n"...) }

// AppendMaintenance appends the notice that a node is out for maintenance, which ends after the duration if no other notice follows.
func AppendMaintenance(b []byte, id uint32, duration float64) []byte {
	return append(line.AppendNumber(line.AppendInt(append(b, "OUT"...), uint64(id)), duration), '\n')
}

// AppendMaintenanceEnd appends the notice that a node is back from maintenance.
func AppendMaintenanceEnd(b []byte, id uint32) []byte {
	return append(line.AppendInt(append(b, "BACK"...), uint64(id)), '\n')
}

// AppendBye appends the reason for which the sender closes the connection.
func AppendBye(b []byte, reason string) []byte {
	return append(line.AppendText(append(b, "BYE"...), line.EscapeText(reason)), '\n')
}

// AppendBegin appends the beginning of an answer.
func AppendBegin(b []byte, kind int, version uint64) []byte {
	return append(line.AppendInt(line.AppendText(append(b, "LIST"...), KindNames[kind]), version), '\n')
}

// AppendEntry appends an entry of an answer.
func AppendEntry(b []byte, e Entry) []byte {
	b = line.AppendInt(append(b, "NODE"...), uint64(e.ID))
	b = line.AppendText(b, e.Address)
	b = line.AppendText(b, AvailabilityNames[e.Availability])
	b = line.AppendNumber(b, e.StartedAt)
	b = line.AppendNumber(b, e.FreeCores)
	b = line.AppendNumber(b, e.FreeMemory)
	b = line.AppendText(b, e.Zone)
	b = line.AppendText(b, e.Cell)
	b = line.AppendText(b, e.Kind)
	return append(b, '\n')
}

// AppendEnd appends the end of an answer.
func AppendEnd(b []byte) []byte { return append(b, "END\n"...) }

// AppendFailed appends the notice that a request failed.
func AppendFailed(b []byte, reason string) []byte {
	return append(line.AppendText(append(b, "FAILED"...), line.EscapeText(reason)), '\n')
}
