// Package object is the client of the platform's object store.
package object

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"geraniumhollow/internal/plat/conns"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrNotFound means that the object does not exist.
var ErrNotFound = errors.New("object not found")

// Store is the object store. Writes replace whole objects.
type Store interface {
	// Put writes an object. After an error the write may or may not have taken effect.
	Put(ctx context.Context, key string, value []byte) error
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
	// List returns the keys that start with prefix, sorted.
	List(ctx context.Context, prefix string) ([]string, error)
}

// maxIdle is how long an idle connection is kept.
const maxIdle = 10 * time.Second

// defaultTimeout bounds a call whose context has no deadline.
const defaultTimeout = 5 * time.Second

// maxAnswerBytes bounds an object, or a list of keys.
const maxAnswerBytes = 64 << 20

// Paths of the object store.
const (
	PathObject = "/v1/object"
	PathList   = "/v1/objects"
)

// Client is a Store that talks HTTP.
type Client struct {
	addr string
	pool *conns.Pool
}

var _ Store = (*Client)(nil)

// New returns a client of the object store at addr, an IP and port.
func New(addr string) *Client {
	return &Client{addr: addr, pool: conns.New(addr, conns.Options{IdleTimeout: maxIdle})}
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	if _, err := c.call(ctx, fasthttp.MethodPut, objectPath(key), value); err != nil {
		return errors.Newf("put object %s: %w", key, err)
	}
	return nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	v, err := c.call(ctx, fasthttp.MethodGet, objectPath(key), nil)
	if err != nil {
		return nil, errors.Newf("get object %s: %w", key, err)
	}
	return v, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	body, err := c.call(ctx, fasthttp.MethodGet, PathList+"?"+url.Values{"prefix": {prefix}}.Encode(), nil)
	if err != nil {
		return nil, errors.Newf("list objects %s: %w", prefix, err)
	}
	var keys []string
	if err := json.Unmarshal(body, &keys); err != nil {
		return nil, errors.Newf("decode object list: %w", err)
	}
	return keys, nil
}

func objectPath(key string) string {
	return PathObject + "?" + url.Values{"key": {key}}.Encode()
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
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
		return nil, errors.Newf("%s: %w", method, err)
	}
	switch status := answer.Header.StatusCode(); status {
	case http.StatusOK:
		return answer.Body, nil
	case http.StatusNotFound:
		return nil, ErrNotFound
	default:
		return nil, errors.Newf("status %d", status)
	}
}
