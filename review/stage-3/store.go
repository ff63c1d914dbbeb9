package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// record is one record of a keyed partition; an empty value drops the key.
type record struct {
	key   string
	value []byte
}

// producer is the state of a numbered producer of one partition.
type producer struct {
	epoch, next uint64
	// answers are the responses to its latest appends, by sequence number.
	answers map[uint64][2]uint64
}

// partition is one partition of a topic.
type partition struct {
	records   []record
	producers map[string]producer
}

// store is a stand-in for the platform's store with keyed topics.
type store struct {
	address string

	mu         sync.Mutex
	partitions map[string]*partition
	era        uint64
	// down makes all calls hang until their callers give up.
	down    bool
	changed chan struct{}
}

func newStore() *store {
	s := &store{partitions: map[string]*partition{}, era: 1, changed: make(chan struct{})}
	l := listen("127.0.0.1:0")
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

// notify wakes the reads that wait; s.mu must be held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// part returns a partition; s.mu must be held.
func (s *store) part(topic, number string) *partition {
	k := topic + "/" + number
	if s.partitions[k] == nil {
		s.partitions[k] = &partition{producers: map[string]producer{}}
	}
	return s.partitions[k]
}

// put writes a record as the operator or a server does, and reports whether the store accepted it.
func (s *store) put(topic, key string, value any) bool {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	p := s.part(topic, "0")
	p.records = append(p.records, record{key, data})
	s.notify()
	return true
}

// setDown makes the store silent, or lets it answer again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// copied is a copy of the store's partitions.
type copied map[string]*partition

// copy returns a copy of all that the store has.
func (s *store) copy() copied {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copied{}
	for k, p := range s.partitions {
		n := &partition{records: slices.Clone(p.records), producers: map[string]producer{}}
		for name, x := range p.producers {
			answers := map[uint64][2]uint64{}
			for q, a := range x.answers {
				answers[q] = a
			}
			n.producers[name] = producer{x.epoch, x.next, answers}
		}
		c[k] = n
	}
	return c
}

// setBack makes the store come back from a copy, in the next era.
func (s *store) setBack(c copied) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitions = c
	s.era++
	s.notify()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	down := s.down
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	if down {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/v1/log-append":
		s.append(w, r, body)
	case "/v1/log-read":
		s.read(w, r)
	case "/v1/log-newest":
		s.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func decodeRecords(body []byte) (list []record, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n < 1 || len(body) < n || n < 1+int(body[0]) {
			return nil, false
		}
		k := 1 + int(body[0])
		list = append(list, record{string(body[1:k]), slices.Clone(body[k:n])})
		body = body[n:]
	}
	return list, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	list, ok := decodeRecords(body)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	topic := q.Get("topic")
	switch {
	case !ok:
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	case topic == "keyed.op" || topic == "keyed.servers":
		answer(w, http.StatusForbidden, map[string]any{})
		return
	}
	p := s.part(topic, q.Get("part"))
	end := uint64(len(p.records))
	if at := q.Get("at"); at != "" && at != strconv.FormatUint(end, 10) {
		answer(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseUint(q.Get("sequence"), 10, 64)
		x, known := p.producers[name]
		if known && epoch < x.epoch {
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if !known || epoch > x.epoch {
			x = producer{epoch, sequence, map[uint64][2]uint64{}}
		}
		if len(list) > 0 {
			if a, repeated := x.answers[sequence]; repeated {
				answer(w, http.StatusOK, map[string]any{"offset": a[0], "end": a[1]})
				return
			}
			if sequence != x.next {
				answer(w, http.StatusConflict, map[string]any{"reason": "seq", "expected": x.next})
				return
			}
			x.answers[sequence] = [2]uint64{end, end + uint64(len(list))}
			delete(x.answers, sequence-5)
			x.next = sequence + 1
		}
		p.producers[name] = x
	}
	p.records = append(p.records, list...)
	s.notify()
	answer(w, http.StatusOK, map[string]any{"offset": end, "end": len(p.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := wait == 0; ; {
		s.mu.Lock()
		p, changed, down := s.part(q.Get("topic"), q.Get("part")), s.changed, s.down
		records, era := p.records, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		if down {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if from > uint64(len(records)) {
			answer(w, http.StatusGone, map[string]any{"first": 0})
			return
		}
		if from < uint64(len(records)) || over {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, e := range records[from:] {
				if len(body) > 1<<20 {
					break
				}
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(e.key)+len(e.value)))
				body = append(body, byte(len(e.key)))
				body = append(append(body, e.key...), e.value...)
			}
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	p := s.part(q.Get("topic"), q.Get("part"))
	last := map[string]int{}
	for n, e := range p.records {
		last[e.key] = n
	}
	var keys []string
	for k, n := range last {
		if len(p.records[n].value) > 0 && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items, size := []map[string]any{}, 0
	for _, k := range keys {
		e := p.records[last[k]]
		if len(items) == 500 || size > 1<<20 {
			break
		}
		size += len(e.value)
		items = append(items, map[string]any{"key": k, "value": e.value, "offset": last[k]})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(items) < len(keys), "end": len(p.records)})
}
