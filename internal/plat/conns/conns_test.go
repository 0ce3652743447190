package conns_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/plat/conns"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Guards against a crash of the node, or a request that hangs until its deadline, when an answer has
// no body: a status that has none, and an answer to HEAD that states a length.
func TestAnswerWithoutBody(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) {
		rc.SetStatusCode(http.StatusNoContent)
		if rc.IsHead() {
			rc.SetStatusCode(http.StatusOK)
			rc.SetBodyString("body that HEAD leaves out")
		}
	}}
	g := tasks.New(context.Background())
	g.Go("server", func(context.Context) error { return srv.Serve(ln) })
	t.Cleanup(func() {
		_ = srv.Shutdown()
		_ = g.Wait()
	})
	pool := conns.New(ln.Addr().String(), conns.Options{})
	t.Cleanup(pool.Close)
	for _, method := range []string{http.MethodDelete, http.MethodHead} {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		req := fasthttp.AcquireRequest()
		req.Header.SetMethod(method)
		req.Header.SetHost(ln.Addr().String())
		req.SetRequestURI("/")
		resp, err := pool.Do(ctx, req, time.Time{})
		if err != nil {
			t.Fatalf("%s: %v", method, err)
		}
		if body, err := io.ReadAll(resp); err != nil || len(body) != 0 {
			t.Errorf("%s: got %d bytes, %v", method, len(body), err)
		}
		resp.Close()
	}
}

// script is a server that answers each request on a connection with the next of its answers, word for word.
// After the last one it closes the connection.
type script struct {
	ln    net.Listener
	dials atomic.Int64
}

func newScript(t *testing.T, answers ...string) *script {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{ln: ln}
	g := tasks.New(context.Background())
	g.Go("accept", func(context.Context) error {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return nil //nolint:nilerr // The test has closed the listener.
			}
			s.dials.Add(1)
			g.Go("connection", func(context.Context) error {
				s.serve(nc, answers)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		_ = g.Wait()
	})
	return s
}

func (s *script) serve(nc net.Conn, answers []string) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for _, a := range answers {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		if _, err := io.WriteString(nc, a); err != nil {
			return
		}
	}
}

// get sends a request and returns the body of its answer.
func get(t *testing.T, p *conns.Pool, x conns.Exchange) (string, bool, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	x.Request = fasthttp.AcquireRequest()
	x.Request.Header.SetHost("h")
	x.Request.SetRequestURI("/")
	resp, err := p.Exchange(ctx, x)
	if err != nil {
		return "", false, err
	}
	defer resp.Close()
	b, err := io.ReadAll(resp)
	return string(b), resp.Reused(), err
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Guards against an answer to another request that is taken for the one to this request, and a connection with
// bytes that nobody asked for that is used again.
func TestForeignAnswers(t *testing.T) {
	t.Parallel()
	s := newScript(t, answer("other", "wrong")+answer("mine", "right")+answer("late", "extra"), answer("mine", "unused"))
	p := conns.New(s.ln.Addr().String(), conns.Options{})
	t.Cleanup(p.Close)
	mine := func(h *fasthttp.ResponseHeader) bool { return string(h.Peek("Id")) == "mine" }
	for range 2 {
		body, reused, err := get(t, p, conns.Exchange{Matches: mine})
		if err != nil || body != "right" || reused {
			t.Errorf("got %q, reused %v, error %v", body, reused, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against endless memory or time for a server that sends answers to requests that nobody made.
func TestOnlyForeignAnswers(t *testing.T) {
	t.Parallel()
	s := newScript(t, strings.Repeat(answer("other", "wrong"), 50))
	p := conns.New(s.ln.Addr().String(), conns.Options{})
	t.Cleanup(p.Close)
	_, _, err := get(t, p, conns.Exchange{Matches: func(*fasthttp.ResponseHeader) bool { return false }})
	if err == nil || errors.Is(err, conns.ErrNotSent) {
		t.Errorf("got %v, want an error of a request that was sent", err)
	}
}

// Guards against an answer without a length whose cut end is taken for its whole, and against the use of its
// connection after it.
func TestEndlessAnswer(t *testing.T) {
	t.Parallel()
	s := newScript(t, "HTTP/1.1 200 OK\r\n\r\npart")
	p := conns.New(s.ln.Addr().String(), conns.Options{})
	t.Cleanup(p.Close)
	req := fasthttp.AcquireRequest()
	req.Header.SetHost("h")
	resp, err := p.Do(t.Context(), req, time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(resp)
	if string(b) != "part" || err != nil || !resp.UnknownLength() {
		t.Errorf("got %q, endless %v, error %v", b, resp.UnknownLength(), err)
	}
	resp.Close()
}

// Guards against requests that meet the close of a connection which the server said it would close.
func TestKeepAlive(t *testing.T) {
	t.Parallel()
	soon := "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1, max=100\r\nContent-Length: 2\r\n\r\nok"
	s := newScript(t, soon, soon, soon)
	p := conns.New(s.ln.Addr().String(), conns.Options{})
	t.Cleanup(p.Close)
	for i, pause := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
		time.Sleep(pause)
		_, reused, err := get(t, p, conns.Exchange{})
		if want := i == 1; err != nil || reused != want {
			t.Errorf("request %d, %v after the one before: reused %v, want %v, error %v", i, pause, reused, want, err)
		}
	}
}

// Guards against more connections than a server accepts, and a request that waits for headers past its time.
func TestBounds(t *testing.T) {
	t.Parallel()
	s := newScript(t)
	slow := newSilent(t)
	p := conns.New(slow, conns.Options{MaxOpen: 1})
	t.Cleanup(p.Close)
	g := tasks.New(t.Context())
	g.Go("first", func(context.Context) error {
		begun := time.Now()
		_, _, err := get(t, p, conns.Exchange{HeaderBy: begun.Add(300 * time.Millisecond)})
		if err == nil || errors.Is(err, conns.ErrNotSent) || time.Since(begun) > 2*time.Second {
			t.Errorf("got %v after %v", err, time.Since(begun))
		}
		return nil
	})
	time.Sleep(100 * time.Millisecond)
	if _, _, err := get(t, p, conns.Exchange{}); !errors.Is(err, conns.ErrTooMany) || !errors.Is(err, conns.ErrNotSent) {
		t.Errorf("second connection: %v", err)
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	if _, _, err := get(t, conns.New(s.ln.Addr().String(), conns.Options{}), conns.Exchange{SendBy: time.Now().Add(-time.Second)}); !errors.Is(err, conns.ErrNotSent) {
		t.Errorf("sent too late: %v", err)
	}
}

// newSilent starts a server that accepts connections and never answers.
func newSilent(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

// Guards against a head that its server has not finished being taken for a whole answer.
func TestHeadCutShort(t *testing.T) {
	t.Parallel()
	heads := map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nAnswer: a\r\nContent-Length: 2\r\nX: y\r\n\r\n",
		"chunks":  "HTTP/1.1 200 OK\r\nAnswer: a\r\nTransfer-Encoding: chunked\r\nX: y\r\n\r\n",
		"neither": "HTTP/1.1 200 OK\r\nAnswer: a\r\nX: y\r\n\r\n",
		"empty":   "HTTP/1.1 200 OK\r\nAnswer: a\r\nContent-Length: 0\r\nX: y\r\n\r\n",
		"no body": "HTTP/1.1 204 No Content\r\nAnswer: a\r\nX: y\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for n := range len(head) {
				s := newScript(t, head[:n])
				pool := conns.New(s.ln.Addr().String(), conns.Options{})
				if body, _, err := get(t, pool, conns.Exchange{}); err == nil {
					t.Errorf("a head of %d of %d bytes is an answer with the body %q", n, len(head), body)
				}
				pool.Close()
			}
		})
	}
}

// Guards against the use of a connection that its server closes, or has said to close soon, because the caller of the answer has
// removed these headers, as nodes do before they pass it on: the next request is lost.
func TestConnectionEndsThoughHeadersAreRemoved(t *testing.T) {
	t.Parallel()
	for name, header := range map[string]string{"close": "Connection: close", "keep-alive": "Keep-Alive: timeout=1"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			message := "HTTP/1.1 200 OK\r\n" + header + "\r\nContent-Length: 2\r\n\r\nok"
			s := newScript(t, message, message)
			p := conns.New(s.ln.Addr().String(), conns.Options{})
			t.Cleanup(p.Close)
			for range 2 {
				req := fasthttp.AcquireRequest()
				req.Header.SetHost("h")
				resp, err := p.Do(t.Context(), req, time.Time{})
				if err != nil {
					t.Fatal(err)
				}
				resp.Header.ResetConnectionClose()
				resp.Header.Del(fasthttp.HeaderKeepAlive)
				if body, err := io.ReadAll(resp); string(body) != "ok" || err != nil || resp.Reused() {
					t.Errorf("got %q, %v, on a connection of an earlier request: %v", body, err, resp.Reused())
				}
				resp.Close()
				time.Sleep(700 * time.Millisecond)
			}
		})
	}
}
