package jvmemory

import (
	"io"

	"github.com/pkg/errors"
)

// FreeBytes is the capacity that each buffer has without the budget.
const FreeBytes = 2 << 10

// ErrFull is the error of a buffer that can't grow: it is at its limit, or the budget has too little left.
var ErrFull = errors.New("no memory left for the rest")

// Buffer is a byte buffer whose capacity beyond FreeBytes is taken from a budget. It is not safe for
// concurrent use.
type Buffer struct {
	budget *Budget
	// limit is the maximum length.
	limit int
	data  []byte
	// acquired is the part of the capacity that was taken from the budget.
	acquired int64
}

// NewBuffer returns an empty buffer of at most limit bytes; Free must be called when it is no longer
// used.
func (b *Budget) NewBuffer(limit int) *Buffer { return &Buffer{budget: b, limit: limit} }

// Bytes returns the content. It is valid until the next call of another method.
func (b *Buffer) Bytes() []byte { return b.data }

// Reset empties the buffer and keeps its capacity.
func (b *Buffer) Reset() { b.data = b.data[:0] }

// Free empties the buffer and returns its memory to the budget.
func (b *Buffer) Free() {
	b.budget.Release(b.acquired)
	b.acquired = 0
	b.data = nil
}

// Append adds bytes, or returns ErrFull.
func (b *Buffer) Append(p []byte) error {
	for cap(b.data)-len(b.data) < len(p) {
		if err := b.grow(); err != nil {
			return err
		}
	}
	b.data = append(b.data, p...)
	return nil
}

// ReadFrom adds what r returns up to its end. It returns ErrFull if the buffer is full before, with what
// was read so far in it.
func (b *Buffer) ReadFrom(r io.Reader) (int64, error) {
	read := int64(0)
	for {
		if len(b.data) == cap(b.data) {
			if err := b.grow(); err != nil {
				return read, err
			}
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		read += int64(n)
		if errors.Is(err, io.EOF) {
			return read, nil
		}
		if err != nil {
			return read, err
		}
	}
}

// grow doubles the capacity, up to the limit.
func (b *Buffer) grow() error {
	size := min(max(2*cap(b.data), FreeBytes), b.limit)
	if size <= cap(b.data) {
		return ErrFull
	}
	more := int64(size-FreeBytes) - b.acquired
	if more > 0 && !b.budget.Acquire(more) {
		return ErrFull
	}
	b.acquired += max(more, 0)
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	return nil
}
