package bolt

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
)

// The layout of the pages of a bbolt file, as go.etcd.io/bbolt/internal/common defines it (version 2 of its format, little endian). The
// library's own check runs in a goroutine whose panics its caller can't recover: a length that points beyond the mapped file crashes the
// process there, and pages that refer to each other in a cycle overflow the stack. Every page is therefore verified here before the library
// reads the file.
const (
	bboltMagic   = 0xED0CDAED
	bboltVersion = 2

	headerSize  = 16      // bytes, of the header of a page and of an element
	metaSize    = 64      // bytes
	minPageSize = 512     // bytes
	maxPageSize = 1 << 24 // bytes

	branchPageFlag    = 0x01
	leafPageFlag      = 0x02
	freelistPageFlag  = 0x10
	bucketElementFlag = 0x01 // flag of an element of a leaf page whose value is a bucket

	firstDataPage = 2          // number of the first page after the two meta pages
	noFreelist    = ^uint64(0) // page number of the freelist in a meta page if the file has no freelist
	countOverflow = 0xFFFF     // the number of free pages is the first number of the list instead
	maxDepth      = 64         // limit on nested buckets and on levels of their trees together
)

var littleEndian = binary.LittleEndian

// metaPage is the content of a valid meta page.
type metaPage struct {
	pageSize, root, freelist, highWaterMark, txID uint64
}

// parseMeta decodes a meta page. ok is false if the page is truncated, its checksum is wrong, or its magic number or format version is not that of bbolt.
func parseMeta(b []byte) (page metaPage, ok bool) {
	if len(b) < headerSize+metaSize {
		return page, false
	}
	m := b[headerSize:]
	sum := fnv.New64a()
	_, _ = sum.Write(m[:56]) // never fails
	if littleEndian.Uint32(m) != bboltMagic || littleEndian.Uint32(m[4:]) != bboltVersion || littleEndian.Uint64(m[56:]) != sum.Sum64() {
		return page, false
	}
	return metaPage{
		pageSize:      uint64(littleEndian.Uint32(m[8:])),
		root:          littleEndian.Uint64(m[16:]),
		freelist:      littleEndian.Uint64(m[32:]),
		highWaterMark: littleEndian.Uint64(m[40:]),
		txID:          littleEndian.Uint64(m[48:]),
	}, true
}

// newestMeta returns the valid meta page with the latest transaction. The second meta page follows the first one, whose length is the page size.
// If the first one is damaged, the page size is unknown, and the second one is searched for at each possible page size.
func newestMeta(file []byte) (newest metaPage, found bool) {
	read := func(offset uint64) (ok bool) {
		if offset >= uint64(len(file)) {
			return false
		}
		m, ok := parseMeta(file[offset:])
		isPageSize := m.pageSize >= minPageSize && m.pageSize <= maxPageSize && m.pageSize&(m.pageSize-1) == 0
		if ok && isPageSize && (!found || m.txID > newest.txID) {
			newest, found = m, true
		}
		return ok
	}
	if read(0) {
		read(newest.pageSize)
		return newest, found
	}
	for size := uint64(minPageSize); size <= maxPageSize && !read(size); size *= 2 {
	}
	return newest, found
}

// CheckPages verifies the content of a bbolt file. It returns nil if every reachable page lies within the file, refers only to content within
// the file, and has its keys in ascending order.
func CheckPages(file []byte) error {
	newest, found := newestMeta(file)
	switch {
	case !found:
		return errors.New("neither of the two meta pages is valid")
	case newest.highWaterMark < firstDataPage || newest.highWaterMark > uint64(len(file))/newest.pageSize:
		return fmt.Errorf("%d pages of %d bytes do not fit the file of %d bytes", newest.highWaterMark, newest.pageSize, len(file))
	}
	walker := &pageWalker{metaPage: newest, file: file, visited: map[uint64]bool{}}
	var last []byte
	if err := walker.checkTree(newest.root, maxDepth, &last); err != nil {
		return err
	}
	return walker.checkFreelist()
}

// pageWalker verifies the pages of a file, following their references.
type pageWalker struct {
	metaPage
	file    []byte
	visited map[uint64]bool // numbers of the pages that were reached
}

// readPages returns the content of a page and of its overflow pages, which follow it. It returns an error if one of them was reached before.
func (w *pageWalker) readPages(id uint64) ([]byte, error) {
	if id < firstDataPage || id >= w.highWaterMark {
		return nil, fmt.Errorf("reference to page %d, which is not a data page among the %d pages in use", id, w.highWaterMark)
	}
	page := w.file[id*w.pageSize:]
	overflow := uint64(littleEndian.Uint32(page[12:]))
	if littleEndian.Uint64(page) != id || overflow >= w.highWaterMark-id {
		return nil, fmt.Errorf("page %d has number %d in its header, with %d overflow pages", id, littleEndian.Uint64(page), overflow)
	}
	for i := id; i <= id+overflow; i++ {
		if w.visited[i] {
			return nil, fmt.Errorf("page %d is referenced twice", i)
		}
		w.visited[i] = true
	}
	return page[:(1+overflow)*w.pageSize], nil
}

// checkTree verifies a page of a bucket and the pages below it. last is the greatest key of the bucket so far.
func (w *pageWalker) checkTree(id uint64, depth int, last *[]byte) error {
	content, err := w.readPages(id)
	if err != nil {
		return err
	}
	return w.checkPage(page{content, fmt.Sprint("page ", id)}, depth, last)
}

// page is the content of a page, or of a small bucket that is stored inline in an element. Error messages use the name.
type page struct {
	content []byte
	name    string
}

// element returns the content of the page from the start of element i to the end.
func (p page) element(i int) []byte { return p.content[headerSize*(1+i):] }

// slice returns size bytes at an offset from the start of element i.
func (p page) slice(i int, offset, size uint64) ([]byte, error) {
	e := p.element(i)
	if offset < headerSize || offset > uint64(len(e)) || size > uint64(len(e))-offset {
		return nil, fmt.Errorf("%s: element %d refers to offset %d with %d bytes, outside of the page", p.name, i, uint64(headerSize*(1+i))+offset, size)
	}
	return e[offset : offset+size], nil
}

// checkPage verifies a branch or leaf page and what its elements refer to. depth is how many more levels are allowed.
func (w *pageWalker) checkPage(p page, depth int, last *[]byte) error {
	flags, count := littleEndian.Uint16(p.content[8:]), int(littleEndian.Uint16(p.content[10:]))
	if depth == 0 {
		return fmt.Errorf("%s: nested too deeply", p.name)
	}
	if flags != branchPageFlag && flags != leafPageFlag || flags == branchPageFlag && count == 0 || headerSize*(1+count) > len(p.content) {
		return fmt.Errorf("%s: invalid flags %x or number of elements %d", p.name, flags, count)
	}
	for i := range count {
		var err error
		if flags == branchPageFlag {
			err = w.checkBranch(p, i, depth, last)
		} else {
			err = w.checkLeaf(p, i, depth, last)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// checkBranch verifies an element of a branch page and the page that it refers to.
func (w *pageWalker) checkBranch(p page, i, depth int, last *[]byte) error {
	e := p.element(i)
	key, err := p.slice(i, uint64(littleEndian.Uint32(e)), uint64(littleEndian.Uint32(e[4:])))
	if err != nil {
		return err
	}
	if i > 0 && bytes.Compare(*last, key) >= 0 {
		return fmt.Errorf("%s: key %d is out of order", p.name, i)
	}
	return w.checkTree(littleEndian.Uint64(e[8:]), depth-1, last)
}

// checkLeaf verifies an element of a leaf page, which is a record or a bucket.
func (w *pageWalker) checkLeaf(p page, i, depth int, last *[]byte) error {
	e := p.element(i)
	offset, keySize := uint64(littleEndian.Uint32(e[4:])), uint64(littleEndian.Uint32(e[8:]))
	key, err := p.slice(i, offset, keySize)
	if err != nil {
		return err
	}
	if *last != nil && bytes.Compare(*last, key) >= 0 || len(key) == 0 {
		return fmt.Errorf("%s: key %d is out of order", p.name, i)
	}
	*last = key
	value, err := p.slice(i, offset+keySize, uint64(littleEndian.Uint32(e[12:])))
	if err != nil {
		return err
	}
	if littleEndian.Uint32(e)&bucketElementFlag == 0 {
		return nil
	}
	return w.checkBucket(value, p.name, depth-1)
}

// checkBucket verifies a bucket. value is the value of its element: the number of the root page, or the inline content of a small bucket.
func (w *pageWalker) checkBucket(value []byte, name string, depth int) error {
	if len(value) < headerSize {
		return fmt.Errorf("%s: bucket of %d bytes is truncated", name, len(value))
	}
	var last []byte
	if root := littleEndian.Uint64(value); root != 0 {
		return w.checkTree(root, depth, &last)
	}
	if len(value) < 2*headerSize {
		return fmt.Errorf("%s: bucket of %d bytes is truncated", name, len(value))
	}
	content := value[headerSize:]
	if littleEndian.Uint16(content[8:]) != leafPageFlag {
		return fmt.Errorf("%s: inline bucket is not a leaf page", name)
	}
	return w.checkPage(page{content, name}, depth, &last)
}

// checkFreelist verifies the list of free pages. A page that is in use may not be in it, nor a page twice.
func (w *pageWalker) checkFreelist() error {
	if w.freelist == noFreelist {
		return nil
	}
	content, err := w.readPages(w.freelist)
	if err != nil {
		return fmt.Errorf("freelist: %w", err)
	}
	count, ids := uint64(littleEndian.Uint16(content[10:])), content[headerSize:]
	if count == countOverflow {
		count, ids = littleEndian.Uint64(ids), ids[8:]
	}
	if littleEndian.Uint16(content[8:]) != freelistPageFlag || count > uint64(len(ids))/8 {
		return fmt.Errorf("freelist: invalid flags %x or number of pages %d", littleEndian.Uint16(content[8:]), count)
	}
	for i := range count {
		id := littleEndian.Uint64(ids[8*i:])
		if id < firstDataPage || id >= w.highWaterMark || w.visited[id] {
			return fmt.Errorf("freelist: page %d is out of range, in use, or listed twice", id)
		}
		w.visited[id] = true
	}
	return nil
}
