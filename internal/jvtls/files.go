package jvtls

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// Kind is the class of a TLS failure.
type Kind string

// KindFile means that a certificate, key or authority file can't be used.
const KindFile Kind = "file"

// Error is a TLS failure.
type Error = jvfault.Error[Kind]

// Files name a certificate and its key in PEM, and the authorities that peers are checked by.
type Files struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// Authority is empty where the other side shows no certificate.
	Authority string `json:"authority,omitempty"`
}

// checkEvery is how often the files are looked at for a change.
const checkEvery = 5 * time.Second

// keyPair holds the certificate in use.
type keyPair struct {
	files Files
	timer *jvtimer.Service

	mu     sync.Mutex
	pair   *tls.Certificate
	loaded time.Time
	stamp  time.Time
}

func (k *keyPair) get() (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pair != nil && k.timer.Since(k.loaded) < checkEvery {
		return k.pair, nil
	}
	info, err := os.Stat(k.files.Cert)
	if err == nil && k.pair != nil && info.ModTime().Equal(k.stamp) {
		k.loaded = k.timer.Now()
		return k.pair, nil
	}
	pair, loadErr := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if loadErr != nil {
		if k.pair != nil {
			return k.pair, nil // A half-written file: the old certificate serves until the next look.
		}
		return nil, jvfault.New("load certificate", KindFile, loadErr)
	}
	k.pair = &pair
	k.loaded = k.timer.Now()
	if err == nil {
		k.stamp = info.ModTime()
	}
	return k.pair, nil
}

// ServerConfig returns the settings of a port. With an authority, callers must show a certificate of it.
func ServerConfig(f Files, timer *jvtimer.Service) (*tls.Config, error) {
	k := &keyPair{files: f, timer: timer}
	if _, err := k.get(); err != nil {
		return nil, err
	}
	c := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.get() },
	}
	if f.Authority != "" {
		pool, err := authority(f.Authority)
		if err != nil {
			return nil, err
		}
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = pool
	}
	return c, nil
}

// ClientConfig returns the settings for connections to ports that Server guards.
func ClientConfig(f Files, timer *jvtimer.Service) (*tls.Config, error) {
	k := &keyPair{files: f, timer: timer}
	if _, err := k.get(); err != nil {
		return nil, err
	}
	c := &tls.Config{
		MinVersion:           tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.get() },
	}
	if f.Authority != "" {
		pool, err := authority(f.Authority)
		if err != nil {
			return nil, err
		}
		c.RootCAs = pool
	}
	return c, nil
}

func authority(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, jvfault.New("load authority", KindFile, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, jvfault.Newf("load authority", KindFile, "%s holds no certificate in PEM", file)
	}
	return pool, nil
}
