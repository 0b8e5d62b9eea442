package membership

import (
	"slices"

	codec "ravenpond/internal/proto/members"
)

// syncIfDifferent synchronizes the full state with a member whose digest differs, at most once per syncInterval.
func (d *Detector) syncIfDifferent(m *member, peerDigest uint64) {
	if peerDigest != d.digest && d.now-d.lastSyncAt >= syncInterval {
		d.sync(m)
	}
}

// sync sends the full state to a member in pages. The receiver applies the newer updates and answers each page with its own newer ones.
func (d *Detector) sync(m *member) {
	d.Stats.Syncs++
	d.lastSyncAt = d.now
	all := slices.Clone(d.names)
	i, _ := slices.BinarySearch(all, d.config.Name)
	all = slices.Insert(all, i, d.config.Name)
	after := ""
	for range maxSyncPages {
		until, n := d.sendSyncPage(m, all, after)
		all, after = all[n:], until
		if until == "" {
			return
		}
	}
}

// sendSyncPage sends a page with the updates of as many names as fit. It returns the last name in the page, or an empty string if all names
// were sent, and the number of names.
func (d *Detector) sendSyncPage(m *member, names []string, after string) (until string, n int) {
	d.Stats.Pages++
	d.sequence++
	m.sentCount++
	beginPage := func(until string) []byte {
		return d.appendHeader(m.Incarnation, codec.Header{
			Count: m.sentCount, Kind: codec.SyncChunk, Number: d.sequence, Digest: d.digest, After: after, Until: until,
		})
	}
	longest := ""
	for _, name := range names {
		if len(name) > len(longest) {
			longest = name
		}
	}
	b := beginPage(longest) // reserves space for the longest name, because the page's last name is not known yet
	for n = 0; n < len(names); n++ {
		var ok bool
		if b, ok = appendUpdate(b, d.lookup(names[n])); !ok {
			break
		}
	}
	if n < len(names) && n > 0 {
		until = names[n-1]
	}
	b = beginPage(until)
	for _, name := range names[:n] {
		b, _ = appendUpdate(b, d.lookup(name))
	}
	d.transmit(m.Address, b)
	return until, n
}

// lookup returns the member with a name, which may be this process.
func (d *Detector) lookup(name string) *member {
	if name == d.config.Name {
		return d.self
	}
	return d.members[name]
}

// onSyncPage answers a page with the updates, within its range of names, that are newer here or missing in the page.
func (d *Detector) onSyncPage(m *member, number uint64, after, until string) {
	from, _ := slices.BinarySearch(d.names, after)
	var b []byte
	flush := func() {
		if b != nil {
			d.transmit(m.Address, b)
			b = nil
		}
	}
	for _, name := range append(slices.Clone(d.names[from:]), d.config.Name) {
		if name <= after || until != "" && name > until || d.syncedNames[name] {
			continue
		}
		for range 2 {
			if b == nil {
				m.sentCount++
				b = d.appendHeader(m.Incarnation, codec.Header{Count: m.sentCount, Kind: codec.SyncReply, Number: number, Digest: d.digest})
			}
			var ok bool
			if b, ok = appendUpdate(b, d.lookup(name)); ok {
				break
			}
			flush()
		}
	}
	flush()
}

// markSynced records whether the page has an update of a member that is at least as recent as this process's state. The answer omits these.
func (d *Detector) markSynced(m *member, incarnation, version uint64, state State) {
	if d.syncedNames != nil {
		d.syncedNames[m.Name] = incarnation > m.Incarnation || incarnation == m.Incarnation && (version > m.Version || version == m.Version && (state >= m.State || m.State < Dead))
	}
}
