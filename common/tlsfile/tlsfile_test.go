package tlsfile_test

import (
	"crypto/tls"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotchute.example/common/reload"
	"peridotchute.example/common/tlsfile"
	"peridotchute.example/common/tlsfile/tlstest"
)

// startServer starts a TLS server and returns its address. The server sends one
// byte on each connection after the handshake.
func startServer(t *testing.T, conf *tls.Config) string {
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

// dial returns the common name of the server's certificate. It reads one byte
// first, since a TLS 1.3 client learns only then that its certificate was rejected.
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

func TestMutualAcceptsOnlyTheSameAuthority(t *testing.T) {
	ours, theirs := tlstest.New(t), tlstest.New(t)
	server, err := tlsfile.Mutual(ours.Issue("server"))
	assert.NilError(t, err)
	address := startServer(t, server)

	name, err := dial(address, server)
	assert.NilError(t, err)
	assert.Equal(t, name, "server")

	stranger, err := tlsfile.Mutual(theirs.Issue("stranger"))
	assert.NilError(t, err)
	_, err = dial(address, stranger)
	assert.ErrorContains(t, err, "unknown authority", "a server of another CA was accepted")

	stranger.VerifyConnection = nil
	_, err = dial(address, stranger)
	assert.ErrorContains(t, err, "bad certificate", "a client of another CA was accepted")

	_, err = dial(address, &tls.Config{InsecureSkipVerify: true})
	assert.ErrorContains(t, err, "certificate required", "a client without certificate was accepted")
}

func TestCertificateIsReplacedWithoutRestart(t *testing.T) {
	ca := tlstest.New(t)
	files := ca.Issue("first")
	server, err := tlsfile.Serving(files)
	assert.NilError(t, err)
	address := startServer(t, server)
	client, err := tlsfile.Client(files.CAFile)
	assert.NilError(t, err)
	name, err := dial(address, client)
	assert.NilError(t, err)
	assert.Equal(t, name, "first")

	ca.Issue("a longer second name")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if name, err := dial(address, client); err != nil || name == "first" {
			return poll.Continue("still %q %v", name, err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*reload.Interval))
}

func TestErrorsContainNoKeyMaterial(t *testing.T) {
	ca := tlstest.New(t)
	files := ca.Issue("x")
	secret, err := os.ReadFile(files.KeyFile)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(files.KeyFile, []byte(strings.Replace(string(secret), "PRIVATE KEY", "OTHER", 1)), 0o600))
	_, err = tlsfile.Serving(files)
	assert.Assert(t, err != nil)
	for _, line := range strings.Split(string(secret), "\n")[1:3] {
		assert.Assert(t, !strings.Contains(err.Error(), line))
	}
}
