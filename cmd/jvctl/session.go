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

// session is one command's access to the platform.
type session struct {
	ctx      context.Context //nolint:containedctx // One command is one call.
	cancel   context.CancelFunc
	platform *jvplatform.Client
	client   *jvoperator.Client
	chance   *jvchance.Source
}

func (a *arguments) platformClient() *jvplatform.Client {
	return jvplatform.NewClient(strings.TrimSuffix(a.Platform, "/"), &http.Client{})
}

// open reads the log to its end.
func (a *arguments) open() (*session, error) {
	var seed [32]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, errors.Wrap(err, "read a random seed")
	}
	s := &session{platform: a.platformClient(), chance: jvchance.NewSource(seed)}
	s.ctx, s.cancel = context.WithTimeout(context.Background(), time.Duration(a.Timeout)*time.Second)
	s.client = jvoperator.NewClient(jvoperator.Options{
		Operator: a.Operator,
		Stream:   a.Stream,
		Log:      s.platform,
		Timer:    jvtimer.NewService(),
		Chance:   s.chance,
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

// id returns the operator's id, or a new one.
func (s *session) id(given string) string {
	if given != "" {
		return given
	}
	return s.chance.ID()
}
