package jvversion

import (
	"context"
	"slices"
	"sync"
	"time"
	"unique"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvmember"
)

// Source is how the origin of a stream is known.
type Source string

// Sources of origins.
const (
	// SourceNone means that the origin is not known.
	SourceNone Source = "unknown"
	// SourceOnly means that the pool's targets have had one version only.
	SourceOnly Source = "only"
	// SourceOwn means that this router began the stream, or another one has said where it began.
	SourceOwn Source = "own"
	// SourcePeer means that another router answered.
	SourcePeer Source = "peer"
)

// Versions knows at which versions streams began. It is safe for concurrent use.
type Versions struct {
	options Options
	history *history
	// streams are the origins of streams by request, of this router's own and of those that others sent.
	streams *lru.Cache[string, unique.Handle[Origin]]
	// wake tells Run that own streams are to be shared.
	wake chan struct{}

	mu sync.Mutex
	// unshared are this router's own streams that no other router knows.
	unshared []ownStream
	// questions are the answers that are waited for, by number.
	questions  map[uint64]chan answer
	lastNumber uint64
}

// ownStream is a stream that this router has begun.
type ownStream struct {
	begun

	at time.Time
}

const (
	// shareDelay collects streams that begin at the same time into one message.
	shareDelay = 3 * time.Millisecond
	// updateInterval is the interval at which the topic and the unshared streams are checked.
	updateInterval = 100 * time.Millisecond
)

// New returns Versions that know of none.
func New(o Options) *Versions {
	streams, err := lru.New[string, unique.Handle[Origin]](o.MaxStreams)
	if err != nil {
		panic(err) // MaxStreams is not positive, which is a bug in the calling code.
	}
	return &Versions{
		options: o, history: newHistory(o), streams: streams,
		wake: make(chan struct{}, 1), questions: map[uint64]chan answer{},
		// An answer to a question of this router's previous process matches none of this one's.
		lastNumber: uint64(o.Random() * (1 << 53)),
	}
}

// Run follows the topic and shares streams with other routers until ctx ends.
func (v *Versions) Run(ctx context.Context) {
	updates := v.options.Timer.Every(updateInterval, func() {
		v.history.update()
		v.expire()
		v.wakeSharing()
	})
	defer updates.Close()
	var running sync.WaitGroup
	running.Go(func() { v.history.run(ctx) })
	running.Go(func() { v.shareStreams(ctx) })
	running.Wait()
}

// Observe records the versions of all targets, by pool; "" is a version that isn't known.
func (v *Versions) Observe(pools map[string][]string) { v.history.observe(pools) }

// Begin records that the caller of a request got the first event of a stream from a target of a version.
func (v *Versions) Begin(request string, o Origin) {
	if request == "" || len(request) > maxNameBytes || o.Version == "" {
		return
	}
	v.streams.Add(request, unique.Make(o))
	v.mu.Lock()
	v.unshared = append(v.unshared, ownStream{begun: begun{Request: request, Origin: o}, at: v.options.Timer.Now()})
	v.mu.Unlock()
	if _, single := v.history.only([]string{o.Pool}); !single {
		v.wakeSharing()
	}
}

func (v *Versions) wakeSharing() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// expire forgets unshared streams that can't be resumed any more.
func (v *Versions) expire() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.options.Timer.Now()
	n := 0
	for n < len(v.unshared) && now.Sub(v.unshared[n].at) > v.options.StreamLifetime {
		n++
	}
	v.unshared = slices.Delete(v.unshared, 0, n)
}

// shareStreams sends this router's streams to others until ctx ends.
func (v *Versions) shareStreams(ctx context.Context) {
	for {
		select {
		case <-v.wake:
		case <-ctx.Done():
			return
		}
		select {
		case <-v.options.Timer.After(shareDelay):
		case <-ctx.Done():
			return
		}
		v.share()
	}
}

// share sends the unshared streams of pools with several versions to other routers. It includes streams that
// began when their pool had one version only.
func (v *Versions) share() {
	v.mu.Lock()
	singles := map[string]bool{}
	var sent []begun
	v.unshared = slices.DeleteFunc(v.unshared, func(s ownStream) bool {
		single, checked := singles[s.Pool]
		if !checked {
			_, single = v.history.only([]string{s.Pool})
			singles[s.Pool] = single
		}
		if !single {
			sent = append(sent, s.begun)
		}
		return !single
	})
	v.mu.Unlock()
	if len(sent) == 0 {
		return
	}
	others := v.options.Others()
	messages := map[string][]begun{} // By receiver.
	receivers := map[string]jvmember.Member{}
	for _, b := range sent {
		for _, m := range holders(b.Request, v.options.Self.Zone, others) {
			receivers[m.Name] = m
			messages[m.Name] = append(messages[m.Name], b)
		}
	}
	for name, list := range messages {
		for part := range slices.Chunk(list, maxBegun) {
			v.options.Send(receivers[name], jvcodec.Encode(message{Begun: part}))
		}
	}
}

// Receive handles a message of another router; reply sends one back to it.
func (v *Versions) Receive(data []byte, reply func([]byte)) error {
	m, err := decodeMessage(data)
	if err != nil {
		return err
	}
	for _, b := range m.Begun {
		v.streams.Add(b.Request, unique.Make(b.Origin))
	}
	if q := m.Question; q != nil {
		o, source := v.findHere(q.Pools, q.Request)
		reply(jvcodec.Encode(message{Answer: &answer{Number: q.Number, From: v.options.Self.Name, Known: source != SourceNone, Origin: o}}))
	}
	if a := m.Answer; a != nil {
		v.mu.Lock()
		defer v.mu.Unlock()
		if waiting := v.questions[a.Number]; waiting != nil {
			select {
			case waiting <- *a:
			default: // More answers than routers were asked.
			}
		}
	}
	return nil
}

// findHere returns the origin of a request's stream by what this router knows.
func (v *Versions) findHere(pools []string, request string) (Origin, Source) {
	if version, single := v.history.only(pools); single {
		return Origin{Version: version}, SourceOnly
	}
	if o, ok := v.streams.Get(request); ok && request != "" {
		return o.Value(), SourceOwn
	}
	return Origin{}, SourceNone
}

// View is one version as the operations port shows it.
type View struct {
	Pool    string `json:"pool"`
	Version string `json:"version"`
	// Present is true while a target has the version.
	Present bool `json:"present"`
}

// Dump is the state of Versions as the operations port shows it.
type Dump struct {
	Versions []View `json:"versions"`
	// Streams is the number of streams whose origin is known here, Unshared the number of own ones that no
	// other router knows.
	Streams  int `json:"streams"`
	Unshared int `json:"unshared"`
}

// Dump returns the versions of the window.
func (v *Versions) Dump() Dump {
	d := Dump{Versions: v.history.views(), Streams: v.streams.Len()}
	v.mu.Lock()
	defer v.mu.Unlock()
	d.Unshared = len(v.unshared)
	return d
}
