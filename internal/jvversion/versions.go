package jvversion

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
	"unique"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
)

// Source is how the origin of a stream is known.
type Source string

// Sources of origins.
const (
	// SourceNone means that the origin is not known.
	SourceNone Source = "unknown"
	// SourceOnly means that nobody was found who knows, and the pool's targets have had one version only.
	SourceOnly Source = "only"
	// SourceOwn means that this router began the stream, or was sent where it began.
	SourceOwn Source = "own"
	// SourcePeer means that another router answered.
	SourcePeer Source = "peer"
)

// Versions knows at which versions streams began. It is safe for concurrent use.
type Versions struct {
	options Options
	history *history
	// streams are the origins of streams by request, of this router's own and of those that others sent.
	streams *lru.Cache[streamKey, unique.Handle[Origin]]

	mu sync.Mutex
	// questions are the answers that are waited for, by number.
	questions  map[uint64]chan answer
	lastNumber uint64
	// publications are the origins that too few other routers have confirmed, by number.
	publications map[uint64]*publication
	// waitFrom is from when first events wait for receipts again, after one has waited in vain.
	waitFrom time.Time
	// packetReceiptAt is when a receipt last came for an origin that had arrived by a packet, postedReceiptAt for one by a
	// connection.
	packetReceiptAt time.Time
	postedReceiptAt time.Time
	// unconfirmed counts the origins that were given up, late those whose stream began before they were confirmed.
	unconfirmed atomic.Int64
	late        atomic.Int64
}

// streamKey is the digest of a request's ID, which takes the same memory for each ID.
type streamKey [16]byte

func keyOf(request string) streamKey {
	sum := sha256.Sum256([]byte(request))
	return streamKey(sum[:])
}

// updateInterval is the interval at which the topic is checked.
const updateInterval = 100 * time.Millisecond

// New returns Versions that know of none.
func New(o Options) *Versions {
	streams, err := lru.New[streamKey, unique.Handle[Origin]](o.MaxStreams)
	if err != nil {
		panic(err) // MaxStreams is not positive, which is a bug in the calling code.
	}
	if o.Post == nil {
		o.Post = o.Send
	}
	return &Versions{
		publications: map[uint64]*publication{},
		options:      o, history: newHistory(o), streams: streams, questions: map[uint64]chan answer{},
		// An answer to a question of this router's previous process matches none of this one's.
		lastNumber: uint64(o.Random() * (1 << 53)),
	}
}

// Run follows the topic until ctx ends.
func (v *Versions) Run(ctx context.Context) {
	updates := v.options.Timer.Every(updateInterval, v.history.update)
	defer updates.Close()
	resends := v.options.Timer.Every(publishInterval, v.resendOrigins)
	defer resends.Close()
	v.history.run(ctx)
}

// Observe records the versions of all targets, by pool; "" is a version that isn't known.
func (v *Versions) Observe(pools map[string][]string) { v.history.observe(pools) }

// shortRequest returns a request's ID, or its digest where a message has no room for it.
func shortRequest(request string) string {
	if len(request) <= maxNameBytes {
		return request
	}
	return fmt.Sprintf("sha256:%x", sha256.Sum256([]byte(request)))
}

// Receive handles a message of another router; reply sends one back to it.
func (v *Versions) Receive(data []byte, reply func([]byte)) error {
	m, err := decodeMessage(data)
	if err != nil {
		return err
	}
	for _, b := range m.Begun {
		v.streams.Add(keyOf(b.Request), unique.Make(b.Origin))
	}
	if len(m.Begun) > 0 && m.Number != 0 {
		reply(jvcodec.Encode(message{Receipt: &receipt{Number: m.Number, From: v.options.Self.Name}}))
	}
	if r := m.Receipt; r != nil {
		v.confirm(*r)
	}
	if q := m.Question; q != nil {
		reply(jvcodec.Encode(message{Answer: v.answer(*q)}))
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

// answer answers another router's question.
func (v *Versions) answer(q question) *answer {
	a := &answer{Number: q.Number, From: v.options.Self.Name}
	if o, ok := v.find(q.Request); ok {
		a.Known, a.Origin = true, o
	} else if version, single := v.history.only(q.Pools); single {
		a.Known, a.Inferred, a.Origin = true, true, Origin{Version: version}
	}
	return a
}

// find returns the origin of a request's stream if this router began it or was sent it.
func (v *Versions) find(request string) (Origin, bool) {
	if o, ok := v.streams.Get(keyOf(request)); ok && request != "" {
		return o.Value(), true
	}
	return Origin{}, false
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
	// Streams is the number of streams whose origin is known here.
	Streams int `json:"streams"`
	// Unconfirmed is the number of streams whose origin too few other routers have confirmed yet.
	Unconfirmed int `json:"unconfirmed"`
}

// Dump returns the versions of the window.
func (v *Versions) Dump() Dump {
	v.mu.Lock()
	unconfirmed := len(v.publications)
	v.mu.Unlock()
	return Dump{Versions: v.history.views(), Streams: v.streams.Len(), Unconfirmed: unconfirmed}
}
