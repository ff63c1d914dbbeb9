package jvrelay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvmemory"
)

const (
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 1 << 20
	// eventReadBytes is the size of the buffer from which lines are taken; longer ones are put together.
	eventReadBytes = 1 << 10
	// noID is the ID of an event whose place in its stream is not known.
	noID = -1
)

// event is one server-sent event with its bytes as received.
type event struct {
	// raw is valid until the next event is read.
	raw []byte
	// id is the event's numeric ID, or noID if it has none, several, or one that is not a number.
	id int64
	// idLines is the number of lines that set the ID.
	idLines int
	// hasContent is false if the event consists of comments only: they show that the server is
	// connected, not that it works on the request.
	hasContent bool
}

// eventReader splits a stream of server-sent events.
type eventReader struct {
	reader *bufio.Reader
	buffer *jvmemory.Buffer
}

func newEventReader(r io.Reader, b *jvmemory.Buffer) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventReadBytes), buffer: b}
}

func (r *eventReader) free() { r.buffer.Free() }

// next returns the next complete event. It returns io.EOF if the stream ended after a complete
// event and io.ErrUnexpectedEOF if it ended within one.
func (r *eventReader) next() (event, error) {
	e := event{id: noID}
	r.buffer.Reset()
	begun := false     // True once a line was not blank.
	continued := false // True within a line that is longer than the reader's buffer.
	for {
		line, err := r.reader.ReadSlice('\n')
		if full := r.buffer.Append(line); full != nil {
			return e, errors.Wrapf(full, "event of more than %d bytes", len(r.buffer.Bytes()))
		}
		isLineStart := !continued
		continued = errors.Is(err, bufio.ErrBufferFull)
		switch {
		case errors.Is(err, io.EOF) && len(r.buffer.Bytes()) > 0:
			return e, io.ErrUnexpectedEOF
		case err != nil && !continued:
			return e, err
		}
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case !isLineStart:
		case len(line) > 0 || continued:
			begun = true
			e.addLine(line, !continued)
		case begun:
			e.raw = r.buffer.Bytes()
			return e, nil
		}
	}
}

// addLine evaluates the beginning of one line of an event; whole is true if that is all of it.
func (e *event) addLine(line []byte, whole bool) {
	e.hasContent = e.hasContent || !bytes.HasPrefix(line, []byte(":"))
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) != "id" {
		return
	}
	e.idLines++
	n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
	e.id = int64(n)
	if err != nil || !whole || e.idLines > 1 {
		e.id = noID
	}
}
