package zones

import "unsafe"

// Footprint is the size of what a controller holds, by structure. Bytes are those of the records and their texts, without what maps and
// the allocator add.
type Footprint struct {
	Reports     int // of processes
	ReportBytes int
	Verdicts    int // observations, proposals and recorded uses of zones
}

// Footprint counts what the controller holds.
func (c *Controller) Footprint() Footprint {
	f := Footprint{
		Reports:  len(c.reports),
		Verdicts: len(c.observations) + len(c.proposals) + len(c.lastUsed),
	}
	for process, report := range c.reports {
		f.ReportBytes += len(process) + int(unsafe.Sizeof(report))
		for zone := range report.summaries {
			f.ReportBytes += len(zone) + int(unsafe.Sizeof(Summary{}))
		}
	}
	return f
}
