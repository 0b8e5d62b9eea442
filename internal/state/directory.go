package state

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/google/renameio/v2"
)

// Permissions of the folder and its files.
const (
	directoryMode = 0o750
	fileMode      = 0o640
)

// directory is a Disk on a directory of the machine.
type directory struct {
	path string
	lock *os.File // nil: read only, without the lock
}

func lockDirectory(path string) (*directory, error) {
	if err := os.MkdirAll(path, directoryMode); err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("state folder %s: %w", path, ErrLocked), lock.Close())
	}
	return &directory{path, lock}, nil
}

// Close releases the lock.
func (d *directory) Close() error { return d.lock.Close() }

// Read implements Disk.
func (d *directory) Read(name string) ([]byte, error) {
	text, err := os.ReadFile(filepath.Join(d.path, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return text, err
}

// WriteUnsynced implements Disk.
func (d *directory) WriteUnsynced(name string, text []byte) error {
	path := filepath.Join(d.path, name)
	if err := os.WriteFile(path+".new", text, fileMode); err != nil {
		return fmt.Errorf("showing %s: %w", path, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("showing %s: %w", path, err)
	}
	return nil
}

// Write implements Disk.
func (d *directory) Write(name string, text []byte) error {
	path := filepath.Join(d.path, name)
	if err := renameio.WriteFile(path, text, fileMode); err != nil {
		return fmt.Errorf("writing %s: %w", path, err)
	}
	if err := d.sync(); err != nil { // the new name must be on the disk, too
		return fmt.Errorf("writing %s: %w", path, err)
	}
	return nil
}

// sync waits until the directory's entries are on the disk.
func (d *directory) sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
