package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"
)

// record is one record of a partition; an empty value drops the key.
type record struct {
	key   string
	value []byte
}

// partition is one partition of a keyed topic.
type partition struct {
	records   []record
	producers map[string]producerState
}

// producerState is what the store keeps of one producer of a partition.
type producerState struct {
	epoch uint64
	// next is the sequence number of the next append; appended is true once there was one in this epoch.
	next     uint64
	appended bool
	answers  map[uint64][2]uint64
}

// copyOfStore is the state of the store at a moment.
type copyOfStore struct {
	at    time.Time
	ends  map[string]int
	state map[string]map[string]producerState
}

// store is a stand-in for the platform's store, as PROTOCOL.md describes it, with the drill of the news page:
// it may be away for a moment and come back from a copy some seconds old.
type store struct {
	listener net.Listener
	server   *http.Server

	mu         sync.Mutex
	partitions map[string]*partition
	changed    chan struct{}
	era        int
	away       bool
	// lateShare of the appends get no answer and are done 1 to 6 s later.
	lateShare float64

	// doneLate is called for each append that is done late; it may be nil.
	doneLate func(topic string, list []record, delay time.Duration)
}

// loseAnswers makes a share of the appends late and without an answer.
func (s *store) loseAnswers(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateShare = share
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, partitions: map[string]*partition{}, changed: make(chan struct{}), era: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.handleAppend)
	mux.HandleFunc("GET /v1/log-read", s.handleRead)
	mux.HandleFunc("GET /v1/log-newest", s.handleNewest)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler) // The connection is reset or closed without an answer.
		}
		w.Header().Set("Store-Era", strconv.Itoa(era))
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func partitionName(topic, part string) string { return topic + "/" + part }

// find returns a partition; s.mu must be held.
func (s *store) find(topic, part string) *partition {
	name := partitionName(topic, part)
	p := s.partitions[name]
	if p == nil {
		p = &partition{producers: map[string]producerState{}}
		s.partitions[name] = p
	}
	return p
}

// wake ends the reads that wait; s.mu must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put appends a record as the operator or a server does. It reports false while the store is away.
func (s *store) put(topic, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	p := s.find(topic, "0")
	p.records = append(p.records, record{key: key, value: value})
	s.wake()
	return true
}

// end returns where a partition ends.
func (s *store) end(topic, part string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.find(topic, part).records)
}

// copy takes a copy of the store.
func (s *store) copy() copyOfStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copyOfStore{at: time.Now(), ends: map[string]int{}, state: map[string]map[string]producerState{}}
	for name, p := range s.partitions {
		c.ends[name] = len(p.records)
		m := map[string]producerState{}
		for k, v := range p.producers {
			answers := map[uint64][2]uint64{}
			for n, a := range v.answers {
				answers[n] = a
			}
			v.answers = answers
			m[k] = v
		}
		c.state[name] = m
	}
	return c
}

// leave makes the store go away: nothing is answered and nothing is done.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// comeBack ends the time away; with a copy, all that came later is gone.
func (s *store) comeBack(c *copyOfStore) (lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c != nil {
		for name, p := range s.partitions {
			lost += len(p.records) - c.ends[name]
			p.records = append([]record(nil), p.records[:c.ends[name]]...)
			p.producers = c.state[name]
			if p.producers == nil {
				p.producers = map[string]producerState{}
			}
		}
		s.era++
	}
	s.away = false
	s.wake()
	return lost
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func decodeRecords(body []byte) (list []record, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if size < 1 || len(body) < size || size < 1+int(body[0]) {
			return nil, false
		}
		end := 1 + int(body[0])
		list = append(list, record{key: string(body[1:end]), value: append([]byte(nil), body[end:size]...)})
		body = body[size:]
	}
	return list, true
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	const appendTime = 2 * time.Millisecond
	body, err := io.ReadAll(r.Body)
	list, ok := decodeRecords(body)
	if err != nil || !ok {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	query := r.URL.Query()
	topic := query.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		writeJSON(w, http.StatusForbidden, map[string]any{})
		return
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	if rand.Float64() < s.lateShare {

		s.mu.Unlock()
		delay := time.Second + time.Duration(rand.Int64N(int64(5*time.Second)))
		time.AfterFunc(delay, func() { s.doLate(query, list, delay) })
		<-r.Context().Done() // No answer; the caller gives up.
		panic(http.ErrAbortHandler)
	}
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	p := s.find(topic, query.Get("part"))
	end := uint64(len(p.records))
	if at := query.Get("at"); at != "" && at != strconv.FormatUint(end, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	if name := query.Get("producer"); name != "" && !p.takeNumber(w, name, query, len(list)) {
		return
	}
	p.records = append(p.records, list...)
	s.wake()
	writeJSON(w, http.StatusOK, map[string]any{"offset": end, "end": uint64(len(p.records))})
}

// discarded is the answer to an append that gets none.
type discarded struct{ header http.Header }

func (d discarded) Header() http.Header          { return d.header }
func (discarded) Write(data []byte) (int, error) { return len(data), nil }
func (discarded) WriteHeader(int)                {}

// doLate does an append later, if its condition still holds.
func (s *store) doLate(query url.Values, list []record, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.find(query.Get("topic"), query.Get("part"))
	end := uint64(len(p.records))
	if at := query.Get("at"); at != "" && at != strconv.FormatUint(end, 10) {
		return
	}
	if name := query.Get("producer"); name != "" && !p.takeNumber(discarded{http.Header{}}, name, query, len(list)) {
		return
	}
	p.records = append(p.records, list...)
	if s.doneLate != nil {
		s.doneLate(query.Get("topic"), list, delay)
	}
	s.wake()
}

// takeNumber checks the number of an append, and answers the ones that are not done; the store's lock must be held.
func (p *partition) takeNumber(w http.ResponseWriter, name string, query url.Values, count int) bool {
	epoch, _ := strconv.ParseUint(query.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseUint(query.Get("sequence"), 10, 64)
	last, known := p.producers[name]
	switch {
	case known && epoch < last.epoch:
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return false
	case !known || epoch > last.epoch:
		last = producerState{epoch: epoch, answers: map[uint64][2]uint64{}}
	}
	if count == 0 {
		p.producers[name] = last
		return true
	}
	if last.appended {
		if a, repeated := last.answers[sequence]; repeated {
			writeJSON(w, http.StatusOK, map[string]any{"offset": a[0], "end": a[1]})
			return false
		}
		if sequence != last.next {
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "expected": last.next})
			return false
		}
	}
	end := uint64(len(p.records))
	last.appended = true
	last.next = sequence + 1
	last.answers[sequence] = [2]uint64{end, end + uint64(count)}
	const keptAnswers = 5
	delete(last.answers, sequence-keptAnswers)
	p.producers[name] = last
	return true
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p, changed, away := s.find(query.Get("topic"), query.Get("part")), s.changed, s.away
		end := uint64(len(p.records))
		switch {
		case away:
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		case from > end: // "a read from one that it doesn't have gets 410"
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]any{"first": 0})
			return
		case from < end || wait == 0:
			body := binary.BigEndian.AppendUint64(nil, end)
			body = binary.BigEndian.AppendUint64(body, 0)
			const maxBytes = 1 << 20
			for _, e := range p.records[from:] {
				if len(body) > maxBytes {
					break
				}
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(e.key)+len(e.value)))
				body = append(body, byte(len(e.key)))
				body = append(body, e.key...)
				body = append(body, e.value...)
			}
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	const pageItems = 500
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.find(query.Get("topic"), query.Get("part"))
	last := map[string]int{}
	for n, e := range p.records {
		last[e.key] = n
	}
	var keys []string
	for k, n := range last {
		if len(p.records[n].value) > 0 && (query.Get("after") == "" || k > query.Get("after")) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, k := range keys[:min(len(keys), pageItems)] {
		items = append(items, map[string]any{"key": k, "value": p.records[last[k]].value, "offset": last[k]})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(keys) > pageItems, "end": len(p.records)})
}
