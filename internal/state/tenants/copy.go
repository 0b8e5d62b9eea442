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

// ErrForeign means that a folder has a store that is not a copy of this one.
var ErrForeign = errors.New("the store there is another one, with a key of its own")

// CopyTo copies the whole store into the folder of another process, atomically: tenants, tokens, responses and records. That process sees it
// as it sees any change. What it wrote there itself is lost: it only finishes removals, and it will finish them again. The error wraps
// ErrForeign if the folder has another store, and bolt.ErrLocked, bolt.ErrDamaged or bolt.ErrNewer if its copy can't be replaced.
func (s *Store) CopyTo(folder string) (err error) {
	target := storePath(folder)
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("copy of tenants: %w", err)
	}
	if err := s.copyKey(folder); err != nil {
		return err
	}
	if same, err := sameFile(s.db.Path(), target); err != nil || same {
		return errors.Join(fmt.Errorf("copy of tenants to %s: it is this store's own folder", folder), err)
	}
	if Exists(folder) { // the lock is held until the copy is in place, and a damaged store or one of a later version is not replaced
		old, err := Open(folder, s.maxTenants)
		if err != nil {
			return fmt.Errorf("copy of tenants to %s: %w", folder, err)
		}
		defer func() { err = errors.Join(err, old.Close()) }()
	}
	f, err := renameio.NewPendingFile(target, renameio.WithPermissions(storeMode))
	if err != nil {
		return fmt.Errorf("copy of tenants: %w", err)
	}
	defer f.Cleanup() //nolint:errcheck // nothing to remove once the file is in place
	if err := s.db.View(func(tx *bbolt.Tx) error { _, err := tx.WriteTo(f); return err }); err != nil {
		return fmt.Errorf("copy of tenants to %s: %w", folder, err)
	}
	if err := f.CloseAtomicallyReplace(); err != nil {
		return fmt.Errorf("copy of tenants to %s: %w", folder, err)
	}
	return nil
}

// copyKey writes the key into a folder without a store, and otherwise checks that the folder has the same key.
func (s *Store) copyKey(folder string) error {
	path := keyPath(folder)
	key, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist) && Exists(folder):
		return fmt.Errorf("copy of tenants to %s: %w", folder, ErrForeign)
	case errors.Is(err, fs.ErrNotExist):
		if err := renameio.WriteFile(path, s.key, keyMode); err != nil {
			return fmt.Errorf("copy of tenants: %w", err)
		}
	case err != nil:
		return fmt.Errorf("copy of tenants: %w", err)
	case !bytes.Equal(key, s.key):
		return fmt.Errorf("copy of tenants to %s: %w", folder, ErrForeign)
	}
	return nil
}

// sameFile reports whether two paths lead to one file. There may be no file at b.
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
