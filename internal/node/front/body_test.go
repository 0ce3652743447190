package front_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/route/shed"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

// parserBody returns what the parser reads of a chunked body.
func parserBody(raw string, limit int) ([]byte, error) {
	br := bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + raw))
	var req fasthttp.Request
	if err := req.Header.Read(br); err != nil {
		return nil, err
	}
	err := req.ContinueReadBody(br, limit, false)
	return req.Body(), err
}

// Guards against chunked bodies that are read otherwise than by the parser that nodes and servers use for everything else, which
// would let a caller smuggle requests, however the bytes are split into reads. It is not parallel, as it uses much processor time.
func TestChunkedBodiesAreReadAsByParser(t *testing.T) { //nolint:paralleltest // See above.
	const limit = 100
	fixed := []string{
		"0\r\n\r\n", "1\r\na\r\n0\r\n\r\n", "A\r\n0123456789\r\n0\r\n\r\n", "00a\r\n0123456789\r\n0\r\n\r\n", "1;x=y\r\na\r\n0\r\n\r\n",
		"1 \r\na\r\n0\r\n\r\n", "1 x\r\na\r\n0\r\n\r\n", "1 ;x\r\na\r\n0\r\n\r\n", "1\na\n0\n\n", "1\r\nab\r\n0\r\n\r\n", "2\r\na\r\n0\r\n\r\n", "-1\r\na\r\n",
		"0x1\r\na\r\n0\r\n\r\n", "\r\n", "", "1", "1\r", "1\r\n", "1\r\na", "1\r\na\r", "1\r\na\r\n", "1\r\na\r\n0\r\n", "64\r\n" + strings.Repeat("x", 100) + "\r\n0\r\n\r\n",
		"65\r\n" + strings.Repeat("x", 101) + "\r\n0\r\n\r\n", strings.Repeat("1\r\nx\r\n", 100) + "0\r\n\r\n", strings.Repeat("1\r\nx\r\n", 101) + "0\r\n\r\n",
		"ffffffffffffff\r\n", "fffffffffffffffff\r\n", "1\r\na\r\n0\r\nTrailer: x\r\n\r\n", "1\r\na\r\n0\r\nbad trailer\r\n\r\n", "1\rx\na\r\n0\r\n\r\n",
		"1;" + strings.Repeat("x", 17<<10) + "\r\na\r\n0\r\n\r\n", "1;a\nb\r\na\r\n0\r\n\r\n",
	}
	for _, raw := range fixed {
		compareChunked(t, raw, limit, true)
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	const alphabet = "0123aAfF\r\n\r\n; \tx"
	for range 3000 {
		raw := []byte(fixed[rnd.IntN(len(fixed))])
		for range 1 + rnd.IntN(2) {
			if len(raw) > 0 {
				raw[rnd.IntN(len(raw))] = alphabet[rnd.IntN(len(alphabet))]
			}
		}
		compareChunked(t, string(raw), limit, false)
	}
}

// maxSplit is the length of a body up to which reads of single bytes are not slowed down.
const maxSplit = 60

// compareChunked compares how a chunked body is read, as a whole and in single bytes, with how the parser reads it.
func compareChunked(t *testing.T, raw string, limit int, split bool) {
	t.Helper()
	want, wantErr := parserBody(raw, limit)
	readers := []io.Reader{strings.NewReader(raw)}
	if split && len(raw) <= maxSplit {
		readers = append(readers, iotest.OneByteReader(strings.NewReader(raw)))
	}
	for i, in := range readers {
		got, err := front.ReadChunked(bufio.NewReader(in), limit)
		if (err == nil) != (wantErr == nil) || err == nil && !bytes.Equal(got, want) {
			t.Fatalf("reader %d, %.80q: got %q, error %v, want %q, error %v", i, raw, got, err, want, wantErr)
		}
	}
}

// keyHandler refuses requests without a key by their header.
type keyHandler struct{ pathHandler }

func (h *keyHandler) RefuseByHeader(r *front.Request, w *front.Writer) bool {
	if len(r.Header.Peek("Key")) > 0 {
		return false
	}
	if len(r.Header.Peek("Panic")) > 0 {
		panic("header")
	}
	w.Refuse(fasthttp.StatusUnauthorized, nil, nil)
	return true
}

// newKeyServer starts a server with a budget for bodies and returns its address.
func newKeyServer(t *testing.T, maxConns, bodies int) (*front.Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := front.New(front.Config{
		Handler: &keyHandler{}, MaxConnections: maxConns, Bodies: shed.New(bodies), Log: hclog.NewNullLogger(),
		Limits: func() front.Limits { return front.Limits{BodyBytes: 1 << 20, IdleTimeout: 20 * time.Second} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(ctx)
	g.Go("front", func(ctx context.Context) error { return srv.Run(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return srv, ln.Addr().String()
}

// begin opens a connection and sends the start of a request.
func begin(t *testing.T, addr, part string) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	if err := nc.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	send(t, nc, part)
	return nc, bufio.NewReader(nc)
}

// readStatus reads a response and returns its status and whether the connection is closed after it.
func readStatus(t *testing.T, br *bufio.Reader) (int, bool, http.Header) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Close, resp.Header
}

// Guards against reading the body of a request that its header already decides, and against losing a connection on which the rest of
// such a request is short.
func TestRefusedByHeader(t *testing.T) {
	t.Parallel()
	_, addr := newKeyServer(t, 0, 0)
	for _, head := range []string{"Transfer-Encoding: chunked", "Content-Length: 100000", "Content-Length: 5\r\nExpect: 100-continue"} {
		nc, br := begin(t, addr, "POST / HTTP/1.1\r\nHost: h\r\n"+head+"\r\n\r\n")
		if status, closes, _ := readStatus(t, br); status != http.StatusUnauthorized || !closes {
			t.Errorf("%s: got %d, closes %v", head, status, closes)
		}
		_ = nc.Close()
	}
	nc, br := begin(t, addr, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n")
	if status, closes, _ := readStatus(t, br); status != http.StatusUnauthorized || closes {
		t.Errorf("short body: got %d, closes %v", status, closes)
	}
	send(t, nc, "12345POST / HTTP/1.1\r\nHost: h\r\nKey: k\r\nContent-Length: 2\r\n\r\nok")
	if status, _, _ := readStatus(t, br); status != http.StatusOK {
		t.Errorf("the next request got %d", status)
	}
}

// Guards against refusing a body within the limits because it comes in tiny chunks, at once or slowly.
func TestTinyChunksAreServed(t *testing.T) {
	t.Parallel()
	_, addr := newKeyServer(t, 0, 0)
	const head = "POST / HTTP/1.1\r\nHost: h\r\nKey: k\r\nTransfer-Encoding: chunked\r\n\r\n"
	_, br := begin(t, addr, head+strings.Repeat("1\r\nx\r\n", 200_000)+"0\r\n\r\n")
	if status, _, _ := readStatus(t, br); status != http.StatusOK {
		t.Errorf("many tiny chunks got %d", status)
	}
	nc, br := begin(t, addr, head)
	for range 150 {
		send(t, nc, "1\r\nx\r\n")
		time.Sleep(5 * time.Millisecond)
	}
	send(t, nc, "0\r\n\r\n")
	if status, _, _ := readStatus(t, br); status != http.StatusOK {
		t.Errorf("slow tiny chunks got %d", status)
	}
}

// Guards against bodies that stall and keep the memory from one that arrives, and against a refusal of theirs without a time to come
// back.
func TestStalledBodyGivesWay(t *testing.T) {
	t.Parallel()
	const size = 300 << 10
	_, addr := newKeyServer(t, 0, 800<<10)
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nKey: k\r\nContent-Length: %d\r\n\r\n", size)
	_, stalled := begin(t, addr, head+strings.Repeat("x", size-1))
	_, _ = begin(t, addr, head+strings.Repeat("x", size/2))
	time.Sleep(1200 * time.Millisecond)
	_, br := begin(t, addr, head+strings.Repeat("x", size))
	if status, _, _ := readStatus(t, br); status != http.StatusOK {
		t.Errorf("a body that arrives got %d", status)
	}
	if status, closes, h := readStatus(t, stalled); status != http.StatusServiceUnavailable || !closes || h.Get("Retry-After") == "" {
		t.Errorf("the stalled body got %d, closes %v, header %v", status, closes, h)
	}
}

// Guards against a connection that is refused while others are idle, and against closing others than the one that is idle for longest.
func TestIdleConnectionIsClosedForNewOne(t *testing.T) {
	t.Parallel()
	const limit = 16
	srv, addr := newKeyServer(t, limit, 0)
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	var conns [limit]net.Conn
	var readers [limit]*bufio.Reader
	for i := range limit {
		conns[i], readers[i] = begin(t, addr, request)
		readStatus(t, readers[i])
		for srv.ActiveRequests() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	_, br := begin(t, addr, request)
	if status, _, _ := readStatus(t, br); status != http.StatusOK {
		t.Errorf("the new connection got %d", status)
	}
	if _, err := readers[0].ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection that was idle for longest ended with %v", err)
	}
	for srv.OpenConnections() > limit {
		time.Sleep(time.Millisecond) // The closed one is still counted for a moment.
	}
	for i := 1; i < limit; i++ {
		send(t, conns[i], request)
		if status, _, _ := readStatus(t, readers[i]); status != http.StatusOK {
			t.Errorf("connection %d got %d", i, status)
		}
	}
}

// Guards against a panic for the header of one request that ends the server.
func TestPanicForHeader(t *testing.T) {
	t.Parallel()
	_, addr := newKeyServer(t, 0, 0)
	other, otherReader := begin(t, addr, "POST / HTTP/1.1\r\n")
	_, br := begin(t, addr, "POST / HTTP/1.1\r\nHost: h\r\nPanic: 1\r\nContent-Length: 5\r\n\r\n")
	if status, closes, _ := readStatus(t, br); status != http.StatusInternalServerError || !closes {
		t.Errorf("got %d, closes %v", status, closes)
	}
	send(t, other, "Host: h\r\nKey: k\r\nContent-Length: 2\r\n\r\nok")
	if status, _, _ := readStatus(t, otherReader); status != http.StatusOK {
		t.Errorf("another request got %d", status)
	}
}
