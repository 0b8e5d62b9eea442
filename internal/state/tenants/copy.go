package tenants

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/google/renameio/v2"
	"go.etcd.io/bbolt"
)

// ErrForeign means that the target folder has a store that is not a copy of this one.
var ErrForeign = errors.New("target folder has a different store with its own key")

// CopyTo copies the whole store atomically into the folder of another process: tenants, tokens, responses and audit records. That process
// detects the new copy like any other change. Changes that it made in its copy are lost, which is safe, as it only finishes removals there and
// will finish them again. The error wraps ErrForeign if the folder has a different store, and bolt.ErrLocked, bolt.ErrDamaged or bolt.ErrNewer
// if the copy in the folder can't be replaced.
func (s *Store) CopyTo(folder string) (err error) {
	target := storePath(folder)
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("copy tenant store: %w", err)
	}
	if err := s.copyKey(folder); err != nil {
		return err
	}
	if same, err := sameFile(s.db.Path(), target); err != nil || same {
		return errors.Join(fmt.Errorf("copy tenant store to %s: target is the folder of the store itself", folder), err)
	}
	if Exists(folder) { // holds the lock until the copy is in place; a damaged store or one of a later version is not replaced
		old, err := Open(folder, s.maxTenants)
		if err != nil {
			return fmt.Errorf("copy tenant store to %s: %w", folder, err)
		}
		defer func() { err = errors.Join(err, old.Close()) }()
	}
	f, err := renameio.NewPendingFile(target, renameio.WithPermissions(storeMode))
	if err != nil {
		return fmt.Errorf("copy tenant store: %w", err)
	}
	defer f.Cleanup() //nolint:errcheck // has nothing to remove once the file is in place
	if err := s.db.View(func(tx *bbolt.Tx) error { _, err := tx.WriteTo(f); return err }); err != nil {
		return fmt.Errorf("copy tenant store to %s: %w", folder, err)
	}
	if err := f.CloseAtomicallyReplace(); err != nil {
		return fmt.Errorf("copy tenant store to %s: %w", folder, err)
	}
	return nil
}

// copyKey writes the key into a folder without a store, and otherwise checks that the folder has the same key.
func (s *Store) copyKey(folder string) error {
	path := keyPath(folder)
	key, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist) && Exists(folder):
		return fmt.Errorf("copy tenant store to %s: %w", folder, ErrForeign)
	case errors.Is(err, fs.ErrNotExist):
		if err := renameio.WriteFile(path, s.key, keyMode); err != nil {
			return fmt.Errorf("copy tenant store: %w", err)
		}
	case err != nil:
		return fmt.Errorf("copy tenant store: %w", err)
	case !bytes.Equal(key, s.key):
		return fmt.Errorf("copy tenant store to %s: %w", folder, ErrForeign)
	}
	return nil
}

// sameFile reports whether two paths refer to the same file. The file at b need not exist.
func sameFile(a, b string) (bool, error) {
	infoA, err := os.Stat(a)
	if err != nil {
		return false, err
	}
	infoB, err := os.Stat(b)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	return err == nil && os.SameFile(infoA, infoB), err
}
