// Package tlsfile creates TLS configurations from certificate files and reloads
// the files when they change.
package tlsfile

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/reload"
)

// Files are the settings of one TLS endpoint. All files are in PEM format.
type Files struct {
	CertFile string `json:"cert_file" validate:"required,file"`
	KeyFile  string `json:"key_file" validate:"required,file"`
	CAFile   string `json:"ca_file,omitempty" validate:"omitempty,file"` // CA that must have issued the peers' certificates
}

// Serving returns the configuration of a listener for callers or operators, or
// nil for plain TCP when f is nil. Errors have KindInvalid and never contain
// key material.
func Serving(f *Files) (*tls.Config, error) {
	if f == nil {
		return nil, nil
	}
	cert, err := loadCertificate(f)
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

// Mutual returns the configuration for both ends of a connection between
// processes of the system, or nil for plain TCP when f is nil. Each end must
// present a certificate issued by the CA. Host names are not checked, since the
// processes connect by IP address and may be replaced at any time. Errors have
// KindInvalid.
func Mutual(f *Files) (*tls.Config, error) {
	conf, err := Serving(f)
	if err != nil || conf == nil {
		return nil, err
	}
	cert, err := loadCertificate(f)
	if err != nil {
		return nil, err
	}
	roots, err := reload.New(func() (*x509.CertPool, error) { return readCertPool(f.CAFile) }, f.CAFile)
	if err != nil {
		return nil, fault.New(fault.KindInvalid, "tls.ca", f.CAFile, err)
	}
	conf.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return cert.Get(), nil
	}
	conf.ClientAuth = tls.RequireAnyClientCert
	conf.InsecureSkipVerify = true // VerifyConnection checks the chain against the current CA file
	conf.VerifyConnection = func(cs tls.ConnectionState) error {
		return verifyChain(cs.PeerCertificates, roots.Get())
	}
	return conf, nil
}

// Client returns the configuration of a client that trusts the CAs in caFile, or
// those of the operating system when caFile is empty.
func Client(caFile string) (*tls.Config, error) {
	conf := &tls.Config{MinVersion: tls.VersionTLS12}
	if caFile == "" {
		return conf, nil
	}
	pool, err := readCertPool(caFile)
	if err != nil {
		return nil, fault.New(fault.KindInvalid, "tls.ca", caFile, err)
	}
	conf.RootCAs = pool
	return conf, nil
}

func loadCertificate(f *Files) (*reload.Value[*tls.Certificate], error) {
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

func readCertPool(path string) (*x509.CertPool, error) {
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

func verifyChain(chain []*x509.Certificate, roots *x509.CertPool) error {
	if len(chain) == 0 {
		return errors.New("peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
