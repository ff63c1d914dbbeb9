package jvversion

import (
	"context"
	"time"
	"unique"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvmember"
)

const (
	// neededReceipts is the number of other routers that have to confirm the origin of a stream: one of them may end together
	// with the router that began it.
	neededReceipts = 2
	// publishInterval is the interval at which origins that are not confirmed are looked for, and the first one at which an
	// origin is sent again, which doubles up to maxPublishInterval. It exceeds the round trip between zones.
	publishInterval    = 40 * time.Millisecond
	maxPublishInterval = time.Second
	// postTime is how long connections are used at once after an origin had to be sent again.
	postTime = 5 * time.Second
	// publishTime is how long an origin is sent again. Routers that answer nothing for as long have lapsed.
	publishTime = 15 * time.Second
	// maxBeginWait is how long the first event waits for receipts, which is enough for a packet and then for a connection.
	maxBeginWait = 100 * time.Millisecond
	// maxPublications limits the origins that are not confirmed.
	maxPublications = 1 << 12
)

// publication is an origin that is sent to other routers until enough of them have confirmed it.
type publication struct {
	request string
	data    []byte
	// confirmed are the routers that have confirmed the origin; enough is closed once they are needed many.
	confirmed map[string]bool
	needed    int
	enough    chan struct{}
	// sends is how often the origin was sent, next when it is sent again.
	sends   int
	next    time.Time
	beganAt time.Time
}

// Begin records that the caller of a request gets the first event of a stream from a target of a version, and sends that
// to some other routers. Called before the event is sent, it returns once neededReceipts of them have confirmed it, after
// maxBeginWait, or when ctx ends; the origin is sent on until it is confirmed. Routers of earlier builds get it once.
func (v *Versions) Begin(ctx context.Context, request string, o Origin) {
	if request == "" || o.Version == "" {
		return
	}
	request = shortRequest(request)
	v.streams.Add(keyOf(request), unique.Make(o))
	others := v.options.Others()
	if len(others) == 0 {
		return
	}
	p := v.publish(request, o, min(neededReceipts, len(confirming(others))))
	for _, m := range holders(request, v.options.Self.Zone, others, 0) {
		v.send(m, p.data, false)
	}
	select {
	case <-p.enough:
	case <-v.options.Timer.After(maxBeginWait):
		v.late.Add(1)
	case <-ctx.Done():
	}
}

// publish registers an origin that is sent for the first time, and that needs some receipts.
func (v *Versions) publish(request string, o Origin, needed int) *publication {
	now := v.options.Timer.Now()
	p := &publication{request: request, needed: needed, confirmed: map[string]bool{}, enough: make(chan struct{}), sends: 1, next: now.Add(publishInterval), beganAt: now}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastNumber++
	p.data = jvcodec.Encode(message{Begun: []begun{{Request: request, Origin: o}}, Number: v.lastNumber})
	switch {
	case needed == 0:
		close(p.enough)
	case len(v.publications) >= maxPublications:
		v.unconfirmed.Add(1)
	default:
		v.publications[v.lastNumber] = p
	}
	return p
}

// confirming returns the routers that confirm origins: earlier builds don't.
func confirming(others []jvmember.Member) (list []jvmember.Member) {
	for _, m := range others {
		if m.Deliveries {
			list = append(list, m)
		}
	}
	return list
}

// confirm records a receipt.
func (v *Versions) confirm(r receipt) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.publications[r.Number]
	if p == nil {
		return
	}
	p.confirmed[r.From] = true
	if len(p.confirmed) >= p.needed {
		v.endPublication(r.Number, p)
	}
}

// endPublication ends the repeats of an origin; v.mu must be held.
func (v *Versions) endPublication(number uint64, p *publication) {
	delete(v.publications, number)
	close(p.enough)
}

// resendOrigins sends the origins again that too few routers have confirmed, by packets and connections, and to more routers
// each time.
func (v *Versions) resendOrigins() {
	type resend struct {
		to   []jvmember.Member
		data []byte
	}
	var due []resend
	others := confirming(v.options.Others())
	now := v.options.Timer.Now()
	v.mu.Lock()
	for number, p := range v.publications {
		switch {
		case len(p.confirmed) >= len(others):
			v.endPublication(number, p)
		case now.Sub(p.beganAt) >= publishTime:
			v.endPublication(number, p)
			v.unconfirmed.Add(1)
			v.options.Logger.Info("origin of a stream not confirmed", "request", p.request, "confirmed", len(p.confirmed), "sends", p.sends)
		case !now.Before(p.next):
			r := resend{data: p.data}
			for _, m := range holders(p.request, v.options.Self.Zone, others, p.sends-1) {
				if !p.confirmed[m.Name] {
					r.to = append(r.to, m)
				}
			}
			due = append(due, r)
			p.next = now.Add(min(publishInterval<<p.sends, maxPublishInterval))
			p.sends++
		}
	}
	if len(due) > 0 {
		v.postUntil = now.Add(postTime)
	}
	v.mu.Unlock()
	for _, r := range due {
		for _, m := range r.to {
			v.send(m, r.data, true)
		}
	}
}

// send sends a message by a packet, and by a connection if that is asked for or packets have not arrived lately.
func (v *Versions) send(to jvmember.Member, data []byte, post bool) {
	v.mu.Lock()
	post = post || v.options.Timer.Now().Before(v.postUntil)
	v.mu.Unlock()
	v.options.Send(to, data)
	if post {
		v.options.Post(to, data)
	}
}

// RegisterGauges registers the numbers of origins that are not confirmed yet, that were given up, and whose stream began
// before they were confirmed.
func (v *Versions) RegisterGauges(register func(name string, read func() float64)) {
	register("jv_origins_waiting", func() float64 { return float64(v.Dump().Unconfirmed) })
	register("jv_origins_unconfirmed", func() float64 { return float64(v.unconfirmed.Load()) })
	register("jv_origins_late", func() float64 { return float64(v.late.Load()) })
}
