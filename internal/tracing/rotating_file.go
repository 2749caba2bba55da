package tracing

import (
	"errors"
	"fmt"
	"os"
	"sync"
)

// previousSuffix is the suffix of the file before the present one.
const previousSuffix = ".1"

// rotatingFile is a file that is replaced by an empty one when it has grown to half of the size
// allowed. The one before it is kept, so that both together keep to that size.
type rotatingFile struct {
	name    string
	maxSize int64 // in bytes, of each of the two files

	mutex sync.Mutex // guards the fields below
	file  *os.File
	size  int64
}

func openRotating(name string, maxBytes int64) (*rotatingFile, error) {
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

// Write is part of io.Writer. Data larger than a file may be is dropped.
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

// rotate keeps the present file as the one before, and opens an empty one.
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

// Close closes the file.
func (f *rotatingFile) Close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	_ = f.file.Close()
}
