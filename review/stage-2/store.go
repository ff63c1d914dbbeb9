package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store with keyed topics, as PROTOCOL.md and the drill of the news pages describe
// it. Each router has an address of its own to it, so that single machines can be cut off.
type store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	changed    chan struct{}
	era        int
	away       bool
	// cut are the names of machines that are cut off.
	cut map[string]bool
}

// partition is one partition of a topic.
type partition struct {
	records   []entry
	producers map[string]producer
}

// entry is one record; without a value the key is dropped.
type entry struct {
	key   string
	value []byte
}

// producer is what a partition keeps of a writer that numbers its appends. An epoch may start at any number.
type producer struct {
	epoch   uint64
	next    uint64
	started bool
}

// storeCopy is an earlier state of a store.
type storeCopy map[string]partition

func newStore() *store {
	return &store{partitions: map[string]*partition{}, changed: make(chan struct{}), era: 1, cut: map[string]bool{}}
}

// address returns the store's host:port for a machine.
func (s *store) address(machine string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	mux := http.NewServeMux()
	for path, handle := range map[string]func(http.ResponseWriter, *http.Request){
		"POST /v1/log-append": s.append, "GET /v1/log-read": s.read, "GET /v1/log-newest": s.newest,
	} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			if s.isCut(machine) {
				panic(http.ErrAbortHandler)
			}
			s.mu.Lock()
			away := s.away
			s.mu.Unlock()
			if away {
				s.reply(w, http.StatusServiceUnavailable, map[string]any{})
				return
			}
			handle(&cutWriter{ResponseWriter: w, cut: func() bool { return s.isCut(machine) }}, r)
		})
	}
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String()
}

// cutWriter ends the connection instead of an answer if the machine has been cut off meanwhile.
type cutWriter struct {
	http.ResponseWriter
	cut func() bool
}

func (w *cutWriter) WriteHeader(status int) {
	if w.cut() {
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(status)
}

func (s *store) isCut(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[machine]
}

// setCut cuts a machine off from the store, or ends that.
func (s *store) setCut(machine string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[machine] = cut
	s.wake()
}

// wake ends the reads that wait; s.mu must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// partition returns a partition; s.mu must be held.
func (s *store) partition(name string) *partition {
	p := s.partitions[name]
	if p == nil {
		p = &partition{producers: map[string]producer{}}
		s.partitions[name] = p
	}
	return p
}

func partitionName(r *http.Request) string {
	return r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part")
}

// put writes a record as the operator or a server does, unless the store is away.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return
	}
	p := s.partition(topic + "/0")
	p.records = append(p.records, entry{key: key, value: value})
	s.wake()
}

// copy returns a copy of the store.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{}
	for name, p := range s.partitions {
		c[name] = partition{records: slices.Clone(p.records), producers: maps.Clone(p.producers)}
	}
	return c
}

// leave makes the store go away: each call is answered 503.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// comeBack makes the store come back, from a copy unless that is nil.
func (s *store) comeBack(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	if c != nil {
		s.partitions = map[string]*partition{}
		for name, p := range c {
			s.partitions[name] = &partition{records: slices.Clone(p.records), producers: maps.Clone(p.producers)}
		}
		s.era++
	}
	s.wake()
}

func (s *store) reply(w http.ResponseWriter, status int, v any) {
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // An error means that the caller has left.
}

// append is POST /v1/log-append.
func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var list []entry
	for len(body) > 0 {
		size := int(binary.BigEndian.Uint32(body))
		data := body[4 : 4+size]
		body = body[4+size:]
		list = append(list, entry{key: string(data[1 : 1+data[0]]), value: data[1+data[0]:]})
	}
	status, answer := s.appendAll(r, list)
	s.reply(w, status, answer)
}

func (s *store) appendAll(r *http.Request, list []entry) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(partitionName(r))
	query, end := r.URL.Query(), uint64(len(p.records))
	if at := query.Get("at"); at != "" && at != strconv.FormatUint(end, 10) {
		return http.StatusPreconditionFailed, map[string]any{"end": end}
	}
	if name := query.Get("producer"); name != "" {
		epoch, _ := strconv.ParseUint(query.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseUint(query.Get("sequence"), 10, 64)
		last := p.producers[name]
		switch {
		case epoch < last.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case epoch > last.epoch:
			last = producer{epoch: epoch}
		case len(list) > 0 && last.started && sequence != last.next:
			return http.StatusConflict, map[string]any{"reason": "seq", "expected": last.next}
		}
		if len(list) > 0 {
			last.next, last.started = sequence+1, true
		}
		p.producers[name] = last
	}
	p.records = append(p.records, list...)
	s.wake()
	return http.StatusOK, map[string]any{"offset": end, "end": uint64(len(p.records))}
}

// read is GET /v1/log-read.
func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p, changed, away := s.partition(partitionName(r)), s.changed, s.away
		records := p.records
		era := s.era
		s.mu.Unlock()
		end := uint64(len(records))
		switch {
		case away:
			s.reply(w, http.StatusServiceUnavailable, map[string]any{})
			return
		case from > end:
			s.reply(w, http.StatusGone, map[string]any{"first": 0})
			return
		case from < end || wait == 0:
			page := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, end), 0)
			for _, e := range records[from:] {
				page = binary.BigEndian.AppendUint32(page, uint32(1+len(e.key)+len(e.value)))
				page = append(append(append(page, byte(len(e.key))), e.key...), e.value...)
			}
			w.Header().Set("Store-Era", strconv.Itoa(era))
			w.WriteHeader(http.StatusOK)
			_, _ = w.Write(page) // An error means that the caller has left.
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// newest is GET /v1/log-newest.
func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	const most = 500
	s.mu.Lock()
	records := s.partition(partitionName(r)).records
	s.mu.Unlock()
	last := map[string]int{}
	for n, e := range records {
		last[e.key] = n
	}
	items := []map[string]any{}
	more := false
	for _, key := range slices.Sorted(maps.Keys(last)) {
		if e := records[last[key]]; key > r.URL.Query().Get("after") && len(e.value) > 0 {
			if more = len(items) == most; more {
				break
			}
			items = append(items, map[string]any{"key": key, "value": e.value, "offset": last[key]})
		}
	}
	s.reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": len(records)})
}

// holding returns the difference of the two numbers in the newest record of a key, an array in CBOR, or 0.
func (s *store) holding(topic, part, key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range slices.Backward(s.partition(topic + "/" + part).records) {
		if e.key != key {
			continue
		}
		granted, rest := decodeUint(e.value[1:])
		returned, _ := decodeUint(rest)
		return int64(granted) - int64(returned)
	}
	return 0
}

// decodeUint decodes a number in CBOR.
func decodeUint(data []byte) (uint64, []byte) {
	const immediate = 24
	if data[0] < immediate {
		return uint64(data[0]), data[1:]
	}
	n := 1 << (data[0] - immediate)
	value := uint64(0)
	for _, b := range data[1 : 1+n] {
		value = value<<8 | uint64(b)
	}
	return value, data[1+n:]
}
