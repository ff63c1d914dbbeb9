package jvtls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvtimer"
)

// testAuthority is a certificate authority for one test.
type testAuthority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *testAuthority {
	t.Helper()
	a := &testAuthority{t: t, dir: t.TempDir()}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a.key = key
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	a.writePEM("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *testAuthority) writePEM(name, kind string, der []byte) string {
	file := filepath.Join(a.dir, name)
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	require.NoError(a.t, os.WriteFile(file, data, 0o600))
	return file
}

// issue writes a certificate with a serial number and its key to the files of name, and replaces
// earlier ones.
func (a *testAuthority) issue(name string, serial int64) Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	secret, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	return Files{
		Cert:      a.writePEM(name+".pem", "CERTIFICATE", der),
		Key:       a.writePEM(name+"-key.pem", "EC PRIVATE KEY", secret),
		Authority: filepath.Join(a.dir, "ca.pem"),
	}
}

// handshake opens a connection and returns the serial number of the server's certificate.
func handshake(server, client *tls.Config) (int64, error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	done := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			err = c.(*tls.Conn).Handshake()
			_, _ = c.Write([]byte("x"))
		}
		done <- err
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		if serverErr := <-done; serverErr != nil {
			err = serverErr
		}
		return 0, err
	}
	defer func() { _ = c.Close() }()
	if err := <-done; err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestMutualTLS(t *testing.T) {
	timer := jvtimer.NewService()
	defer timer.Close()
	a := newAuthority(t)
	server, err := ServerConfig(a.issue("server", 10), timer)
	require.NoError(t, err)
	client, err := ClientConfig(a.issue("client", 20), timer)
	require.NoError(t, err)
	serial, err := handshake(server, client)
	require.NoError(t, err)
	require.Equal(t, int64(10), serial)

	anonymous := &tls.Config{RootCAs: client.RootCAs, MinVersion: tls.VersionTLS12}
	_, err = handshake(server, anonymous)
	require.Error(t, err, "a client without a certificate was accepted")
}

// TestRenewal guards against a renewed certificate that is only used after a restart, and against a
// half-written file that takes the current certificate out of use.
func TestRenewal(t *testing.T) {
	timer := jvtimer.NewService()
	defer timer.Close()
	a := newAuthority(t)
	k := &keyPair{files: a.issue("server", 10), timer: timer}
	first, err := k.get()
	require.NoError(t, err)
	a.issue("server", 11)
	k.checkedAt, k.modTime = time.Time{}, time.Time{}
	second, err := k.get()
	require.NoError(t, err)
	require.NotEqual(t, first.Certificate, second.Certificate)
	require.NoError(t, os.WriteFile(k.files.Key, []byte("half"), 0o600))
	k.checkedAt, k.modTime = time.Time{}, time.Time{}
	third, err := k.get()
	require.NoError(t, err)
	require.Equal(t, second.Certificate, third.Certificate)
}

func TestMissingFiles(t *testing.T) {
	timer := jvtimer.NewService()
	defer timer.Close()
	_, err := ServerConfig(Files{Cert: "none", Key: "none"}, timer)
	require.Error(t, err)
}
