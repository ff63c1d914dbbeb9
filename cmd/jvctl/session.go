package main

import (
	"context"
	"crypto/rand"
	"net/http"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvoperator"
	"github.com/jasminevale/jasminevale/internal/jvplatform"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// session is the connection of one command to the platform.
type session struct {
	ctx      context.Context //nolint:containedctx // A session lasts for one command.
	cancel   context.CancelFunc
	platform *jvplatform.Client
	client   *jvoperator.Client
	random   *jvchance.Source
}

func (a *arguments) platformClient() *jvplatform.Client {
	return jvplatform.NewClient(strings.TrimSuffix(a.Platform, "/"), &http.Client{})
}

// openSession connects to the platform and reads the log to its end.
func (a *arguments) openSession() (*session, error) {
	var seed [32]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, errors.Wrap(err, "read a random seed")
	}
	s := &session{platform: a.platformClient(), random: jvchance.NewSource(seed)}
	s.ctx, s.cancel = context.WithTimeout(context.Background(), time.Duration(a.Timeout)*time.Second)
	s.client = jvoperator.NewClient(jvoperator.Options{
		Operator: a.Operator,
		Stream:   a.Stream,
		Log:      s.platform,
		Timer:    jvtimer.NewService(),
		Chance:   s.random,
		Logger:   logr.Discard(),
	})
	if err := s.client.WaitReady(s.ctx); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *session) close() {
	s.cancel()
	s.client.Close()
}

// idOrNew returns id, or a random one where id is empty.
func (s *session) idOrNew(id string) string {
	if id != "" {
		return id
	}
	return s.random.ID()
}
