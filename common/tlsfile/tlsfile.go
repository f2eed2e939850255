// Package tlsfile makes TLS configurations from certificate files, which are
// read again after they change.
package tlsfile

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/reload"
)

// Files are the settings of one TLS endpoint. All are PEM.
type Files struct {
	CertFile string `json:"cert_file" validate:"required,file"`
	KeyFile  string `json:"key_file" validate:"required,file"`
	CAFile   string `json:"ca_file,omitempty" validate:"omitempty,file"` // peers' certificates must come from it
}

// Serving returns the configuration of a listener for callers or operators, or
// nil for plain TCP when f is nil. Errors have KindInvalid and never contain
// key material.
func Serving(f *Files) (*tls.Config, error) {
	if f == nil {
		return nil, nil
	}
	cert, err := certificate(f)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return cert.Get(), nil
		},
	}, nil
}

// Mutual returns a configuration for both ends of a connection between the
// system's own processes: each end must show a certificate from the CA file.
// Names are not compared, since the processes talk by IP number and are
// replaced at any time. It is nil for plain TCP when f is nil. Errors have
// KindInvalid.
func Mutual(f *Files) (*tls.Config, error) {
	conf, err := Serving(f)
	if err != nil || conf == nil {
		return nil, err
	}
	cert, err := certificate(f)
	if err != nil {
		return nil, err
	}
	roots, err := reload.New(func() (*x509.CertPool, error) { return readPool(f.CAFile) }, f.CAFile)
	if err != nil {
		return nil, fault.New(fault.KindInvalid, "tls.ca", f.CAFile, err)
	}
	conf.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return cert.Get(), nil
	}
	conf.ClientAuth = tls.RequireAnyClientCert
	conf.InsecureSkipVerify = true // VerifyConnection checks the chain against the current CA file
	conf.VerifyConnection = func(cs tls.ConnectionState) error {
		return verify(cs.PeerCertificates, roots.Get())
	}
	return conf, nil
}

// Client returns the configuration of a client that trusts the CA file, or the
// machine's own authorities when caFile is empty.
func Client(caFile string) (*tls.Config, error) {
	conf := &tls.Config{MinVersion: tls.VersionTLS12}
	if caFile == "" {
		return conf, nil
	}
	pool, err := readPool(caFile)
	if err != nil {
		return nil, fault.New(fault.KindInvalid, "tls.ca", caFile, err)
	}
	conf.RootCAs = pool
	return conf, nil
}

func certificate(f *Files) (*reload.Value[*tls.Certificate], error) {
	parse := func() (*tls.Certificate, error) {
		cert, err := tls.LoadX509KeyPair(f.CertFile, f.KeyFile)
		return &cert, err
	}
	v, err := reload.New(parse, f.CertFile, f.KeyFile)
	if err != nil {
		return nil, fault.New(fault.KindInvalid, "tls.certificate", f.CertFile, err)
	}
	return v, nil
}

func readPool(path string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, errors.New("no certificate in the file")
	}
	return pool, nil
}

func verify(chain []*x509.Certificate, roots *x509.CertPool) error {
	if len(chain) == 0 {
		return errors.New("peer shows no certificate")
	}
	middle := x509.NewCertPool()
	for _, c := range chain[1:] {
		middle.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: middle,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
