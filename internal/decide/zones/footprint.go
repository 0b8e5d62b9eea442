package zones

import "unsafe"

// Footprint is the number of entries in each of a controller's structures, and their memory. Bytes count the records and their strings, not
// the overhead of maps and the allocator.
type Footprint struct {
	Reports     int // reports of processes
	ReportBytes int
	ZoneRecords int // observations, proposals and recorded numbers of used cores, all by zone
}

// Footprint returns the present sizes.
func (c *Controller) Footprint() Footprint {
	f := Footprint{
		Reports:     len(c.reports),
		ZoneRecords: len(c.observations) + len(c.proposals) + len(c.lastUsed),
	}
	for process, report := range c.reports {
		f.ReportBytes += len(process) + int(unsafe.Sizeof(report))
		for zone := range report.summaries {
			f.ReportBytes += len(zone) + int(unsafe.Sizeof(Summary{}))
		}
	}
	return f
}
