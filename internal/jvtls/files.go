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

// KindFile means that a certificate, key or authority file can't be read or is invalid.
const KindFile Kind = "file"

// Error is a TLS failure.
type Error = jvfault.Error[Kind]

// Files are the paths of PEM files with a certificate, its key, and the authorities that verify the
// other side.
type Files struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// Authority is optional. Without it, a server requests no certificate from clients, and a client
	// verifies servers by the system's authorities.
	Authority string `json:"authority,omitempty"`
}

// checkInterval is the interval at which the certificate file is checked for changes.
const checkInterval = 5 * time.Second

// keyPair holds the current certificate of some files.
type keyPair struct {
	files Files
	timer *jvtimer.Service

	mu          sync.Mutex
	certificate *tls.Certificate
	// checkedAt is the time of the last check, and modTime the certificate file's modification time
	// when it was loaded.
	checkedAt time.Time
	modTime   time.Time
}

// get returns the current certificate and reloads it first if its file has changed.
func (k *keyPair) get() (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.certificate != nil && k.timer.Since(k.checkedAt) < checkInterval {
		return k.certificate, nil
	}
	info, err := os.Stat(k.files.Cert)
	if err == nil && k.certificate != nil && info.ModTime().Equal(k.modTime) {
		k.checkedAt = k.timer.Now()
		return k.certificate, nil
	}
	pair, loadErr := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if loadErr != nil {
		if k.certificate != nil {
			return k.certificate, nil // A file may be half written: the old certificate stays in use until a reload succeeds.
		}
		return nil, jvfault.New("load certificate", KindFile, loadErr)
	}
	k.certificate = &pair
	k.checkedAt = k.timer.Now()
	if err == nil {
		k.modTime = info.ModTime()
	}
	return k.certificate, nil
}

// ServerConfig returns the TLS configuration of a port. If f has an authority, clients must present
// a certificate that it signed.
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
		pool, err := loadAuthority(f.Authority)
		if err != nil {
			return nil, err
		}
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = pool
	}
	return c, nil
}

// ClientConfig returns the TLS configuration for connections to ports that use ServerConfig.
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
		pool, err := loadAuthority(f.Authority)
		if err != nil {
			return nil, err
		}
		c.RootCAs = pool
	}
	return c, nil
}

func loadAuthority(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, jvfault.New("load authority", KindFile, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, jvfault.Newf("load authority", KindFile, "%s contains no PEM certificate", file)
	}
	return pool, nil
}
