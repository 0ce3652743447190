package table

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"geraniumhollow/internal/plat/conns"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// defaultTimeout bounds a call whose context has no deadline.
const defaultTimeout = 2 * time.Second

// maxIdle is how long an idle connection is kept.
const maxIdle = 30 * time.Second

// maxAnswerBytes bounds an answer.
const maxAnswerBytes = 32 << 20

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
	addr string
	pool *conns.Pool
}

var _ Table = (*Client)(nil)

// New returns a client of the table service at addr, an IP and port.
func New(addr string) *Client {
	return &Client{addr: addr, pool: conns.New(addr, conns.Options{IdleTimeout: maxIdle})}
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
	ctx, cancel := conns.WithDefaultTimeout(ctx, defaultTimeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost(c.addr)
	req.SetBody(body)
	answer, err := c.pool.Fetch(ctx, conns.Exchange{Request: req}, maxAnswerBytes)
	if err != nil {
		return errors.Mark(errors.Newf("%s %s: %w", method, path, err), failureKind(method, err))
	}
	return decode(answer, method, out)
}

// failureKind tells a call that had no effect from one whose effect is unknown.
func failureKind(method string, err error) error {
	if method == fasthttp.MethodGet || errors.Is(err, conns.ErrNotSent) {
		return ErrUnavailable
	}
	return ErrUnknown
}

// decode maps the status of an answer to an error, or decodes its body.
func decode(answer conns.Whole, method string, out any) error {
	switch status := answer.Header.StatusCode(); status {
	case http.StatusOK:
		if err := json.Unmarshal(answer.Body, out); err != nil {
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
		err := errors.Newf("status %d", status)
		return errors.Mark(err, failureKind(method, err))
	}
}
