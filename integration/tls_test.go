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

// commonName returns the name in the certificate shown at address.
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
		return "", err // a refused client certificate shows only here
	}
	return conn.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

func TestTrafficOverTLS(t *testing.T) {
	ours := tlstest.New(t)
	files := ours.Issue("first")
	c := cluster.Start(t, cluster.Options{
		Entries:   2,
		EditEntry: func(_ int, s *entry.Settings) { s.CallerTLS, s.PeerTLS = files, files },
		EditSide:  func(_ int, s *side.Settings) { s.PeerTLS = files },
	})
	client, err := tlsfile.Client(files.CAFile)
	assert.NilError(t, err)
	ask := func() error { return completeOverTLS(c.Entry(1), client) }
	cluster.Eventually(t, ask)

	data, control := c.Side(1).Settings.DataAddress, c.Side(1).Settings.RPCAddress
	stranger, err := tlsfile.Mutual(tlstest.New(t).Issue("stranger"))
	assert.NilError(t, err)
	stranger.VerifyConnection = nil // it believes anyone
	for _, address := range []string{data, control} {
		_, err = commonName(address, stranger)
		assert.ErrorContains(t, err, "bad certificate", "%s", address)
		_, err = commonName(address, client)
		assert.ErrorContains(t, err, "certificate required", "%s", address)
	}
	resp, err := http.Get("http://" + data + "/")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest, "plain HTTP was answered")
	assert.NilError(t, resp.Body.Close())

	ours.Issue("second")
	peer, err := tlsfile.Mutual(files)
	assert.NilError(t, err)
	cluster.Eventually(t, func() error { return shows(c.Entry(1).Settings.CallerAddress, client) })
	cluster.Eventually(t, func() error { return shows(data, peer) })
	assert.NilError(t, ask())
}

// shows reports an error while the old certificate is shown.
func shows(address string, conf *tls.Config) error {
	name, err := commonName(address, conf)
	if err == nil && name != "second" {
		err = fmt.Errorf("%s shows the certificate %q", address, name)
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
		return fmt.Errorf("answer %s", resp.Status)
	}
	return nil
}
