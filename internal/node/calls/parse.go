package calls

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/plat/plain"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"
)

// PathPrefix is the prefix of all paths that a Handler serves.
const PathPrefix = "/v1/services/"

// headerKey is the request header with the caller's idempotency key.
const headerKey = "Idempotency-Key"

// maxKeyBytes limits the length of an idempotency key, which is part of the key of a table row.
const maxKeyBytes = 255

// notForwarded are request headers that are not sent to backend servers: those for the caller's connection, the
// account's API key, and those that request encoded or partial answers. Such answers need response headers that
// are not returned: callers get only the status, content type and body.
var notForwarded = sets.New(
	"connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te",
	"trailer", "transfer-encoding", "upgrade", "expect", "host", "content-length",
	"authorization", "accept-encoding", "range", "if-range",
	// Set by the node.
	"x-request-id", "x-account",
)

// call is a validated call.
type call struct {
	id        string
	account   string
	service   string
	key       string
	servers   []view.Server
	route     schema.ServiceRoute
	request   plain.Request
	maxAnswer int
	started   time.Time
}

func (c call) timeout() time.Duration { return time.Duration(c.route.TimeoutMs) * time.Millisecond }

// timeLeft returns the time until the deadline of the call.
func (c call) timeLeft(now time.Time) time.Duration { return c.started.Add(c.timeout()).Sub(now) }

// parse validates a call. The path is decoded and cleaned before it is matched, and the backend server gets it in
// this form, so that no alternative spelling of a path bypasses the rule of its route.
func parse(rc *fasthttp.RequestCtx, v *view.View, id string, a schema.Account) (call, *fault.Error) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(string(rc.Path()), PathPrefix), "/")
	path := "/" + rest
	svc, ok := v.Service(name)
	if !ok {
		return call{}, fault.New(fault.NotFound, fault.NotRun, "the service is not known")
	}
	method := string(rc.Method())
	route, ok := svc.Route(method, path)
	if !ok {
		return call{}, noRoute(svc, path)
	}
	body := rc.PostBody()
	if len(body) > v.Limits.BodyBytes {
		return call{}, fault.New(fault.BodyTooLarge, fault.NotRun, "the body is larger than the limit")
	}
	key := string(rc.Request.Header.Peek(headerKey))
	if !route.Repeatable {
		if ferr := checkKey(key); ferr != nil {
			return call{}, ferr
		}
	}
	var uri fasthttp.URI
	uri.SetPath(path)
	uri.SetQueryStringBytes(rc.URI().QueryString())
	return call{
		id: id, account: a.Name, service: name, key: key, servers: svc.Servers, route: route, maxAnswer: v.Limits.BodyBytes,
		started: time.Now(),
		request: plain.Request{
			Method: method, URI: string(uri.RequestURI()), Headers: headers(rc, id, a.Name),
			// The buffer of rc is reused after the handler returns.
			Body: bytes.Clone(body), FreshConnection: !route.Repeatable,
		},
	}, nil
}

func noRoute(svc view.Service, path string) *fault.Error {
	for _, r := range svc.Routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return fault.New(fault.MethodNotAllowed, fault.NotRun, "the service has no such method on this path")
		}
	}
	return fault.New(fault.NotFound, fault.NotRun, "the service has no such path")
}

// checkKey returns an error unless the key is printable ASCII, not empty and not too long.
func checkKey(key string) *fault.Error {
	if key == "" {
		return fault.New(fault.IdempotencyKeyRequired, fault.NotRun, "this call needs an Idempotency-Key")
	}
	if len(key) > maxKeyBytes {
		return fault.New(fault.BadRequest, fault.NotRun, "the Idempotency-Key is too long")
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return fault.New(fault.BadRequest, fault.NotRun, "the Idempotency-Key is not printable ASCII")
		}
	}
	return nil
}

// headers returns the request headers for the backend server. It also drops the headers that the caller's
// Connection header lists.
func headers(rc *fasthttp.RequestCtx, id, account string) []plain.Header {
	hopByHop := sets.New[string]()
	for _, v := range rc.Request.Header.PeekAll("Connection") {
		for name := range strings.SplitSeq(string(v), ",") {
			hopByHop.Add(strings.ToLower(strings.TrimSpace(name)))
		}
	}
	out := []plain.Header{{Name: "X-Request-Id", Value: id}, {Name: "X-Account", Value: account}}
	for k, v := range rc.Request.Header.All() {
		name := strings.ToLower(string(k))
		if !notForwarded.Has(name) && !hopByHop.Has(name) {
			out = append(out, plain.Header{Name: string(k), Value: string(v)})
		}
	}
	return out
}

// fingerprint returns a hash of the call's content. It serves to reject a key that is reused for a different call.
func (c call) fingerprint() string {
	h := xxh3.New()
	for _, part := range [][]byte{[]byte(c.service), []byte(c.request.Method), []byte(c.request.URI), c.request.Body} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(part)
	}
	sum := h.Sum128().Bytes()
	return hex.EncodeToString(sum[:])
}
