package tlsfile

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
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotchute.example/common/reload"
)

// authority issues certificates in tests.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.key = newKey(t)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	assert.NilError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	assert.NilError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issue writes a certificate with the given common name over the same files.
func (a *authority) issue(serial int64, name string) Files {
	key := newKey(a.t)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(a.t, err)
	return Files{
		CertFile: a.write("cert.pem", "CERTIFICATE", der),
		KeyFile:  a.write("key.pem", "PRIVATE KEY", secret),
		CAFile:   filepath.Join(a.dir, "ca.pem"),
	}
}

// listen accepts TLS connections and completes each handshake.
func listen(t *testing.T, conf *tls.Config) string {
	ln, err := tls.Listen("tcp", "127.0.0.1:0", conf)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_ = c.(*tls.Conn).Handshake()
				_, _ = c.Write([]byte("x"))
				_ = c.Close()
			}()
		}
	}()
	return ln.Addr().String()
}

// dial returns the common name that the server shows, after one byte was read,
// since TLS 1.3 reports a refused client certificate only then.
func dial(address string, conf *tls.Config) (string, error) {
	c, err := tls.Dial("tcp", address, conf)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return "", err
	}
	return c.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

func TestMutualAdmitsOnlyTheSameAuthority(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	server, err := Mutual(ours.issue(2, "server"))
	assert.NilError(t, err)
	address := listen(t, server)

	name, err := dial(address, server)
	assert.NilError(t, err)
	assert.Equal(t, name, "server")

	stranger, err := Mutual(theirs.issue(2, "stranger"))
	assert.NilError(t, err)
	_, err = dial(address, stranger)
	assert.ErrorContains(t, err, "unknown authority", "a stranger's server was believed")

	stranger.VerifyConnection = nil
	_, err = dial(address, stranger)
	assert.ErrorContains(t, err, "bad certificate", "a stranger was let in")

	_, err = dial(address, &tls.Config{InsecureSkipVerify: true})
	assert.ErrorContains(t, err, "certificate required", "a client without certificate was let in")
}

func TestCertificateIsReplacedWithoutRestart(t *testing.T) {
	ca := newAuthority(t)
	files := ca.issue(2, "first")
	server, err := Serving(files)
	assert.NilError(t, err)
	address := listen(t, server)
	client, err := Client(files.CAFile)
	assert.NilError(t, err)
	name, err := dial(address, client)
	assert.NilError(t, err)
	assert.Equal(t, name, "first")

	ca.issue(3, "a longer second name")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if name, err := dial(address, client); err != nil || name == "first" {
			return poll.Continue("still %q %v", name, err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*reload.Interval))
}

func TestErrorsHoldNoKeyMaterial(t *testing.T) {
	ca := newAuthority(t)
	files := ca.issue(2, "x")
	secret, err := os.ReadFile(files.KeyFile)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(files.KeyFile, []byte(strings.Replace(string(secret), "PRIVATE KEY", "OTHER", 1)), 0o600))
	_, err = Serving(files)
	assert.Assert(t, err != nil)
	for _, line := range strings.Split(string(secret), "\n")[1:3] {
		assert.Assert(t, !strings.Contains(err.Error(), line))
	}
}
