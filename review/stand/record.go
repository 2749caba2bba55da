// Package stand holds the stand-ins of the review's cases: the state service, the cloud, the workers, the
// users and the network between them, and the controllers' processes. They follow the users' protocol page
// and share no code with the project. All addresses are loopback addresses.
package stand

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, a line each, to a file.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, started: time.Now()}, err
}

// Printf adds a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the seconds from the start to a time.
func (r *Record) Since(t time.Time) float64 { return t.Sub(r.started).Seconds() }
