package rpc

import (
	"crypto/subtle"
	"crypto/tls"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Local describes this process to its peers.
type Local struct {
	Identity      Identity
	Key           string        // deployment key
	Open          bool          // the deployment has no key; Key is empty then
	ConfigVersion func() uint64 // version in force now
	Servers       func() int    // backend servers known now; nil tells none
	TLS           *tls.Config   // nil for plain TCP
	Silence       time.Duration // unanswered data or probes end a connection after it; 0 leaves it to the system
	// OnError is told why a connection ended that was not closed properly. With
	// nil, that is written to the standard error output.
	OnError func(peer, reason string)
}

// acceptsKey reports whether a peer that shows the key belongs to the deployment.
// A deployment without a key is open only if its settings say so: a key that
// was left out by mistake admits nobody.
func (l Local) acceptsKey(key string) bool {
	if l.Key == "" {
		return l.Open && key == ""
	}
	return subtle.ConstantTimeCompare([]byte(key), []byte(l.Key)) == 1
}

func (l Local) configVersion() uint64 {
	if l.ConfigVersion == nil {
		return 0
	}
	return l.ConfigVersion()
}

func (l Local) serverCount() int {
	if l.Servers == nil {
		return 0
	}
	return l.Servers()
}

// errorLogger hands on the messages of package jsonrpc2.
type errorLogger struct {
	address string
	onError func(peer, reason string)
}

// Printf is called once for each error of a connection.
func (e errorLogger) Printf(format string, v ...any) {
	e.onError(e.address, strings.TrimSpace(fmt.Sprintf(format, v...)))
}

func (l Local) logger(conn net.Conn) jsonrpc2.ConnOpt {
	if l.OnError == nil {
		return nil
	}
	return jsonrpc2.SetLogger(errorLogger{address: conn.RemoteAddr().String(), onError: l.OnError})
}
