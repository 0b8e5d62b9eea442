package tenants

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
	"go.etcd.io/bbolt"
)

// ErrForeign is returned for a folder whose store is not a copy of this one.
var ErrForeign = errors.New("the store there is another one, with a key of its own")

// CopyTo puts the whole store into the folder of another process, whole or not at all: tenants, tokens, answers to requests and the
// record. That process looks at it as at any change. What it wrote there itself is the end of removals, which it comes to again.
func (s *Store) CopyTo(folder string) (err error) {
	to, key := storePath(folder), filepath.Join(folder, "tenants.key")
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return fmt.Errorf("copy of tenants: %w", err)
	}
	switch there, err := os.ReadFile(key); {
	case err == nil && !bytes.Equal(there, s.key):
		return fmt.Errorf("copy of tenants to %s: %w", folder, ErrForeign)
	case errors.Is(err, fs.ErrNotExist):
		if Exists(folder) {
			return fmt.Errorf("copy of tenants to %s: %w", folder, ErrForeign)
		}
		if err := renameio.WriteFile(key, s.key, 0o600); err != nil {
			return fmt.Errorf("copy of tenants: %w", err)
		}
	case err != nil:
		return fmt.Errorf("copy of tenants: %w", err)
	}
	if same, err := sameFile(s.db.Path(), to); err != nil || same {
		return errors.Join(fmt.Errorf("copy of tenants to %s: it is this store's own folder", folder), err)
	}
	if Exists(folder) { // nobody writes there meanwhile, and a store of a later version or a damaged one is not written over
		old, err := Open(folder, s.maxTenants)
		if err != nil {
			return fmt.Errorf("copy of tenants to %s: %w", folder, err)
		}
		defer func() { err = errors.Join(err, old.Close()) }()
	}
	f, err := renameio.NewPendingFile(to, renameio.WithPermissions(0o640))
	if err != nil {
		return fmt.Errorf("copy of tenants: %w", err)
	}
	defer f.Cleanup() // nothing, once it is in its place
	if err := s.db.View(func(tx *bbolt.Tx) error { _, err := tx.WriteTo(f); return err }); err != nil {
		return fmt.Errorf("copy of tenants to %s: %w", folder, err)
	}
	if err := f.CloseAtomicallyReplace(); err != nil {
		return fmt.Errorf("copy of tenants to %s: %w", folder, err)
	}
	return nil
}

func sameFile(a, b string) (bool, error) {
	x, err := os.Stat(a)
	if err != nil {
		return false, err
	}
	y, err := os.Stat(b)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	return err == nil && os.SameFile(x, y), err
}
