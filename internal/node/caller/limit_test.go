package caller_test

import (
	"io"
	"net"
	"testing"
	"time"

	"geraniumhollow/internal/node/caller"
)

// Guards against closing a connection for another one when a request has just arrived on it, which its caller would lose without an
// answer.
func TestConnectionWithRequestIsNotClosedForOther(t *testing.T) {
	t.Parallel()
	var lc net.ListenConfig
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	l := caller.NewListener(ln, time.Second)
	var d net.Dialer
	client, err := d.DialContext(t.Context(), "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	served, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = served.Close() }()
	if _, err := io.WriteString(client, "GET"); err != nil {
		t.Fatal(err)
	}
	if !l.CloseIdle() {
		t.Fatal("no connection was idle")
	}
	var b [3]byte
	if n, err := io.ReadFull(served, b[:]); err != nil {
		t.Errorf("a request that has arrived: got %d bytes, error %v", n, err)
	}
	// Without a request, the wait ends.
	l.SetIdle(served)
	if !l.CloseIdle() {
		t.Fatal("no connection was idle")
	}
	if _, err := served.Read(b[:]); err == nil {
		t.Error("the wait of an idle connection did not end")
	}
}
