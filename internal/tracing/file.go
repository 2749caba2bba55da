package tracing

import (
	"errors"
	"fmt"
	"os"
	"sync"
)

// previousSuffix is that of the file before the present one.
const previousSuffix = ".1"

// rotatingFile is a file that is begun anew when it has taken half of what is allowed; the
// one before it is kept.
type rotatingFile struct {
	mutex sync.Mutex
	name string
	maxSize int64
	file *os.File
	size int64
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

// Write is part of io.Writer. A span that alone is larger than the file may be is dropped.
func (b *rotatingFile) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if int64(len(p)) > b.maxSize {
		return len(p), nil
	}
	if b.size+int64(len(p)) > b.maxSize {
		if err := b.rotate(); err != nil {
			return 0, err
		}
	}
	n, err := b.file.Write(p)
	b.size += int64(n)
	return n, err
}

// rotate keeps the present file as the earlier one and begins another.
func (b *rotatingFile) rotate() error {
	if err := b.file.Close(); err != nil {
		return err
	}
	if err := os.Rename(b.name, b.name+previousSuffix); err != nil {
		return err
	}
	file, err := os.OpenFile(b.name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	b.file, b.size = file, 0
	return nil
}

// Close closes the file.
func (b *rotatingFile) Close() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	_ = b.file.Close()
}
