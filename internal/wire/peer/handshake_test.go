package peer_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/noise"
	"github.com/cockroachdb/errors"
)

// Guards against a process at the address of a node whose handshake has no end and is kept until the node has no memory left.
func TestHandshakeWithoutEnd(t *testing.T) {
	const mostSent, mostTaken = 256 << 20, 4 << 10
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	field := "Odd: " + strings.Repeat("x", 64<<10) + "\r\n"
	var accepted atomic.Bool
	sent := 0
	g := tasks.New(t.Context())
	g.Go("flood", func(context.Context) error {
		nc, err := ln.Accept()
		if err != nil {
			return errors.Newf("accept: %w", err)
		}
		accepted.Store(true)
		defer func() { _ = nc.Close() }()
		part := "HTTP/1.1 101 Switching Protocols\r\n"
		for ; sent < mostSent; part = field {
			n, err := io.WriteString(nc, part)
			if sent += n; err != nil {
				return nil // The node has closed the connection.
			}
		}
		return nil
	})
	f := newFleet(t)
	f.addrs["b"] = ln.Addr().String()
	a, _ := f.start("a", "1")
	eventually(t, "flood", func() bool {
		if _, err := ask(a, "b", 5*time.Second); err == nil {
			t.Error("a process that is no node has answered")
		}
		return accepted.Load()
	})
	_ = ln.Close()
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	if int64(sent) > mostTaken+noise.Buffered(t) {
		t.Errorf("%d bytes were taken", sent)
	}
}
