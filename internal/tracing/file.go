package tracing

import (
	"errors"
	"fmt"
	"os"
	"sync"
)

// earlierSuffix is that of the file before the present one.
const earlierSuffix = ".1"

// boundedFile is a file that is begun anew when it has taken half of what is allowed; the
// one before it is kept.
type boundedFile struct {
	lock sync.Mutex
	name string
	half int64
	file *os.File
	size int64
}

func openBounded(name string, most int64) (*boundedFile, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("trace.file: %w", err)
	}
	info, err := f.Stat()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("trace.file: %w", err), f.Close())
	}
	return &boundedFile{name: name, half: max(1, most/2), file: f, size: info.Size()}, nil
}

// Write is part of io.Writer. A span that alone is larger than the file may be is dropped.
func (b *boundedFile) Write(p []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if int64(len(p)) > b.half {
		return len(p), nil
	}
	if b.size+int64(len(p)) > b.half {
		if err := b.turn(); err != nil {
			return 0, err
		}
	}
	n, err := b.file.Write(p)
	b.size += int64(n)
	return n, err
}

// turn keeps the present file as the earlier one and begins another.
func (b *boundedFile) turn() error {
	if err := b.file.Close(); err != nil {
		return err
	}
	if err := os.Rename(b.name, b.name+earlierSuffix); err != nil {
		return err
	}
	f, err := os.OpenFile(b.name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	b.file, b.size = f, 0
	return nil
}

// Close closes the file.
func (b *boundedFile) Close() {
	b.lock.Lock()
	defer b.lock.Unlock()
	_ = b.file.Close()
}
