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
	// packetSends is how often an origin is sent by packets before it is also sent by connections. Connections are used at once
	// while only they bring receipts: none has come for a packet in the last packetTime, and one for a connection in the last
	// postTime; and until the first receipt for a packet.
	packetSends = 2
	packetTime  = time.Second
	postTime    = 5 * time.Second
	// publishTime is how long an origin is sent again. Routers that answer nothing for as long have lapsed.
	publishTime = 15 * time.Second
	// maxBeginWait is how long the first event waits for receipts. It exceeds the round trip between zones.
	maxBeginWait = 25 * time.Millisecond
	// waitPause is how long first events don't wait after one has waited in vain.
	waitPause = time.Second
	// maxPublications limits the origins that are not confirmed.
	maxPublications = 1 << 12
)

// publication is an origin that is sent to other routers until enough of them have confirmed it.
type publication struct {
	request string
	// packet and posted are the message as it is sent by packets and by connections.
	packet []byte
	posted []byte
	// confirmed are the routers that have confirmed the origin; enough is closed once there are as many as needed.
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
// maxBeginWait, or when ctx ends; it does not wait if another one has done so in vain lately. The origin is sent on until it is
// confirmed. Routers of earlier builds get it once.
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
	p, posted := v.publish(request, o, min(neededReceipts, len(confirming(others))))
	for _, m := range holders(request, v.options.Self.Zone, others, 0) {
		v.options.Send(m, p.packet)
		if posted {
			v.options.Post(m, p.posted)
		}
	}
	if !v.waits() {
		return
	}
	select {
	case <-p.enough:
	case <-v.options.Timer.After(maxBeginWait):
		v.late.Add(1)
		v.pauseWaits()
	case <-ctx.Done():
	}
}

// waits reports whether a first event waits for receipts: not while too few routers are reached, as in a cut of a zone.
func (v *Versions) waits() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.options.Timer.Now().Before(v.waitFrom)
}

func (v *Versions) pauseWaits() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.waitFrom = v.options.Timer.Now().Add(waitPause)
}

// postedBit is set in the numbers of messages that are sent by connections, by which receipts show how a message has arrived.
const postedBit = 1

// publish registers an origin that is sent for the first time, and that needs some receipts. posted is true if it is also sent
// by connections.
func (v *Versions) publish(request string, o Origin, needed int) (p *publication, posted bool) {
	now := v.options.Timer.Now()
	p = &publication{request: request, needed: needed, confirmed: map[string]bool{}, enough: make(chan struct{}), sends: 1, next: now.Add(publishInterval), beganAt: now}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastNumber = (v.lastNumber | postedBit) + 1
	m := message{Begun: []begun{{Request: request, Origin: o}}, Number: v.lastNumber}
	p.packet = jvcodec.Encode(m)
	m.Number |= postedBit
	p.posted = jvcodec.Encode(m)
	switch {
	case needed == 0:
		close(p.enough)
	case len(v.publications) >= maxPublications:
		v.unconfirmed.Add(1)
	default:
		v.publications[v.lastNumber] = p
	}
	return p, needed > 0 && v.packetsLost(now)
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
	if r.Number&postedBit != 0 {
		v.postedReceiptAt = v.options.Timer.Now()
	} else {
		v.packetReceiptAt = v.options.Timer.Now()
	}
	number := r.Number &^ postedBit
	p := v.publications[number]
	if p == nil {
		return
	}
	p.confirmed[r.From] = true
	if len(p.confirmed) >= p.needed {
		v.endPublication(number, p)
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
		*publication
		to   []jvmember.Member
		post bool
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
			r := resend{publication: p, post: p.sends >= packetSends || v.packetsLost(now)}
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
	v.mu.Unlock()
	for _, r := range due {
		for _, m := range r.to {
			v.options.Send(m, r.packet)
			if r.post {
				v.options.Post(m, r.posted)
			}
		}
	}
}

// packetsLost reports whether only connections have brought receipts lately; v.mu must be held.
func (v *Versions) packetsLost(now time.Time) bool {
	return v.packetReceiptAt.IsZero() || now.Sub(v.postedReceiptAt) < postTime && now.Sub(v.packetReceiptAt) >= packetTime
}

// RegisterGauges registers the numbers of origins that are not confirmed yet, that were given up, and whose stream began
// before they were confirmed.
func (v *Versions) RegisterGauges(register func(name string, read func() float64)) {
	register("jv_origins_waiting", func() float64 { return float64(v.Dump().Unconfirmed) })
	register("jv_origins_unconfirmed", func() float64 { return float64(v.unconfirmed.Load()) })
	register("jv_origins_late", func() float64 { return float64(v.late.Load()) })
}
