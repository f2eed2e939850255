package integration

import (
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/tlsfile"
	"peridotchute.example/common/tlsfile/tlstest"
	"peridotchute.example/entry"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/side"
)

// commonName returns the common name of the certificate presented at address.
func commonName(address string, conf *tls.Config) (string, error) {
	conn, err := tls.Dial("tcp", address, conf)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "GET / HTTP/1.0\r\n\r\n"); err != nil {
		return "", err
	}
	if _, err := io.ReadAll(conn); err != nil {
		return "", err // with TLS 1.3 a rejected client certificate is only reported on read
	}
	return conn.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

func TestTrafficOverTLS(t *testing.T) {
	ca := tlstest.New(t)
	files := ca.Issue("first")
	c := cluster.Start(t, cluster.Options{
		Entries:   2,
		EditEntry: func(_ int, s *entry.Settings) { s.CallerTLS, s.PeerTLS = files, files },
		EditSide:  func(_ int, s *side.Settings) { s.PeerTLS = files },
	})
	client, err := tlsfile.Client(files.CAFile)
	assert.NilError(t, err)
	complete := func() error { return completeOverTLS(c.Entry(1), client) }
	cluster.Eventually(t, complete)

	data, control := c.Side(1).Settings.DataAddress, c.Side(1).Settings.RPCAddress
	untrusted, err := tlsfile.Mutual(tlstest.New(t).Issue("stranger"))
	assert.NilError(t, err)
	untrusted.VerifyConnection = nil // accept any server certificate
	for _, address := range []string{data, control} {
		_, err = commonName(address, untrusted)
		assert.ErrorContains(t, err, "bad certificate", "%s", address)
		_, err = commonName(address, client)
		assert.ErrorContains(t, err, "certificate required", "%s", address)
	}
	resp, err := http.Get("http://" + data + "/")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest, "plain HTTP was accepted")
	assert.NilError(t, resp.Body.Close())

	ca.Issue("second")
	peer, err := tlsfile.Mutual(files)
	assert.NilError(t, err)
	cluster.Eventually(t, func() error { return checkCertificate(c.Entry(1).Settings.CallerAddress, client) })
	cluster.Eventually(t, func() error { return checkCertificate(data, peer) })
	assert.NilError(t, complete())
}

// checkCertificate returns an error until the address presents the second
// certificate.
func checkCertificate(address string, conf *tls.Config) error {
	name, err := commonName(address, conf)
	if err == nil && name != "second" {
		err = fmt.Errorf("%s presents the certificate %q", address, name)
	}
	return err
}

func completeOverTLS(e *cluster.Entry, conf *tls.Config) error {
	transport := &http.Transport{TLSClientConfig: conf}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequest(http.MethodPost, "https://"+e.Settings.CallerAddress+"/v1/completions", strings.NewReader(completion(cluster.SampleModel, 2, false)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+cluster.SampleKey)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	return nil
}
