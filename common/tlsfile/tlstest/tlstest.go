// Package tlstest issues certificates for tests.
package tlstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"peridotchute.example/common/tlsfile"
)

// lifetime is how long certificates are valid.
const lifetime = time.Hour

// TB is the part of testing.TB that this package uses.
type TB interface {
	Helper()
	Fatalf(format string, args ...any)
	TempDir() string
}

// Authority is a CA that issues certificates for 127.0.0.1.
type Authority struct {
	t      TB
	dir    string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

// New returns an authority that writes its files to a new temporary directory.
func New(t TB) *Authority {
	t.Helper()
	a := &Authority{t: t, dir: t.TempDir(), serial: 1}
	a.key = a.newKey()
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(a.serial),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotAfter:              time.Now().Add(lifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	a.check(err)
	a.cert, err = x509.ParseCertificate(der)
	a.check(err)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

// Issue creates a certificate with the given common name and returns its files.
// The files of the previous certificate are overwritten.
func (a *Authority) Issue(name string) *tlsfile.Files {
	a.t.Helper()
	a.serial++
	key := a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: name},
		NotAfter:     time.Now().Add(lifetime),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	a.check(err)
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	a.check(err)
	return &tlsfile.Files{
		CertFile: a.write("cert.pem", "CERTIFICATE", der),
		KeyFile:  a.write("key.pem", "PRIVATE KEY", secret),
		CAFile:   filepath.Join(a.dir, "ca.pem"),
	}
}

func (a *Authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.check(err)
	return key
}

// write replaces a file atomically, as an operator's tool would.
func (a *Authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	a.check(os.WriteFile(path+".new", pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	a.check(os.Rename(path+".new", path))
	return path
}

func (a *Authority) check(err error) {
	a.t.Helper()
	if err != nil {
		a.t.Fatalf("tlstest: %v", err)
	}
}
