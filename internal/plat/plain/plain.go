// Package plain is the client of one backend server of a plain service. It tells a call that provably
// did not start from one that may have run.
package plain

import (
	"context"
	"io"
	"time"

	"geraniumhollow/internal/plat/conns"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// HeaderNotStarted is set on an answer that states that the call did not start.
const HeaderNotStarted = "X-Not-Started"

// Errors of a call. Any other error leaves open whether the call ran.
var (
	// ErrNotStarted marks proof that the backend server did not start the call.
	ErrNotStarted = errors.New("call not started")
	// ErrTooLarge means that the call ran and its answer is larger than the bound.
	ErrTooLarge = errors.New("answer is too large")
)

// Header is one header field.
type Header struct {
	Name  string
	Value string
}

// Request is one call.
type Request struct {
	Method string
	// URI is the path with the query, percent-encoded.
	URI     string
	Headers []Header
	Body    []byte
	// FreshConnection sends the call on a connection of its own. A kept connection may have been closed by a
	// restart of the server, which leaves open whether the call ran.
	FreshConnection bool
}

// Answer is the whole answer of a call.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client calls one backend server. It is safe for concurrent use.
type Client struct {
	addr  string
	kept  *conns.Pool
	fresh *conns.Pool
}

// New returns a client of the backend server at addr, an IP and port.
func New(addr string) *Client {
	return &Client{
		addr: addr,
		kept: conns.New(addr, conns.Options{}),
		// Connections of this pool are never old enough to be used again.
		fresh: conns.New(addr, conns.Options{IdleTimeout: time.Nanosecond, MaxIdle: 1}),
	}
}

// Close closes the waiting connections; later calls fail.
func (c *Client) Close() {
	c.kept.Close()
	c.fresh.Close()
}

// Call sends r and returns the whole answer, whose body has at most maxBytes. The call ends with ctx.
func (c *Client) Call(ctx context.Context, r Request, maxBytes int) (Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.fill(req, r)
	pool := c.kept
	if r.FreshConnection {
		pool = c.fresh
	}
	resp, err := pool.Do(ctx, req, time.Time{})
	if err != nil {
		if errors.Is(err, conns.ErrNotSent) {
			err = errors.Mark(err, ErrNotStarted)
		}
		return Answer{}, errors.Newf("call %s: %w", c.addr, err)
	}
	defer resp.Close()
	if len(resp.Header.Peek(HeaderNotStarted)) > 0 {
		err := errors.Newf("call %s: status %d", c.addr, resp.Header.StatusCode())
		return Answer{}, errors.Mark(err, ErrNotStarted)
	}
	return readAnswer(resp, maxBytes)
}

func (c *Client) fill(req *fasthttp.Request, r Request) {
	req.Header.SetMethod(r.Method)
	req.SetRequestURI(r.URI)
	for _, h := range r.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.SetHost(c.addr)
	req.SetBody(r.Body)
	if r.FreshConnection {
		req.SetConnectionClose()
	}
}

// readAnswer reads a whole body. A body that ends before the length that the headers state, or before
// its last chunk, is an error of the connection.
func readAnswer(resp *conns.Response, maxBytes int) (Answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp, int64(maxBytes)+1))
	if err != nil {
		return Answer{}, errors.Newf("read answer: %w", err)
	}
	if len(body) > maxBytes {
		return Answer{}, ErrTooLarge
	}
	return Answer{
		Status: resp.Header.StatusCode(), ContentType: string(resp.Header.ContentType()), Body: body,
	}, nil
}
