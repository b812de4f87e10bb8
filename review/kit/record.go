// Package kit holds what the scripts of the review share: stand-ins for the platform's
// store, for backend servers and for clients, and the start and stop of agents. It uses
// the standard library only.
package kit

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record writes the lines of record.txt. It is safe for concurrent use.
type Record struct {
	begun time.Time

	mu   sync.Mutex
	file *os.File
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{begun: time.Now(), file: file}, nil
}

// Line writes one line with the time since the start of the script.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
