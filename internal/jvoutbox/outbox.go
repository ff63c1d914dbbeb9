package jvoutbox

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Path is the path of deliveries at a router's port for other routers.
const Path = "/messages"

const (
	// maxQueued limits the messages that wait for one router, maxMessageBytes the size of each and maxDeliveryBytes that of all
	// in one delivery.
	maxQueued        = 1024
	maxMessageBytes  = 8 << 10
	maxDeliveryBytes = 64 << 10
	// deliverTimeout bounds one delivery, receiveTimeout the time in which one has to arrive.
	deliverTimeout = 2 * time.Second
	receiveTimeout = 2 * time.Second
	// failurePause is the time after a failed delivery until the next one to the same router.
	failurePause = 100 * time.Millisecond
)

// Sealer authenticates deliveries by the fleet's secret.
type Sealer interface {
	// Seal returns a payload with its authentication, and false if this router does not know the secret yet.
	Seal(payload []byte) ([]byte, bool)
	// Open returns the payload of a sealed message.
	Open(sealed []byte) ([]byte, error)
}

// Options configure an Outbox.
type Options struct {
	// Self is this router's name.
	Self string
	// Others returns the other routers of the fleet.
	Others func() []jvmember.Member
	Sealer Sealer
	// Transport sends deliveries.
	Transport http.RoundTripper
	// ReadAll reads the body of a delivery from an address. release is called once the body is not used any more.
	ReadAll func(address string, body io.Reader) (data []byte, release func(), err error)
	// Receive handles a message of another router; reply sends one back. Messages may arrive more than once, and in any order.
	Receive func(message []byte, reply func(message []byte)) error
	Timer   *jvtimer.Service
	Logger  logr.Logger
}

// Outbox delivers messages to other routers and receives theirs. It is safe for concurrent use.
type Outbox struct {
	options Options

	mu     sync.Mutex
	queues map[string]*queue // By name of the router; only those that are not empty.
	// failing are the routers whose last delivery failed.
	failing map[string]bool

	delivered atomic.Int64
	failed    atomic.Int64
	dropped   atomic.Int64
	invalid   atomic.Int64
}

// queue are the messages that wait for one router.
type queue struct {
	to       jvmember.Member
	messages [][]byte
	// queued has the messages that wait: those that are sent again meanwhile are not queued twice.
	queued map[string]bool
}

// delivery is the payload of one request.
type delivery struct {
	From     string   `cbor:"from"`
	To       string   `cbor:"to"`
	Messages [][]byte `cbor:"messages"`
}

// deliveryPrefix begins the payload of a delivery, so that no sealed packet passes for one.
const deliveryPrefix = "delivery\x00"

// New returns an Outbox without messages.
func New(o Options) *Outbox {
	return &Outbox{options: o, queues: map[string]*queue{}, failing: map[string]bool{}}
}

// Post queues a message for another router and returns at once. A message that is not confirmed in time is dropped: the
// sender repeats what has no answer. Routers of earlier builds get nothing.
func (o *Outbox) Post(to jvmember.Member, message []byte) {
	if !to.Deliveries {
		return
	}
	if len(message) > maxMessageBytes {
		o.dropped.Add(1)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queues[to.Name]
	if q == nil {
		q = &queue{to: to, queued: map[string]bool{}}
		o.queues[to.Name] = q
		go o.deliver(q)
	}
	switch {
	case q.queued[string(message)]:
	case len(q.messages) >= maxQueued:
		o.dropped.Add(1)
	default:
		q.messages = append(q.messages, message)
		q.queued[string(message)] = true
	}
}

// deliver sends the messages of a queue until it is empty.
func (o *Outbox) deliver(q *queue) {
	for {
		batch := o.take(q)
		if len(batch) == 0 {
			return
		}
		err := o.send(q.to, batch)
		o.logChange(q.to.Name, len(batch), err)
		if err != nil {
			o.failed.Add(int64(len(batch)))
			<-o.options.Timer.After(failurePause)
			continue
		}
		o.delivered.Add(int64(len(batch)))
	}
}

// logChange logs the first failed delivery to a router, and the first one that succeeds again.
func (o *Outbox) logChange(router string, messages int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err != nil && !o.failing[router]:
		o.failing[router] = true
		o.options.Logger.Info("messages not delivered", "router", router, "messages", messages, "cause", err.Error())
	case err == nil && o.failing[router]:
		delete(o.failing, router)
		o.options.Logger.Info("messages delivered again", "router", router)
	}
}

// take removes the messages of the next delivery from a queue, and the queue once it is empty.
func (o *Outbox) take(q *queue) (batch [][]byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	size := 0
	for len(q.messages) > 0 && size+len(q.messages[0]) <= maxDeliveryBytes {
		next := q.messages[0]
		q.messages = q.messages[1:]
		delete(q.queued, string(next))
		size += len(next)
		batch = append(batch, next)
	}
	if len(batch) == 0 {
		delete(o.queues, q.to.Name)
	}
	return batch
}

// send makes one delivery and waits until it is confirmed.
func (o *Outbox) send(to jvmember.Member, batch [][]byte) error {
	const op = "deliver"
	payload := append([]byte(deliveryPrefix), jvcodec.Encode(delivery{From: o.options.Self, To: to.Name, Messages: batch})...)
	sealed, ok := o.options.Sealer.Seal(payload)
	if !ok {
		return jvfault.Newf(op, KindUndelivered, "the fleet's secret is not known yet")
	}
	ctx, cancel := o.options.Timer.WithTimeout(context.Background(), deliverTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+Path, bytes.NewReader(sealed))
	if err != nil {
		return jvfault.New(op, KindUndelivered, err)
	}
	response, err := o.options.Transport.RoundTrip(request)
	if err != nil {
		return jvfault.New(op, KindUndelivered, err)
	}
	_, _ = io.CopyN(io.Discard, response.Body, 1) // Its end, so that the connection can be used again.
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return jvfault.Newf(op, KindUndelivered, "status %d", response.StatusCode)
	}
	return nil
}

// ServeHTTP implements http.Handler. What is not a delivery of this fleet gets no response.
func (o *Outbox) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(o.options.Timer.Now().Add(receiveTimeout)) // If deadlines aren't supported, a stranger keeps its connection longer.
	d, err := o.receive(r)
	if err != nil {
		o.logInvalid(r.RemoteAddr, err)
		panic(http.ErrAbortHandler)
	}
	_ = control.SetReadDeadline(time.Time{})
	from, known := o.member(d.From)
	for _, m := range d.Messages {
		err := o.options.Receive(m, func(reply []byte) {
			if known {
				o.Post(from, reply)
			}
		})
		if err != nil {
			o.logInvalid(d.From, err)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// logInvalid counts what was dropped since it is forged or malformed. One line shows the fault, the gauge counts the rest.
func (o *Outbox) logInvalid(from string, err error) {
	if o.invalid.Add(1) == 1 {
		o.options.Logger.Info("delivery dropped", "from", from, "cause", err.Error())
	}
}

// receive reads a delivery.
func (o *Outbox) receive(r *http.Request) (d delivery, err error) {
	const op = "receive"
	const maxBytes = 2 * maxDeliveryBytes // With names and lengths.
	sealed, release, err := o.options.ReadAll(r.RemoteAddr, io.LimitReader(r.Body, maxBytes))
	if err != nil {
		return d, jvfault.New(op, KindMalformed, err)
	}
	defer release()
	payload, err := o.options.Sealer.Open(sealed)
	if err != nil {
		return d, jvfault.New(op, KindForged, err)
	}
	encoded, ok := bytes.CutPrefix(payload, []byte(deliveryPrefix))
	if !ok {
		return d, jvfault.Newf(op, KindForged, "%d bytes that are no delivery", len(payload))
	}
	if d, err = jvcodec.Decode[delivery](encoded); err != nil {
		return d, jvfault.New(op, KindMalformed, err)
	}
	if d.To != o.options.Self {
		return d, jvfault.Newf(op, KindForged, "a delivery for %q", d.To)
	}
	return d, nil
}

// member returns another router by name.
func (o *Outbox) member(name string) (jvmember.Member, bool) {
	for _, m := range o.options.Others() {
		if m.Name == name {
			return m, true
		}
	}
	return jvmember.Member{}, false
}

// RegisterGauges registers the numbers of messages that were delivered, that other routers did not confirm, and that had no
// place.
func (o *Outbox) RegisterGauges(register func(name string, read func() float64)) {
	register("jv_messages_delivered", func() float64 { return float64(o.delivered.Load()) })
	register("jv_messages_undelivered", func() float64 { return float64(o.failed.Load()) })
	register("jv_messages_dropped", func() float64 { return float64(o.dropped.Load()) })
	register("jv_messages_invalid", func() float64 { return float64(o.invalid.Load()) })
}
