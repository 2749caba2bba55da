package tracing

import (
	"errors"
	"fmt"
	"os"
	"sync"
)

// previousSuffix is appended to the name of a rotated file.
const previousSuffix = ".1"

// rotatingFile is a log file of bounded size. A file that reaches half of the bound is rotated, and
// replaces the file rotated before it.
type rotatingFile struct {
	name    string
	maxSize int64 // bytes, of each of the two files

	mutex sync.Mutex // guards the fields below
	file  *os.File
	size  int64
}

func openRotatingFile(name string, maxBytes int64) (*rotatingFile, error) {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("trace.file: %w", err)
	}
	info, err := file.Stat()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("trace.file: %w", err), file.Close())
	}
	return &rotatingFile{name: name, maxSize: max(1, maxBytes/2), file: file, size: info.Size()}, nil
}

// Write implements io.Writer. It drops data that exceeds the size of a file.
func (f *rotatingFile) Write(data []byte) (int, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if int64(len(data)) > f.maxSize {
		return len(data), nil
	}
	if f.size+int64(len(data)) > f.maxSize {
		if err := f.rotate(); err != nil {
			return 0, err
		}
	}
	written, err := f.file.Write(data)
	f.size += int64(written)
	return written, err
}

// rotate renames the current file to its predecessor's name and opens an empty file.
func (f *rotatingFile) rotate() error {
	if err := f.file.Close(); err != nil {
		return err
	}
	if err := os.Rename(f.name, f.name+previousSuffix); err != nil {
		return err
	}
	file, err := os.OpenFile(f.name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	f.file, f.size = file, 0
	return nil
}

// Close closes the current file. Later writes fail.
func (f *rotatingFile) Close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	_ = f.file.Close()
}
