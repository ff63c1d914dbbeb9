package jvrelay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes limits one event of a stream.
const maxEventBytes = 1 << 20

// event is one server-sent event with its bytes as received.
type event struct {
	raw []byte
	// id is the event's numeric ID, or -1 if it has none.
	id int64
}

// eventReader splits a stream of server-sent events.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 4<<10)}
}

// next returns the next complete event. It returns io.EOF if the stream ended after a complete
// event and io.ErrUnexpectedEOF if it ended within one.
func (r *eventReader) next() (event, error) {
	e := event{id: -1}
	for {
		line, err := r.reader.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(e.raw) < maxEventBytes:
			continue
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return e, io.ErrUnexpectedEOF
		case err != nil:
			return e, err
		case len(e.raw) > maxEventBytes:
			return e, errors.Errorf("an event is larger than %d bytes", maxEventBytes)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 && len(bytes.TrimSpace(e.raw)) > 0 {
			return e, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				e.id = n
			}
		}
	}
}
