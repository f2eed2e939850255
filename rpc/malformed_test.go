package rpc

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
)

// answerHello starts a peer that answers the hello of one connection with the bytes that frame
// returns for the reply, and closes the connection. It returns the peer's address.
func answerHello(t *testing.T, frame func(reply string) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		var hello jsonrpc2.Request
		if err := (jsonrpc2.VSCodeObjectCodec{}).ReadObject(bufio.NewReader(conn), &hello); err != nil {
			return
		}
		reply, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": hello.ID, "result": HelloReply{Key: "k"}})
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, frame(string(reply)))
	}()
	return l.Addr().String()
}

// TestMalformedReplyOfPeerIsAccepted has a peer frame its reply in ways that the protocol does not
// allow, or end within it.
func TestMalformedReplyOfPeerIsAccepted(t *testing.T) {
	frame := func(name string) func(string) string {
		return func(reply string) string { return fmt.Sprintf("%s: %d\r\n\r\n%s", name, len(reply), reply) }
	}
	local := Local{Key: "k", OnError: func(string, string) {}}
	peer, err := Dial(t.Context(), answerHello(t, frame("Content-Length")), local, NewHandlers())
	assert.NilError(t, err)
	_ = peer.Close()
	for name, framed := range map[string]func(string) string{
		"blank before colon": frame("Content-Length "),
		"control byte":       frame("Content-Length\x01"),
		"no length":          func(reply string) string { return "\r\n" + reply },
		"cut":                func(reply string) string { return strings.TrimSuffix(frame("Content-Length")(reply), "}") },
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Dial(t.Context(), answerHello(t, framed), local, NewHandlers())
			assert.Assert(t, fault.Is(err, fault.KindUnavailable), "%v", err)
		})
	}
}
