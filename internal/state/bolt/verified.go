package bolt

import (
	"os"
	"sync"
	"time"
)

// minFileAge is the age from which a file is remembered as verified. The file system's clock advances in steps, so a write soon after the last
// one may leave the modification time unchanged.
const minFileAge = time.Second

// verifiedFiles has the files that this process has verified. A scheduler opens its stores twice a second to look for changes, so a file that
// has not changed since its verification is not verified again.
var verifiedFiles fileSet

// fileSet remembers the metadata of files. It is safe for concurrent use.
type fileSet struct {
	mu    sync.Mutex
	files map[string]os.FileInfo // by path; guarded by mu
}

// contains reports whether a file has the same identity, size and modification time as when it was added. current is nil if the file does not
// exist.
func (s *fileSet) contains(path string, current os.FileInfo) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.files[path]
	return previous != nil && current != nil && os.SameFile(previous, current) &&
		previous.Size() == current.Size() && previous.ModTime().Equal(current.ModTime())
}

// add replaces the metadata of a file. A file that is younger than minFileAge, or whose info is nil, is not remembered.
func (s *fileSet) add(path string, info os.FileInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.files == nil {
		s.files = map[string]os.FileInfo{}
	}
	if delete(s.files, path); info != nil && time.Since(info.ModTime()) > minFileAge {
		s.files[path] = info
	}
}
