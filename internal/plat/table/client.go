package table

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// defaultTimeout bounds a call whose context has no deadline.
const defaultTimeout = 2 * time.Second

// maxIdle is how long an idle connection is kept.
const maxIdle = 30 * time.Second

// Paths of the table service.
const (
	PathRow    = "/v1/row"
	PathScan   = "/v1/scan"
	PathCommit = "/v1/commit"
)

// CommitReply is the body of an accepted commit.
type CommitReply struct {
	Revision Revision `json:"revision"`
}

// Client is a Table that talks HTTP to the platform's table service.
type Client struct {
	hc *fasthttp.HostClient
}

var _ Table = (*Client)(nil)

// New returns a client of the table service at addr, an IP and port.
func New(addr string) *Client {
	return &Client{hc: &fasthttp.HostClient{
		Addr:                addr,
		MaxIdleConnDuration: maxIdle,
		// A commit that was sent once must not be sent again behind the caller's back.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	q := url.Values{"key": {key}}
	if err := c.call(ctx, fasthttp.MethodGet, PathRow+"?"+q.Encode(), nil, &row); err != nil {
		return Row{}, errors.Newf("get %s: %w", key, err)
	}
	return row, nil
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	if err := c.call(ctx, fasthttp.MethodGet, PathScan+"?"+q.Encode(), nil, &rows); err != nil {
		return nil, errors.Newf("scan %s: %w", prefix, err)
	}
	return rows, nil
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, txn Txn) (Revision, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return Revision{}, errors.Newf("encode transaction: %w", err)
	}
	var reply CommitReply
	if err := c.call(ctx, fasthttp.MethodPost, PathCommit, body, &reply); err != nil {
		return Revision{}, errors.Newf("commit: %w", err)
	}
	return reply.Revision, nil
}

// call sends one request and decodes the JSON body of a 200 answer into out.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	if err := ctx.Err(); err != nil {
		return errors.Mark(errors.Newf("before the call: %w", err), ErrUnavailable)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost(c.hc.Addr)
	req.SetBody(body)

	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	if err := c.hc.DoDeadline(req, resp, deadline); err != nil {
		return errors.Mark(errors.Newf("%s %s: %w", method, path, err), failureKind(method, err))
	}
	return decode(resp, method, out)
}

// failureKind tells a call that had no effect from one whose effect is unknown.
func failureKind(method string, err error) error {
	if method == fasthttp.MethodGet || neverSent(err) {
		return ErrUnavailable
	}
	return ErrUnknown
}

// neverSent reports whether err proves that no byte of the request reached the service.
func neverSent(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, fasthttp.ErrDialTimeout) ||
		errors.Is(err, fasthttp.ErrNoFreeConns)
}

// decode maps the status of an answer to an error, or decodes its body.
func decode(resp *fasthttp.Response, method string, out any) error {
	switch resp.StatusCode() {
	case http.StatusOK:
		if err := json.Unmarshal(resp.Body(), out); err != nil {
			return errors.Mark(errors.Newf("decode answer: %w", err), failureKind(method, err))
		}
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		err := errors.Newf("status %d", resp.StatusCode())
		return errors.Mark(err, failureKind(method, err))
	}
}
