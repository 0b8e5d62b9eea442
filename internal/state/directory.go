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

// directory is a Disk that keeps its files in a directory of the file system.
type directory struct {
	path string
	lock *os.File // the locked lock file, or nil if the directory was opened for reading without the lock
}

// lockDirectory creates the directory if it does not exist, and locks it. The error wraps ErrLocked if another process holds the lock.
func lockDirectory(path string) (*directory, error) {
	if err := os.MkdirAll(path, directoryMode); err != nil {
		return nil, fmt.Errorf("open state folder: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open state folder: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("lock state folder %s: %w", path, ErrLocked), lock.Close())
	}
	return &directory{path, lock}, nil
}

// Close releases the lock.
func (d *directory) Close() error { return d.lock.Close() }

// Read implements Disk.
func (d *directory) Read(name string) ([]byte, error) {
	content, err := os.ReadFile(filepath.Join(d.path, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return content, err
}

// WriteUnsynced implements Disk.
func (d *directory) WriteUnsynced(name string, content []byte) error {
	path := filepath.Join(d.path, name)
	if err := os.WriteFile(path+".new", content, fileMode); err != nil {
		return fmt.Errorf("write %s without sync: %w", path, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("write %s without sync: %w", path, err)
	}
	return nil
}

// Write implements Disk.
func (d *directory) Write(name string, content []byte) error {
	path := filepath.Join(d.path, name)
	if err := renameio.WriteFile(path, content, fileMode); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	if err := d.sync(); err != nil { // the renamed directory entry must be durable, too
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}

// sync flushes the directory's entries to the disk.
func (d *directory) sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
