package bolt

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
)

// The pages of a bbolt file, as go.etcd.io/bbolt/internal/common has them (version 2 of its format, little endian). Its own
// check runs on a goroutine that nobody can guard: a length that points beyond the mapped file ends the process there, and
// pages that name each other in a circle end its stack. So no page is given to the library before it was walked here.
const (
	magic          = 0xED0CDAED
	version        = 2
	headerSize     = 16 // id, flags, count, overflow
	metaSize       = 64
	isBranch       = 0x01
	isLeaf         = 0x02
	isFreelist     = 0x10
	isBucket       = 0x01 // flag of a leaf's element
	freelistAbsent = ^uint64(0)
	countOverflow  = 0xFFFF // the count stands in the first number then
	maxDepth       = 64     // buckets within buckets, and levels of a tree
)

var le = binary.LittleEndian

// metaPage is what a valid meta page says.
type metaPage struct {
	pageSize, root, freelist, highWater, transaction uint64
}

func parseMeta(b []byte) (page metaPage, ok bool) {
	if len(b) < headerSize+metaSize {
		return page, false
	}
	m := b[headerSize:]
	sum := fnv.New64a()
	_, _ = sum.Write(m[:56]) // a hash takes every write
	if le.Uint32(m) != magic || le.Uint32(m[4:]) != version || le.Uint64(m[56:]) != sum.Sum64() {
		return page, false
	}
	return metaPage{uint64(le.Uint32(m[8:])), le.Uint64(m[16:]), le.Uint64(m[32:]), le.Uint64(m[40:]), le.Uint64(m[48:])}, true
}

// pageWalker is the reading of a file.
type pageWalker struct {
	metaPage
	file []byte
	seen map[uint64]bool
}

// CheckPages tells what is wrong with the bytes of a bbolt file: nil if every page that can be reached lies in the file, names what
// lies in it, and has its keys in order.
func CheckPages(b []byte) error {
	var newest metaPage
	found := false
	readMeta := func(at uint64) bool {
		if at >= uint64(len(b)) {
			return false
		}
		m, ok := parseMeta(b[at:])
		if ok && m.pageSize >= 512 && m.pageSize <= 1<<24 && m.pageSize&(m.pageSize-1) == 0 && (!found || m.transaction > newest.transaction) {
			newest, found = m, true
		}
		return ok
	}
	first := readMeta(0)
	if second := newest.pageSize; first {
		readMeta(second)
	} else {
		for size := uint64(512); size <= 1<<24 && !readMeta(size); size *= 2 {
		}
	}
	switch {
	case !found:
		return errors.New("neither of the two heads is valid")
	case newest.highWater < 2 || newest.highWater > uint64(len(b))/newest.pageSize:
		return fmt.Errorf("%d pages of %d bytes do not lie in %d", newest.highWater, newest.pageSize, len(b))
	}
	walker := &pageWalker{metaPage: newest, file: b, seen: map[uint64]bool{}}
	var last []byte
	if err := walker.checkTree(newest.root, maxDepth, &last); err != nil {
		return err
	}
	return walker.checkFreelist()
}

// pages gives the bytes of a page and those that follow it as its overflow, which nobody else may have.
func (w *pageWalker) pages(id uint64) ([]byte, error) {
	if id < 2 || id >= w.highWater {
		return nil, fmt.Errorf("page %d of %d", id, w.highWater)
	}
	page := w.file[id*w.pageSize:]
	overflow := uint64(le.Uint32(page[12:]))
	if le.Uint64(page) != id || overflow >= w.highWater-id {
		return nil, fmt.Errorf("page %d says that it is %d with %d more", id, le.Uint64(page), overflow)
	}
	for i := id; i <= id+overflow; i++ {
		if w.seen[i] {
			return nil, fmt.Errorf("page %d is reached twice", i)
		}
		w.seen[i] = true
	}
	return page[:(1+overflow)*w.pageSize], nil
}

// checkTree walks the pages of a bucket; last is its greatest key so far.
func (w *pageWalker) checkTree(id uint64, depth int, last *[]byte) error {
	p, err := w.pages(id)
	if err != nil {
		return err
	}
	return w.checkPage(p, fmt.Sprint("page ", id), depth, last)
}

func (w *pageWalker) checkPage(p []byte, what string, depth int, last *[]byte) error {
	flags, count := le.Uint16(p[8:]), int(le.Uint16(p[10:]))
	if depth == 0 {
		return fmt.Errorf("%s: too deep", what)
	}
	if flags != isBranch && flags != isLeaf || flags == isBranch && count == 0 || headerSize*(1+count) > len(p) {
		return fmt.Errorf("%s: flags %x, %d elements", what, flags, count)
	}
	for i := range count {
		at := headerSize * (1 + i)
		element := p[at:]
		slice := func(from, size uint64) ([]byte, error) {
			if from < headerSize || from > uint64(len(element)) || size > uint64(len(element))-from {
				return nil, fmt.Errorf("%s: element %d lies at %d with %d bytes", what, i, uint64(at)+from, size)
			}
			return element[from : from+size], nil
		}
		if flags == isBranch {
			key, err := slice(uint64(le.Uint32(element)), uint64(le.Uint32(element[4:])))
			if err != nil {
				return err
			}
			if i > 0 && bytes.Compare(*last, key) >= 0 {
				return fmt.Errorf("%s: key %d is out of order", what, i)
			}
			if err := w.checkTree(le.Uint64(element[8:]), depth-1, last); err != nil {
				return err
			}
			continue
		}
		from, keys := uint64(le.Uint32(element[4:])), uint64(le.Uint32(element[8:]))
		key, err := slice(from, keys)
		if err != nil {
			return err
		}
		if *last != nil && bytes.Compare(*last, key) >= 0 || len(key) == 0 {
			return fmt.Errorf("%s: key %d is out of order", what, i)
		}
		*last = key
		value, err := slice(from+keys, uint64(le.Uint32(element[12:])))
		if err != nil {
			return err
		}
		if le.Uint32(element)&isBucket != 0 {
			if err := w.checkBucket(value, what, depth-1); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkBucket walks a bucket by its element's value: the page of its root, or the whole of it where it is small.
func (w *pageWalker) checkBucket(value []byte, what string, depth int) error {
	if len(value) < headerSize {
		return fmt.Errorf("%s: a bucket of %d bytes", what, len(value))
	}
	var last []byte
	if root := le.Uint64(value); root != 0 {
		return w.checkTree(root, depth, &last)
	}
	if len(value) < 2*headerSize {
		return fmt.Errorf("%s: a bucket of %d bytes", what, len(value))
	}
	if inner := value[headerSize:]; le.Uint16(inner[8:]) != isLeaf {
		return fmt.Errorf("%s: a small bucket that is no leaf", what)
	}
	return w.checkPage(value[headerSize:], what, depth, &last)
}

// checkFreelist looks at the list of pages that are free.
func (w *pageWalker) checkFreelist() error {
	if w.freelist == freelistAbsent {
		return nil
	}
	p, err := w.pages(w.freelist)
	if err != nil {
		return fmt.Errorf("list of free pages: %w", err)
	}
	count, ids := uint64(le.Uint16(p[10:])), p[headerSize:]
	if count == countOverflow {
		count, ids = le.Uint64(ids), ids[8:]
	}
	if le.Uint16(p[8:]) != isFreelist || count > uint64(len(ids))/8 {
		return fmt.Errorf("list of free pages: flags %x, %d pages", le.Uint16(p[8:]), count)
	}
	for i := range count {
		id := le.Uint64(ids[8*i:])
		if id < 2 || id >= w.highWater || w.seen[id] {
			return fmt.Errorf("page %d is free and in use", id)
		}
		w.seen[id] = true
	}
	return nil
}
