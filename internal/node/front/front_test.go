package front_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/front"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

// pathHandler responds according to the request path: with the request body, in two chunks, with an incomplete
// response, or not until the caller has disconnected.
type pathHandler struct{ cancelCauses chan error }

func (h *pathHandler) Handle(ctx context.Context, r *front.Request, w *front.Writer) {
	var header fasthttp.ResponseHeader
	header.SetStatusCode(fasthttp.StatusOK)
	switch string(r.Header.RequestURI()) {
	case "/pieces":
		header.SetContentLength(-1)
		w.Start(&header)
		_ = w.Write([]byte("one"))
		_ = w.Write([]byte("two"))
		_ = w.End()
	case "/part":
		header.SetContentLength(-1)
		w.Start(&header)
		_ = w.Write([]byte("one"))
		w.Abort()
	case "/short":
		header.SetContentLength(10)
		w.Start(&header)
		_ = w.Write([]byte("one"))
		_ = w.End()
	case "/panic":
		panic("broken")
	case "/panic-later":
		header.SetContentLength(-1)
		w.Start(&header)
		_ = w.Write([]byte("one"))
		panic("broken")
	case "/wait":
		<-ctx.Done()
		h.cancelCauses <- context.Cause(ctx)
		w.Abort()
	default:
		header.SetContentLength(len(r.Body))
		w.Start(&header)
		_ = w.Write(r.Body)
		_ = w.End()
	}
}

type testServer struct {
	srv     *front.Server
	handler *pathHandler
	addr    string
	// log has a JSON object per line. It is complete once the server has ended, which end waits for.
	log *bytes.Buffer
	end func()
	// idleTimeout is the idle timeout in nanoseconds.
	idleTimeout atomic.Int64
}

func newTestServer(t *testing.T, maxConns int) *testServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newTestServerOn(t, ln, maxConns)
}

func newTestServerOn(t *testing.T, ln net.Listener, maxConns int) *testServer {
	t.Helper()
	s := &testServer{handler: &pathHandler{cancelCauses: make(chan error, 1)}, addr: ln.Addr().String(), log: &bytes.Buffer{}}
	s.idleTimeout.Store(int64(600 * time.Millisecond))
	s.srv = front.New(front.Config{
		Handler: s.handler, MaxConnections: maxConns, Log: hclog.New(&hclog.LoggerOptions{Output: s.log, JSONFormat: true}),
		Limits: func() front.Limits {
			return front.Limits{HeaderBytes: 1 << 10, BodyBytes: 100, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: time.Duration(s.idleTimeout.Load())}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(ctx)
	g.Go("front", func(ctx context.Context) error { return s.srv.Run(ctx, ln) })
	s.end = func() {
		cancel()
		_ = g.Wait()
	}
	t.Cleanup(s.end)
	return s
}

// dial opens a connection that is closed at the end of the test.
func (s *testServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", s.addr)
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

// exchange sends a request and reads its response.
func exchange(t *testing.T, nc net.Conn, br *bufio.Reader) {
	t.Helper()
	send(t, nc, "GET /pieces HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
}

// Guards against accepting requests that are too large, too slow or ambiguous, and against closing their connections
// without a response.
func TestLimits(t *testing.T) {
	t.Parallel()
	s := newTestServer(t, 0)
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
			nc, br := s.dial(t)
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

// Guards against a body that stops to arrive and is refused as malformed, or not at all.
func TestBodyStops(t *testing.T) {
	t.Parallel()
	s := newTestServer(t, 0)
	for _, body := range []string{
		"", "3", "3\r", "3\r\n", "3\r\nabc", "3\r\nabc\r", "3\r\nabc\r\n", "3\r\nabc\r\n0", "3\r\nabc\r\n0\r", "3\r\nabc\r\n0\r\n",
		"3\r\nabc\r\n0\r\n\r",
	} {
		t.Run(strconv.Quote(body), func(t *testing.T) {
			t.Parallel()
			nc, br := s.dial(t)
			send(t, nc, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+body)
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusRequestTimeout {
				t.Errorf("got %d", resp.StatusCode)
			}
		})
	}
}

// Guards against connections that are closed after one response, are never closed, or lack Connection: close in their
// last response.
func TestKeepAlive(t *testing.T) {
	t.Parallel()
	s := newTestServer(t, 0)
	nc, br := s.dial(t)
	for i, last := range []bool{false, false, true} {
		if last {
			s.srv.CloseAfterResponse()
		}
		send(t, nc, "GET /pieces HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if string(body) != "onetwo" || err != nil || resp.Close != last {
			t.Errorf("response %d: %q, closes %v, want %v, error %v", i, body, resp.Close, last, err)
		}
	}
	if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last response: %v", err)
	}
	idle, _ := s.dial(t)
	begun := time.Now()
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || time.Since(begun) < 500*time.Millisecond {
		t.Errorf("a connection without requests ended with %v after %v", err, time.Since(begun))
	}
}

// Guards against connections that the server closes without saying why in its log.
func TestCloseReasons(t *testing.T) {
	t.Parallel()
	s := newTestServer(t, 0)
	for _, request := range []string{
		"", "GET /part HTTP/1.1\r\nHost: h\r\n\r\n", "GET /pieces HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "GET /\r\n\r\n",
	} {
		nc, _ := s.dial(t)
		send(t, nc, request)
		_, _ = io.Copy(io.Discard, nc)
	}
	left, _ := s.dial(t)
	_ = left.Close()
	last, _ := s.dial(t)
	send(t, last, "GET /pieces HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n")
	_, _ = io.Copy(io.Discard, last)
	open, br := s.dial(t)
	exchange(t, open, br)
	s.end()
	got := map[string]int{}
	for line := range bytes.Lines(s.log.Bytes()) {
		var entry struct {
			Message  string `json:"@message"`
			Reason   string `json:"reason"`
			Requests int    `json:"requests"`
		}
		if err := json.Unmarshal(line, &entry); err != nil {
			t.Fatal(err)
		}
		if entry.Message == "closing a caller's connection" {
			got[entry.Reason] += 1 + entry.Requests
		}
	}
	want := map[string]int{"idle": 1, "incomplete response": 2, "last response": 2, "request cannot be read": 1, "server ended": 2}
	if !maps.Equal(got, want) {
		t.Errorf("got %v, want %v in\n%s", got, want, s.log)
	}
}

// Guards against closing a connection that has been idle for less than the current configuration allows.
func TestIdleTimeoutIsExtended(t *testing.T) {
	t.Parallel()
	s := newTestServer(t, 0)
	fresh, freshReader := s.dial(t)
	used, usedReader := s.dial(t)
	exchange(t, used, usedReader)
	s.idleTimeout.Store(int64(1500 * time.Millisecond))
	time.Sleep(time.Second)
	exchange(t, fresh, freshReader)
	exchange(t, used, usedReader)
	begun := time.Now()
	if _, err := used.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || time.Since(begun) > 2*time.Second {
		t.Errorf("the idle connection ended with %v after %v", err, time.Since(begun))
	}
}

// Guards against an incomplete response that looks complete to its caller.
func TestIncompleteResponse(t *testing.T) {
	t.Parallel()
	s := newTestServer(t, 0)
	for _, path := range []string{"/part", "/short"} {
		nc, br := s.dial(t)
		send(t, nc, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%s: %q looks complete", path, body)
		}
		_ = resp.Body.Close()
	}
}

// Guards against a response to an HTTP/1.0 request that claims to be chunked, or that is incomplete and ends as a complete one does.
func TestHTTP10(t *testing.T) {
	t.Parallel()
	s := newTestServer(t, 0)
	for path, whole := range map[string]bool{"/pieces": true, "/part": false} {
		nc, br := s.dial(t)
		send(t, nc, "GET "+path+" HTTP/1.0\r\nHost: h\r\n\r\n")
		got, err := io.ReadAll(br)
		if bytes.Contains(got, []byte("Transfer-Encoding")) || (err == nil) != whole {
			t.Errorf("%s: got %q, error %v, want complete %v", path, got, err, whole)
		}
	}
}

// Guards against a request that arrives just before the server ends and is then cut without an answer.
func TestCancelsRequestsThatArriveLate(t *testing.T) {
	t.Parallel()
	s := newTestServer(t, 0)
	nc, _ := s.dial(t)
	send(t, nc, "GET /wait HTTP/1.1\r\n")
	time.Sleep(50 * time.Millisecond)
	s.srv.CancelUnanswered()
	send(t, nc, "Host: h\r\n\r\n")
	select {
	case cause := <-s.handler.cancelCauses:
		if !errors.Is(cause, front.ErrServerEnds) {
			t.Errorf("the request ended with %v", cause)
		}
	case <-time.After(2 * time.Second):
		t.Error("the request was not cancelled")
	}
}

// Guards against a panic in one request that ends the requests of all callers.
func TestPanicEndsOneRequest(t *testing.T) {
	t.Parallel()
	s := newTestServer(t, 0)
	kept, keptReader := s.dial(t)
	exchange(t, kept, keptReader)
	for path, status := range map[string]int{"/panic": http.StatusInternalServerError, "/panic-later": http.StatusOK} {
		nc, br := s.dial(t)
		send(t, nc, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != status || !resp.Close && err == nil {
			t.Errorf("%s: got %d, error %v", path, resp.StatusCode, err)
		}
		exchange(t, kept, keptReader)
	}
}

// Guards against handling a request further after its caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	s := newTestServer(t, 0)
	nc, _ := s.dial(t)
	send(t, nc, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	_ = nc.Close()
	select {
	case cause := <-s.handler.cancelCauses:
		if !errors.Is(cause, front.ErrCallerDisconnected) {
			t.Errorf("the request ended with %v", cause)
		}
	case <-time.After(2 * time.Second):
		t.Error("the request was not cancelled")
	}
}

// Guards against a drain that cancels running requests or waits for idle connections.
func TestDrain(t *testing.T) {
	t.Parallel()
	s := newTestServer(t, 0)
	waiting, _ := s.dial(t)
	send(t, waiting, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	idle, _ := s.dial(t)
	for end := time.Now().Add(2 * time.Second); s.srv.ActiveRequests() < 1 || s.srv.OpenConnections() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connections are not accepted")
		}
	}
	s.srv.Drain()
	begun := time.Now()
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || time.Since(begun) > 300*time.Millisecond {
		t.Errorf("the idle connection ended with %v after %v", err, time.Since(begun))
	}
	if s.srv.ActiveRequests() != 1 {
		t.Errorf("%d requests are being handled, want 1", s.srv.ActiveRequests())
	}
	if _, err := net.Dial("tcp", s.addr); err == nil {
		t.Error("a draining server accepts a connection")
	}
}

// Guards against a drain that ends requests that are still arriving, or that waits for one that has stopped to arrive.
func TestDrainReadsArrivingRequests(t *testing.T) {
	t.Parallel()
	const request = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n"
	for arrived := range len(request) {
		t.Run(strconv.Itoa(arrived), func(t *testing.T) {
			t.Parallel()
			s := newTestServer(t, 0)
			goesOn, br := s.dial(t)
			stops, stopsReader := s.dial(t)
			for _, nc := range []net.Conn{goesOn, stops} {
				exchange(t, nc, map[net.Conn]*bufio.Reader{goesOn: br, stops: stopsReader}[nc])
				send(t, nc, request[:arrived])
			}
			time.Sleep(50 * time.Millisecond)
			s.srv.Drain()
			if arrived == 0 {
				if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
					t.Errorf("the idle connection ended with %v", err)
				}
				return
			}
			time.Sleep(50 * time.Millisecond)
			send(t, goesOn, request[arrived:])
			for br, want := range map[*bufio.Reader]int{br: http.StatusOK, stopsReader: http.StatusRequestTimeout} {
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode != want || err != nil || !resp.Close || (want == http.StatusOK) != (string(body) == "ok") {
					t.Errorf("got %d %q, closes %v, error %v, want %d", resp.StatusCode, body, resp.Close, err, want)
				}
			}
		})
	}
}

// pausingListener accepts connections whose reads wait until run is closed, as if the process did not run.
type pausingListener struct {
	net.Listener
	run chan struct{}
}

func (l pausingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nil, errors.Newf("connection is a %T", nc)
	}
	return pausingConn{tcp, l.run}, nil
}

type pausingConn struct {
	*net.TCPConn
	run chan struct{}
}

func (c pausingConn) Read(b []byte) (int, error) {
	<-c.run
	return c.TCPConn.Read(b)
}

// Guards against closing a connection as idle when a request arrived in time and the process has not read it yet.
func TestRequestArrivedBeforeClose(t *testing.T) {
	t.Parallel()
	for name, drains := range map[string]bool{"drain": true, "idle": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			run := make(chan struct{})
			s := newTestServerOn(t, pausingListener{ln, run}, 0)
			nc, br := s.dial(t)
			send(t, nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
			for s.srv.OpenConnections() == 0 {
				time.Sleep(time.Millisecond)
			}
			if drains {
				s.srv.Drain()
			} else {
				time.Sleep(700 * time.Millisecond)
			}
			close(run)
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err != nil || string(body) != "ok" {
				t.Errorf("got %d %q, error %v", resp.StatusCode, body, err)
			}
		})
	}
}

// Guards against closing a connection that was opened for a request that has not arrived yet when the server drains.
func TestNewConnectionAtDrain(t *testing.T) {
	t.Parallel()
	s := newTestServer(t, 0)
	nc, br := s.dial(t)
	for s.srv.OpenConnections() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.srv.Drain()
	time.Sleep(50 * time.Millisecond)
	send(t, nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "ok" {
		t.Errorf("got %d %q, error %v", resp.StatusCode, body, err)
	}
	_ = resp.Body.Close()
}

// lateListener accepts connections only after run is closed, as if the process did not run.
type lateListener struct {
	*net.TCPListener
	waiting, run chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	select {
	case l.waiting <- struct{}{}:
	default:
	}
	<-l.run
	return l.TCPListener.Accept() //nolint:wrapcheck // net.Listener: the server compares the error.
}

// Guards against a drain that resets connections which the server has not accepted yet.
func TestDrainAcceptsQueuedConnections(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		t.Fatalf("listener is a %T", ln)
	}
	waiting, run := make(chan struct{}, 1), make(chan struct{})
	s := newTestServerOn(t, lateListener{tcp, waiting, run}, 0)
	<-waiting
	readers := make([]*bufio.Reader, 3)
	for i := range readers {
		var nc net.Conn
		nc, readers[i] = s.dial(t)
		send(t, nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
	}
	drained := make(chan struct{})
	g := tasks.New(t.Context())
	g.Go("drain", func(context.Context) error {
		s.srv.Drain()
		close(drained)
		return nil
	})
	time.Sleep(50 * time.Millisecond)
	close(run)
	for i, br := range readers {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Errorf("connection %d: %v", i, err)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK || string(body) != "ok" || err != nil || !resp.Close {
			t.Errorf("connection %d: got %d %q, closes %v, error %v", i, resp.StatusCode, body, resp.Close, err)
		}
	}
	<-drained
	if _, err := net.Dial("tcp", s.addr); err == nil {
		t.Error("a draining server accepts a connection")
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}

// Guards against accepting more than MaxConnections.
func TestMaxConnections(t *testing.T) {
	t.Parallel()
	s := newTestServer(t, 2)
	for i := range 4 {
		nc, br := s.dial(t)
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

// causeHandler begins a response and reports the cause that ends its request.
type causeHandler struct{ causes chan error }

func (h causeHandler) Handle(ctx context.Context, _ *front.Request, w *front.Writer) {
	header := fasthttp.ResponseHeader{}
	header.SetContentLength(-1)
	w.Start(&header)
	_ = w.Write([]byte("one"))
	<-ctx.Done()
	h.causes <- context.Cause(ctx)
	w.Abort()
}

// Guards against taking the end of the server for a disconnect of its callers.
func TestEndIsNoDisconnect(t *testing.T) {
	t.Parallel()
	const callers = 200
	h := causeHandler{make(chan error, callers)}
	srv := front.New(front.Config{Handler: h, Limits: func() front.Limits { return front.Limits{} }, Log: hclog.NewNullLogger()})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := tasks.New(ctx)
	g.Go("front", func(ctx context.Context) error { return srv.Run(ctx, ln) })
	for range callers {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
		send(t, nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		if _, err := nc.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	cancel()
	wrong := 0
	for range callers {
		if errors.Is(<-h.causes, front.ErrCallerDisconnected) {
			wrong++
		}
	}
	if err := g.Wait(); err != nil || wrong > 0 {
		t.Errorf("%d requests ended as if their callers had left, error %v", wrong, err)
	}
}
