package jvrelay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// event is one event of a stream with its bytes as they came.
type event struct {
	raw []byte
	// id is the event's number, or -1 where it bears none.
	id int64
}

// events splits a stream into events.
type events struct {
	reader *bufio.Reader
}

func newEvents(r io.Reader) *events { return &events{reader: bufio.NewReaderSize(r, 4<<10)} }

// next returns the next whole event. io.EOF means that the stream ended after one;
// io.ErrUnexpectedEOF that it ended in the middle of one.
func (e *events) next() (event, error) {
	v := event{id: -1}
	for {
		line, err := e.reader.ReadSlice('\n')
		v.raw = append(v.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(v.raw) < maxEvent:
			continue
		case errors.Is(err, io.EOF) && len(v.raw) > 0:
			return v, io.ErrUnexpectedEOF
		case err != nil:
			return v, err
		case len(v.raw) > maxEvent:
			return v, errors.Errorf("an event is larger than %d bytes", maxEvent)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 && len(bytes.TrimSpace(v.raw)) > 0 {
			return v, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				v.id = n
			}
		}
	}
}
