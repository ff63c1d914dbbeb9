package jvquarantine

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvkeyed"
)

// crashRecord is the value of a record. Its times are in Unix milliseconds of the router's clock.
type crashRecord struct {
	Target   string `cbor:"target"`
	Born     int64  `cbor:"born,omitempty"`
	Sent     int64  `cbor:"sent"`
	Ended    int64  `cbor:"ended"`
	Progress bool   `cbor:"progress,omitempty"`
	// Request, Part and Sound are set in reports on parts only: the digest of the request that was running and
	// the part's name.
	Request []byte `cbor:"request,omitempty"`
	Part    string `cbor:"part,omitempty"`
	// Sound is true if a request with the part had completed at the reporting router shortly before.
	Sound bool `cbor:"sound,omitempty"`
	// Trial is when a copy was admitted. It is set in the records of trials only, with Part.
	Trial int64 `cbor:"trial,omitempty"`
}

const (
	// keySeparator stands between the digest and the report's own ID in a record's key.
	keySeparator = "/"
	// partPrefix begins the keys of records on parts. Releases that know requests only skip them.
	partPrefix = "part:"
	// trialPrefix begins the ID of a trial, a number follows.
	trialPrefix = "trial-"
)

// keyBase returns what the keys of all records on a subject begin with.
func (s subject) keyBase() string {
	if s.part {
		return partPrefix + s.digest.String() + keySeparator
	}
	return s.digest.String() + keySeparator
}

func encodeRecord(key string, of subject, c Crash) jvkeyed.Record {
	v := crashRecord{Target: c.Target, Born: c.StartedAtMillis, Sent: c.SentAt.UnixMilli(), Ended: c.EndedAt.UnixMilli(), Progress: c.Progress}
	if of.part {
		v.Request = c.request[:]
		v.Part = of.name
		v.Sound = c.sound
	}
	return jvkeyed.Record{Key: key, Value: jvcodec.Encode(v)}
}

func encodeTrial(key string, of subject, at time.Time) jvkeyed.Record {
	return jvkeyed.Record{Key: key, Value: jvcodec.Encode(crashRecord{Part: of.name, Trial: at.UnixMilli()})}
}

// decodedRecord is what a record says about its subject: a trial, if its time is set, or else a crash.
type decodedRecord struct {
	subject subject
	crash   Crash
	trialAt time.Time
}

// decodeRecord decodes a record. Clocks differ between routers, so on this router's steady clock a time
// that lies in the future or more than maxAge ago is moved into that range.
func decodeRecord(r jvkeyed.Record, now time.Time, maxAge time.Duration) (decodedRecord, error) {
	const op = "decode crash"
	text, id, ok := strings.Cut(r.Key, keySeparator)
	text, isPart := strings.CutPrefix(text, partPrefix)
	digest, err := hex.DecodeString(text)
	if !ok || err != nil || len(digest) != len(Digest{}) {
		return decodedRecord{}, jvfault.Newf(op, KindMalformed, "the key %q has no digest", r.Key)
	}
	v, err := jvcodec.Decode[crashRecord](r.Value)
	if err != nil {
		return decodedRecord{}, jvfault.New(op, KindMalformed, err)
	}
	steady := func(millis int64) time.Time {
		age := time.Duration(now.UnixMilli()-millis) * time.Millisecond
		return now.Add(-min(max(age, 0), maxAge))
	}
	d := decodedRecord{subject: subject{digest: DigestOf(digest), part: isPart, name: v.Part}}
	if strings.HasPrefix(id, trialPrefix) {
		if v.Trial <= 0 {
			return decodedRecord{}, jvfault.Newf(op, KindMalformed, "the record of a trial has no time")
		}
		d.trialAt = steady(v.Trial)
		return d, nil
	}
	if v.Target == "" || v.Sent > v.Ended {
		return decodedRecord{}, jvfault.Newf(op, KindMalformed, "the record has no target or ends before its start")
	}
	d.crash = Crash{
		Target: v.Target, StartedAtMillis: v.Born, SentAt: time.UnixMilli(v.Sent), EndedAt: time.UnixMilli(v.Ended), Progress: v.Progress,
		at: steady(v.Ended), request: DigestOf(v.Request), sound: v.Sound,
	}
	return d, nil
}
