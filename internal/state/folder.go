// Package state stores what outlives a scheduler process in a folder: the last node list, the number of the process's incarnation, and status
// files for operators. One process at a time holds the lock of a folder.
//
// Each file has a header with the version of its format, a checksum and its length. Reading a file that is damaged or has a later
// format version returns ErrDamaged or ErrNewer and leaves the file unchanged. Concurrent calls on a Folder are safe if they use different
// files; a NodeList is not safe for concurrent use.
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
	ErrLocked  = errors.New("folder is locked by another process")
)

// Names of the files.
const (
	incarnationFile = "life"
	nodesFile       = "nodes"
)

// Disk stores files by name.
type Disk interface {
	// Read returns a file's content, or nil if the file does not exist.
	Read(name string) ([]byte, error)
	// Write replaces a file atomically and returns when the new content is durable. After a crash at any moment the file has
	// either the old or the new content.
	Write(name string, content []byte) error
	// WriteUnsynced replaces a file atomically without waiting for the disk. The new content may be lost if the machine
	// crashes.
	WriteUnsynced(name string, content []byte) error
	Close() error
}

// Folder is a scheduler's state folder.
type Folder struct{ disk Disk }

// NewFolder returns a state folder whose files are on the given disk.
func NewFolder(disk Disk) *Folder { return &Folder{disk} }

// Open creates the folder if it does not exist, and locks it until Close or the end of the process. The error wraps ErrLocked if another
// process holds the lock.
func Open(path string) (*Folder, error) {
	disk, err := lockDirectory(path)
	if err != nil {
		return nil, err
	}
	return NewFolder(disk), nil
}

// WriteUnsynced replaces a status file that operators read. It does not wait until the file is durable, as no program depends on its content.
func (f *Folder) WriteUnsynced(name string, content []byte) error {
	return f.disk.WriteUnsynced(name, content)
}

// Close releases the lock of the folder.
func (f *Folder) Close() error { return f.disk.Close() }

// NextIncarnation increments the stored incarnation number and returns it once it is durable. No two incarnations may use the same number, as
// the number is part of the tickets that identify their attempts.
func (f *Folder) NextIncarnation() (uint32, error) {
	body, err := f.read(incarnationFile)
	if err != nil {
		return 0, err
	}
	incarnation := uint64(0)
	if body != nil {
		if incarnation, err = strconv.ParseUint(strings.TrimSpace(string(body)), 10, 32); err != nil {
			return 0, fmt.Errorf("incarnation file life: %w", ErrDamaged)
		}
	}
	incarnation++
	if incarnation >= 1<<32 {
		return 0, errors.New("incarnation file life: no 32-bit incarnation number is left")
	}
	return uint32(incarnation), f.write(incarnationFile, strconv.AppendUint(nil, incarnation, 10))
}

// headerPrefix returns the text at the start of the header of a file.
func headerPrefix(name string) string { return "RAVENPOND-" + strings.ToUpper(name) }

// write replaces a file with a header and a body. The header has the format version, a checksum and the length of the body.
func (f *Folder) write(name string, body []byte) error {
	header := fmt.Sprintf("%s %d %016x %d\n", headerPrefix(name), Format, xxhash.Sum64(body), len(body))
	return f.disk.Write(name, append([]byte(header), body...))
}

// read verifies a file and returns its body, or nil if the file does not exist.
func (f *Folder) read(name string) ([]byte, error) {
	content, err := f.disk.Read(name)
	if err != nil || content == nil {
		return nil, err
	}
	header, body, ok := bytes.Cut(content, []byte("\n"))
	var version, length int
	var sum uint64
	if _, err := fmt.Sscanf(string(header), headerPrefix(name)+" %d", &version); !ok || err != nil {
		return nil, fmt.Errorf("%s: header is missing or malformed: %w", name, ErrDamaged)
	}
	if version > Format {
		return nil, fmt.Errorf("%s: format version %d, want at most %d: %w", name, version, Format, ErrNewer)
	}
	_, err = fmt.Sscanf(string(header), headerPrefix(name)+" %d %x %d", &version, &sum, &length)
	if err != nil || length != len(body) || sum != xxhash.Sum64(body) {
		return nil, fmt.Errorf("%s: header does not match the content: %w", name, ErrDamaged)
	}
	return body, nil
}
