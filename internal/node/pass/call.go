package pass

import (
	"bytes"
	"time"

	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/route/match"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"
)

// Meta holds the metadata that a caller sends in the headers of its request.
type Meta struct {
	// ID identifies the caller's attempt. A caller that retries sends a new ID.
	ID  string
	Key string
	// Patience is the caller's timeout for the whole response; 0 if it sent none.
	Patience time.Duration
	Model    string
	// Prompt and MaxAnswer are numbers of tokens.
	Prompt    int
	MaxAnswer int
	// LastEvent is the ID of the last event that the caller received, "" for none.
	LastEvent string
}

// Outgoing holds the values that an attempt adds to the request headers.
type Outgoing struct {
	// Server is the ID of the intended backend server. A different server at the same address refuses the request.
	Server  string
	Account string
	// Left is the time until the deadline of the call.
	Left      time.Duration
	LastEvent string
}

// Load is the load that a backend server reports.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Answer holds the metadata in the headers of a backend server's response.
type Answer struct {
	// ID is the caller's attempt ID as the response repeats it.
	ID string
	// Signed reports whether the backend server itself produced the response.
	Signed bool
	// NotRun reports whether the server stated that it did not start the request.
	NotRun bool
	// Leaving reports whether the server is draining: it finishes its requests and accepts no new ones.
	Leaving bool
	// RetryAfter is how long a server that refused the request asks this node to send nothing; 0 if it did not say.
	RetryAfter time.Duration
	// Load is valid only if HasLoad is set.
	Load    Load
	HasLoad bool
}

// Codec converts between HTTP headers and Meta, Outgoing and Answer.
type Codec interface {
	// Meta decodes the headers of a caller's request.
	Meta(h *fasthttp.RequestHeader) (Meta, error)
	// Prepare turns a caller's request headers into the headers of an attempt.
	Prepare(h *fasthttp.RequestHeader, o Outgoing)
	// Answer decodes the headers of a backend server's response.
	Answer(h *fasthttp.ResponseHeader) Answer
}

// Call is a request in progress.
type Call struct {
	Meta
	Route   *match.Route
	Service *match.Service
	Account string
	// Priority is 0 for the most urgent requests.
	Priority int
	// Deadline is the earlier of the caller's and the route's timeout, or defaultTimeout after arrival if there is
	// neither.
	Deadline time.Time
	Arrived  time.Time
	// Fingerprint is a hash of the request that is equal for identical requests of an account.
	Fingerprint uint64

	req *front.Request
}

// callerRetryMaxShare is the fraction of a route's timeout below which a caller's timeout marks its request as a
// retry.
const callerRetryMaxShare = 0.95

// IsCallerRetry reports whether the caller has probably sent the request before: its timeout is well below that of the
// route, so part of it seems to be used up.
func (c *Call) IsCallerRetry() bool {
	return c.Patience > 0 && float64(c.Patience) < callerRetryMaxShare*float64(c.Route.Timeout)
}

// fingerprint hashes the account, method, URI and body of a request.
func fingerprint(account string, r *front.Request) uint64 {
	h := xxh3.New()
	for _, part := range [][]byte{[]byte(account), r.Header.Method(), r.Header.RequestURI(), r.Body} {
		_, _ = h.Write(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// requestPath returns the path of a request URI without the query.
func requestPath(uri []byte) string {
	path, _, _ := bytes.Cut(uri, []byte("?"))
	return string(path)
}
