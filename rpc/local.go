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

// Local is the identity, credentials and connection settings of this process.
type Local struct {
	Identity      Identity
	Key           string        // deployment key
	Open          bool          // allow peers without a key; only has an effect if Key is empty
	ConfigVersion func() uint64 // returns the active version
	Servers       func() int    // returns the number of known backend servers; nil means 0
	TLS           *tls.Config   // nil for plain TCP
	// DeadPeerTimeout is how long sent data or keep-alive probes may be unacknowledged before
	// a connection is closed. 0 means the system's default.
	DeadPeerTimeout time.Duration
	// OnError is called with the reason if a connection ends with an error. If it
	// is nil, the reason is written to standard error.
	OnError func(peer, reason string)
}

// acceptsKey reports whether key is the deployment key. Without a deployment key,
// peers are only accepted if Open is set, so that a key missing by mistake does not
// open the deployment to everyone.
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

// errorLogger passes the log messages of package jsonrpc2 to a callback.
type errorLogger struct {
	address string
	onError func(peer, reason string)
}

// Printf implements jsonrpc2.Logger. It is called once per connection error.
func (e errorLogger) Printf(format string, v ...any) {
	e.onError(e.address, strings.TrimSpace(fmt.Sprintf(format, v...)))
}

func (l Local) logger(conn net.Conn) jsonrpc2.ConnOpt {
	if l.OnError == nil {
		return nil
	}
	return jsonrpc2.SetLogger(errorLogger{address: conn.RemoteAddr().String(), onError: l.OnError})
}
