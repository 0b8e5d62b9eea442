package bolt

import (
	"os"
	"sync"
	"time"
)

// minFileAge is the age at which a file's modification time tells it from what may be written next: the file system's clock ticks in steps.
const minFileAge = time.Second

// verifiedFiles are the files that this process has verified. Stores are opened twice a second for a short look, so a file that has not changed
// since is not verified again.
var verifiedFiles fileSet

// fileSet remembers files as they were. It is safe for concurrent use.
type fileSet struct {
	mu    sync.Mutex
	files map[string]os.FileInfo // by path; guarded by mu
}

// contains reports whether a file is as it was when it was added. current is nil if there is no such file.
func (s *fileSet) contains(path string, current os.FileInfo) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.files[path]
	return previous != nil && current != nil && os.SameFile(previous, current) &&
		previous.Size() == current.Size() && previous.ModTime().Equal(current.ModTime())
}

// add replaces what is remembered of a file. One that was modified lately, or is nil, is not remembered.
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
