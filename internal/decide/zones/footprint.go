package zones

import "unsafe"

// Footprint is the size of what a judge holds, by structure. Bytes are those of the records and their texts, without what maps
// and the allocator add.
type Footprint struct {
	Reports     int // of processes
	ReportBytes int
	Verdicts    int // zones' spells, proposals and uses
}

// Footprint counts what the judge holds.
func (j *Controller) Footprint() Footprint {
	f := Footprint{
		Reports:  len(j.reports),
		Verdicts: len(j.observations) + len(j.proposals) + len(j.lastUsed),
	}
	for from, r := range j.reports {
		f.ReportBytes += len(from) + int(unsafe.Sizeof(r))
		for zone, sum := range r.summaries {
			f.ReportBytes += len(zone) + int(unsafe.Sizeof(sum))
		}
	}
	return f
}
