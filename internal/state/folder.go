// Package state keeps what outlives a scheduler process in a folder: the last node list, the number of the process's incarnation, and views
// for operators. One process at a time holds a folder.
//
// Each file has a header with the version of its format, a checksum and its length. A file that is damaged or of a later version is refused
// with ErrDamaged or ErrNewer, and left as it is. A Folder is safe for concurrent use by different files; a NodeList is not safe for
// concurrent use.
package state

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Format is the version of the files' format.
const Format = 1

// Errors of opening a folder and of reading a file.
var (
	ErrDamaged = errors.New("file is damaged")
	ErrNewer   = errors.New("file was written by a later version")
	ErrLocked  = errors.New("folder is held by another process")
)

// Names of the files.
const (
	incarnationFile = "life"
	nodesFile       = "nodes"
)

// Disk keeps files by name.
type Disk interface {
	// Read returns a file's content, nil if there is no such file.
	Read(name string) ([]byte, error)
	// Write replaces a file atomically and returns when it is on the disk: after a crash at any moment the file is the old or the new one.
	Write(name string, text []byte) error
	// WriteUnsynced replaces a file atomically without waiting for the disk. The new one may be lost if the machine crashes.
	WriteUnsynced(name string, text []byte) error
	Close() error
}

// Folder is a scheduler's folder.
type Folder struct{ disk Disk }

// NewFolder returns a folder on a disk.
func NewFolder(disk Disk) *Folder { return &Folder{disk} }

// Open creates the folder if need be and holds it until Close or the end of the process. The error wraps ErrLocked if another process holds
// it.
func Open(path string) (*Folder, error) {
	disk, err := lockDirectory(path)
	if err != nil {
		return nil, err
	}
	return NewFolder(disk), nil
}

// WriteUnsynced replaces a view for operators, which no program depends on. It does not wait for the disk.
func (f *Folder) WriteUnsynced(name string, text []byte) error {
	return f.disk.WriteUnsynced(name, text)
}

// Close releases the folder.
func (f *Folder) Close() error { return f.disk.Close() }

// NextIncarnation raises the number of the process's incarnation and returns it when it is on the disk: no two incarnations may use the
// same number, as it is part of their attempts' tickets.
func (f *Folder) NextIncarnation() (uint32, error) {
	body, err := f.read(incarnationFile)
	if err != nil {
		return 0, err
	}
	incarnation := uint64(0)
	if body != nil {
		if incarnation, err = strconv.ParseUint(strings.TrimSpace(string(body)), 10, 32); err != nil {
			return 0, fmt.Errorf("life: %w", ErrDamaged)
		}
	}
	incarnation++
	if incarnation >= 1<<32 {
		return 0, errors.New("life: numbers are used up")
	}
	return uint32(incarnation), f.write(incarnationFile, strconv.AppendUint(nil, incarnation, 10))
}

// headerPrefix begins the header of a file.
func headerPrefix(name string) string { return "RAVENPOND-" + strings.ToUpper(name) }

// write replaces a file. Its header holds the format, a checksum and the length of the body.
func (f *Folder) write(name string, body []byte) error {
	header := fmt.Sprintf("%s %d %016x %d\n", headerPrefix(name), Format, xxhash.Sum64(body), len(body))
	return f.disk.Write(name, append([]byte(header), body...))
}

// read returns a file's body, nil if there is no such file.
func (f *Folder) read(name string) ([]byte, error) {
	text, err := f.disk.Read(name)
	if err != nil || text == nil {
		return nil, err
	}
	header, body, ok := bytes.Cut(text, []byte("\n"))
	var version, length int
	var sum uint64
	if _, err := fmt.Sscanf(string(header), headerPrefix(name)+" %d", &version); !ok || err != nil {
		return nil, fmt.Errorf("%s: no head: %w", name, ErrDamaged)
	}
	if version > Format {
		return nil, fmt.Errorf("%s: format %d, this program reads up to %d: %w", name, version, Format, ErrNewer)
	}
	_, err = fmt.Sscanf(string(header), headerPrefix(name)+" %d %x %d", &version, &sum, &length)
	if err != nil || length != len(body) || sum != xxhash.Sum64(body) {
		return nil, fmt.Errorf("%s: %w", name, ErrDamaged)
	}
	return body, nil
}
