package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/front"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

// handle answers by the path of a request: with its body, with two pieces, with a part, or when the caller has
// left.
type handle struct{ left chan error }

func (h *handle) Handle(ctx context.Context, r *front.Request, w *front.Writer) {
	var ans fasthttp.ResponseHeader
	ans.SetStatusCode(fasthttp.StatusOK)
	switch string(r.Header.RequestURI()) {
	case "/pieces":
		ans.SetContentLength(-1)
		w.Begin(&ans)
		_ = w.Write([]byte("one"))
		_ = w.Write([]byte("two"))
		_ = w.End()
	case "/part":
		ans.SetContentLength(-1)
		w.Begin(&ans)
		_ = w.Write([]byte("one"))
		w.Abort()
	case "/short":
		ans.SetContentLength(10)
		w.Begin(&ans)
		_ = w.Write([]byte("one"))
		_ = w.End()
	case "/wait":
		<-ctx.Done()
		h.left <- context.Cause(ctx)
		w.Abort()
	default:
		ans.SetContentLength(len(r.Body))
		w.Begin(&ans)
		_ = w.Write(r.Body)
		_ = w.End()
	}
}

type bed struct {
	srv  *front.Server
	h    *handle
	addr string
}

func newBed(t *testing.T, most int) *bed {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{h: &handle{left: make(chan error, 1)}, addr: ln.Addr().String()}
	b.srv = front.New(front.Config{
		Handler: b.h, MaxConnections: most, Log: hclog.NewNullLogger(),
		Limits: func() front.Limits {
			return front.Limits{HeaderBytes: 1 << 10, BodyBytes: 100, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 600 * time.Millisecond}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(ctx)
	g.Go("front", func(ctx context.Context) error { return b.srv.Run(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return b
}

// dial opens a connection that ends with the test.
func (b *bed) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", b.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	if err := nc.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return nc, bufio.NewReader(nc)
}

func send(t *testing.T, nc net.Conn, req string) {
	t.Helper()
	if _, err := io.WriteString(nc, req); err != nil {
		t.Fatal(err)
	}
}

// Guards against callers that send too much, too slowly or what can be read in two ways, and are served, or are
// closed without an answer.
func TestLimits(t *testing.T) {
	t.Parallel()
	b := newBed(t, 0)
	tests := map[string]struct {
		request string
		status  int
	}{
		"whole":            {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok", 200},
		"chunks":           {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200},
		"large header":     {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2<<10) + "\r\n\r\n", 431},
		"large body":       {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", 413},
		"large chunks":     {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n" + strings.Repeat("x", 255) + "\r\n0\r\n\r\n", 413},
		"slow header":      {"GET / HTTP/1.1\r\nHost: h\r\n", 408},
		"length and chunk": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 400},
		"no request":       {"these are no HTTP\r\n\r\n", 400},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nc, br := b.dial(t)
			send(t, nc, tt.request)
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err != nil || resp.StatusCode != tt.status {
				t.Errorf("got %d %q, error %v, want %d", resp.StatusCode, body, err, tt.status)
			}
			if tt.status == 200 && string(body) != "ok" {
				t.Errorf("got body %q", body)
			}
		})
	}
}

// Guards against connections that are closed after one answer, kept for ever, or not marked as the last.
func TestKeptConnection(t *testing.T) {
	t.Parallel()
	b := newBed(t, 0)
	nc, br := b.dial(t)
	for i, last := range []bool{false, false, true} {
		if last {
			b.srv.AnswerLast()
		}
		send(t, nc, "GET /pieces HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if string(body) != "onetwo" || err != nil || resp.Close != last {
			t.Errorf("answer %d: %q, closes %v, want %v, error %v", i, body, resp.Close, last, err)
		}
	}
	if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last answer: %v", err)
	}
	idle, _ := b.dial(t)
	begun := time.Now()
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || time.Since(begun) < 500*time.Millisecond {
		t.Errorf("a connection without requests ended with %v after %v", err, time.Since(begun))
	}
}

// Guards against an incomplete answer that looks whole to its caller.
func TestBrokenAnswer(t *testing.T) {
	t.Parallel()
	b := newBed(t, 0)
	for _, path := range []string{"/part", "/short"} {
		nc, br := b.dial(t)
		send(t, nc, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%s: %q looks whole", path, body)
		}
		_ = resp.Body.Close()
	}
}

// Guards against work that goes on for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	t.Parallel()
	b := newBed(t, 0)
	nc, _ := b.dial(t)
	send(t, nc, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	_ = nc.Close()
	select {
	case cause := <-b.h.left:
		if !errors.Is(cause, front.ErrCallerGone) {
			t.Errorf("the request ended with %v", cause)
		}
	case <-time.After(2 * time.Second):
		t.Error("the request goes on")
	}
}

// Guards against a stop that cuts an answer, or that waits for connections without a request.
func TestDrain(t *testing.T) {
	t.Parallel()
	b := newBed(t, 0)
	waiting, _ := b.dial(t)
	send(t, waiting, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	idle, _ := b.dial(t)
	time.Sleep(50 * time.Millisecond)
	b.srv.Drain()
	begun := time.Now()
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || time.Since(begun) > 300*time.Millisecond {
		t.Errorf("the idle connection ended with %v after %v", err, time.Since(begun))
	}
	if b.srv.Busy() != 1 {
		t.Errorf("%d requests are answered, want 1", b.srv.Busy())
	}
	if _, err := net.Dial("tcp", b.addr); err == nil {
		t.Error("a stopping server takes a connection")
	}
}

// Guards against connections without a bound.
func TestMaxConnections(t *testing.T) {
	t.Parallel()
	b := newBed(t, 2)
	for i := range 4 {
		nc, br := b.dial(t)
		_, _ = fmt.Fprint(nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
		resp, err := http.ReadResponse(br, nil)
		if served := err == nil; served != (i < 2) {
			t.Errorf("connection %d: served %v (%v)", i, served, err)
		}
		if err == nil {
			_ = resp.Body.Close()
		}
	}
}
