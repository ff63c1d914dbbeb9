package jvrelay

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvroute"
)

// soundAnswer continues a stream to its end.
func soundAnswer(d Dispatch) answer {
	after, _ := strconv.Atoi(d.LastEventID)
	return answer{status: http.StatusOK, header: http.Header{"Content-Type": {"text/event-stream"}}, body: soundRest(after)}
}

// complete reports whether the caller's response has begun and looks complete.
func (c *callerRecord) complete() bool { return len(c.statuses) > 0 && c.aborted == 0 }

// block is one event of a stream as the test reads it.
type block struct {
	text string
	// comment is true if the event has nothing but comments.
	comment bool
	// ids are the values of its ID lines; long is true if one of them is too long to be one.
	ids  []string
	long bool
}

// place returns the number of the event, or -1 if it has not exactly one.
func (b block) place() int {
	if len(b.ids) != 1 || b.long || strings.Trim(b.ids[0], "0123456789") != "" {
		return -1
	}
	n, err := strconv.Atoi(b.ids[0])
	if err != nil {
		return -1
	}
	return n
}

// splitBlocks splits a stream after the blank line of each event; rest is what follows the last one.
func splitBlocks(text string) (blocks []block, rest string) {
	b := block{comment: true}
	begun := false
	for line := range strings.Lines(text) {
		b.text += line
		field, ended := strings.CutSuffix(line, "\n")
		field = strings.TrimRight(field, "\r")
		switch name, value, _ := strings.Cut(field, ":"); {
		case !ended:
		case field == "" && begun:
			blocks = append(blocks, b)
			b, begun = block{comment: true}, false
		case field == "":
		default:
			begun = true
			b.comment = b.comment && strings.HasPrefix(field, ":")
			if name == "id" {
				b.ids = append(b.ids, strings.TrimSpace(value))
				b.long = b.long || len(line) > eventReadBytes
			}
		}
	}
	return blocks, b.text
}

// FuzzBegunStream guards against bytes of another response in a stream that has begun, and against an end that is not
// its own: a server breaks off after some events, the next one answers with anything, and a third one is sound
// (issue 27).
func FuzzBegunStream(f *testing.F) {
	const events = "text/event-stream"
	next := soundRest(2)
	for _, body := range []string{
		"", next, soundRest(0), soundRest(1), soundRest(3), "failed\n", "failed\n\n", "data: failed\n\n", ": wait\n\n", ": wait\n\n" + next, "\n\n" + next, next + "\n",
		"id\ndata: x\n\n" + next, "id: 4\nid: 3\ndata: x\n\n", "id: x3\ndata: x\n\n", "id:" + strings.Repeat("0", 2000) + "3\ndata: x\n\n",
		"id: 3" + strings.Repeat(" ", 2000) + "x\ndata: x\n\n", "id: 99999999999999999999\n\n", "id: -3\n\n", "id: +3\n\n", "id: 3\n\nid: 3\n\n", "id: 3\n\nid: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n",
		"id: 1\n\nid: 2\n\n", "id: 3\n\ndata: x\n\n", "id: 2\n\ndata: x\n\n", "id: 1\n\ndata: x\n\n", "id: 3\r\ndata: x\r\n\r\n", "id: 3\ndata: x\n\nid: 4\nda", "id: 1\n\n", "retry: 1\n\n" + next, "id: 1\n\n: x\n\n" + next, "\xef\xbb\xbf" + next,
	} {
		for _, begun := range []uint8{0, 2} {
			f.Add(begun, 200, events, "", false, false, false, body)
		}
		f.Add(uint8(2), 200, events, "", true, false, false, body)
		f.Add(uint8(2), 200, events, "", false, true, false, body)
	}
	for _, status := range []int{100, 200, 201, 204, 206, 302, 400, 404, 429, 500, 503} {
		for _, kind := range []string{"", events, "text/plain", "TEXT/EVENT-STREAM; charset=utf-8", "text/event-streams", ";"} {
			f.Add(uint8(2), status, kind, "", false, false, false, next)
			f.Add(uint8(0), status, kind, "", false, false, false, "failed\n\n")
		}
	}
	f.Add(uint8(2), 200, events, "gzip", false, false, false, next)
	f.Add(uint8(2), 200, events, "", false, false, true, next)
	f.Add(uint8(5), 200, events, "", false, false, false, "id: 6\ndata: x\n\nid: 7\ndata: x\n\n")
	f.Add(uint8(6), 200, events, "", false, false, false, "")
	f.Fuzz(func(t *testing.T, begun uint8, status int, contentType, encoding string, unframed, cut, unsigned bool, body string) {
		if begun > soundEvents || len(body) > 1<<14 {
			return
		}
		first := strings.Join(strings.SplitAfter(soundRest(0), "\n\n")[:begun], "")
		header := http.Header{}
		if contentType != "" {
			header.Set("Content-Type", contentType)
		}
		if encoding != "" {
			header.Set("Content-Encoding", encoding)
		}
		strange := answer{status: status, header: header, body: body, unframed: unframed, cut: cut, unsigned: unsigned}
		answers := []func(Dispatch) answer{fixed(answer{status: http.StatusOK, body: first, cut: true}), fixed(strange), soundAnswer}
		if begun == 0 {
			answers = []func(Dispatch) answer{fixed(strange), soundAnswer, soundAnswer}
		}
		caller, sender := serveAnswers(t, jvroute.KindStream, func(o *Options) { o.MaxSavedRetries = 10 }, answers...)
		checkBegun(t, begunCase{begun: int(begun), first: first, strange: strange}, caller, sender)
	})
}

// begunCase is one case of FuzzBegunStream.
type begunCase struct {
	// begun is the number of events that the caller has of the first server, first are their bytes.
	begun   int
	first   string
	strange answer
}

// isStream reports whether the strange answer is a stream.
func (c begunCase) isStream() bool {
	name, _, _ := strings.Cut(c.strange.header.Get("Content-Type"), ";")
	name = strings.ToLower(strings.TrimSpace(name))
	return !c.strange.unsigned && c.strange.status == http.StatusOK && c.strange.header.Get("Content-Encoding") == "" && (name == "" || name == "text/event-stream")
}

// checkBegun checks that the caller has the first events of one stream only, and its end only with all of them.
func checkBegun(t *testing.T, c begunCase, caller *callerRecord, sender *answerSender) {
	require.Less(t, len(caller.statuses), 2, "one head")
	require.Less(t, caller.aborted, 2)
	got := caller.body.String()
	if c.begun == 0 && !c.isStream() && !c.strange.unsigned && !c.strange.cut && c.strange.status < http.StatusInternalServerError && !promisesNotRun(c.strange.status) {
		require.Equal(t, []int{c.strange.status}, caller.statuses, "the server's own response")
		require.Equal(t, c.strange.body, got)
		require.Zero(t, caller.aborted)
		return
	}
	require.Equal(t, []int{http.StatusOK}, caller.statuses)
	got, ok := strings.CutPrefix(got, c.first)
	require.True(t, ok)
	strangeAttempt := min(c.begun, 1)
	require.Greater(t, len(sender.sent), strangeAttempt)
	wentOn, after := len(sender.sent) > strangeAttempt+1, c.begun
	if wentOn {
		after, _ = strconv.Atoi(sender.sent[strangeAttempt+1].LastEventID)
		got, ok = strings.CutSuffix(got, soundRest(after))
		require.True(t, ok, "the sound server's events")
	}
	forwarded, placed := c.checkForwarded(t, got)
	last := c.begun
	if len(forwarded) > 0 {
		last = max(last, forwarded[len(forwarded)-1].place())
	}
	switch {
	case wentOn:
		require.True(t, placed, "nothing follows an event whose place is not known")
		require.Equal(t, last, after)
		require.Equal(t, after < soundEvents || c.endsWithConnection(forwarded), caller.complete(), "events up to %d, then a sound server", after)
	case caller.complete():
		c.checkComplete(t, got, forwarded)
	default:
		require.False(t, placed, "no attempt at the sound server")
	}
}

// endsWithConnection reports whether the strange answer is a stream that ends with its connection after the last event
// that was forwarded: another server's stream without events then shows that this is the end.
func (c begunCase) endsWithConnection(forwarded []block) bool {
	blocks, rest := splitBlocks(c.strange.body)
	last := -1
	for _, b := range blocks {
		switch {
		case b.comment:
		case last >= 0 && b.place() != last+1:
			return false
		default:
			last = b.place()
		}
	}
	return c.begun > 0 && c.strange.unframed && !c.strange.cut && rest == "" && len(forwarded) > 0 && forwarded[len(forwarded)-1].place() == last
}

// checkForwarded checks that what the caller has of the strange answer are events of it in order, which follow those
// before. It returns those with content, and whether the place of all of them is known.
func (c begunCase) checkForwarded(t *testing.T, got string) (forwarded []block, placed bool) {
	blocks, rest := splitBlocks(got)
	require.Empty(t, rest, "a part of an event")
	if !c.isStream() {
		require.Empty(t, got, "not a stream")
	}
	all, _ := splitBlocks(c.strange.body)
	placed = true
	joined := c.begun == 0
	last := c.begun
	for _, b := range blocks {
		for len(all) > 0 && all[0].text != b.text {
			require.True(t, all[0].comment || all[0].place() >= 0 && all[0].place() <= c.begun, "left out: %q", all[0].text)
			joined = joined || all[0].place() == c.begun
			all = all[1:]
		}
		require.NotEmpty(t, all, "not of this server: %q", b.text)
		all = all[1:]
		switch {
		case b.comment:
			require.True(t, joined)
			continue
		case b.place() < 0:
			require.True(t, joined, "the place of %q is not known", b.text)
			placed = false
		default:
			require.True(t, b.place() == last+1 || c.begun == 0 && len(forwarded) == 0 || !placed && c.begun == 0, "%q after %d", b.text, last)
			last = b.place()
		}
		joined = true
		forwarded = append(forwarded, b)
	}
	return forwarded, placed
}

// checkComplete checks that the end of the strange answer is that of the stream.
func (c begunCase) checkComplete(t *testing.T, got string, forwarded []block) {
	blocks, rest := splitBlocks(c.strange.body)
	require.Empty(t, rest, "the last event is not whole")
	require.True(t, c.isStream() && !c.strange.cut)
	if c.begun == 0 {
		require.Equal(t, c.strange.body, got)
		require.True(t, len(forwarded) > 0 || !c.strange.unframed)
		return
	}
	highest := -1
	for _, b := range blocks {
		highest = max(highest, b.place())
	}
	require.GreaterOrEqual(t, highest, c.begun)
	require.True(t, len(forwarded) > 0 || !c.strange.unframed)
	if n := len(blocks) - 1; !blocks[n].comment && blocks[n].place() != c.begun {
		require.Equal(t, blocks[n], forwarded[len(forwarded)-1], "the last event")
	}
}
