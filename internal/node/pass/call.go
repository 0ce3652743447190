package pass

import (
	"bytes"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/route/match"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"
)

// RequestInfo holds the metadata that a caller sends in the headers of its request.
type RequestInfo struct {
	// ID identifies the caller's attempt. A caller that retries sends a new ID.
	ID string
	// Key is the API key of the account.
	Key string
	// Timeout is the caller's timeout for the whole response; 0 if it sent none.
	Timeout time.Duration
	Model   string
	// PromptTokens and MaxTokens are numbers of tokens.
	PromptTokens int
	MaxTokens    int
	// SharedParts holds the IDs of the parts of the prompt, in order, that other requests may share. It leaves out the
	// part that belongs to the request or its session.
	SharedParts []string
	// LastEventID is the ID of the last event that the caller received, "" for none.
	LastEventID string
}

// AttemptInfo holds the values that an attempt adds to the request headers.
type AttemptInfo struct {
	// Server is the ID of the intended backend server. A different server at the same address refuses the request.
	Server  string
	Account string
	// TimeLeft is the time until the deadline of the call.
	TimeLeft    time.Duration
	LastEventID string
}

// Load is the load that a backend server reports.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// ResponseInfo holds the metadata in the headers of a backend server's response.
type ResponseInfo struct {
	// ID is the caller's attempt ID as the response repeats it.
	ID string
	// Signed reports whether the response has the signature of a backend server and its body as the server signed it.
	Signed bool
	// NotStarted reports whether the response states that a server did not start the request. A status alone states that only
	// in a response with the ID.
	NotStarted bool
	// Draining reports whether the server is draining: it finishes its requests and accepts no new ones.
	Draining bool
	// RetryAfter is how long a server that refused the request asks this node to send nothing; 0 if it did not say.
	RetryAfter time.Duration
	// Load is valid only if HasLoad is set.
	Load    Load
	HasLoad bool
	// RateLimit is how many requests per second the server takes from all nodes together, valid only if HasRateLimit is set.
	RateLimit    float64
	HasRateLimit bool
}

// Codec converts between HTTP headers and RequestInfo, AttemptInfo and ResponseInfo.
type Codec interface {
	// DecodeRequest decodes the headers of a caller's request.
	DecodeRequest(h *fasthttp.RequestHeader) (RequestInfo, error)
	// EncodeRequest turns a caller's request headers into the headers of an attempt.
	EncodeRequest(h *fasthttp.RequestHeader, o AttemptInfo)
	// EncodeForwarded turns a caller's request headers into those of a call that is passed on to another node.
	EncodeForwarded(h *fasthttp.RequestHeader, o AttemptInfo)
	// DecodeResponse decodes the headers of a backend server's response.
	DecodeResponse(h *fasthttp.ResponseHeader) ResponseInfo
}

// Call is a request in progress.
type Call struct {
	RequestInfo
	Route   *match.Route
	Service *match.Service
	Account string
	// Priority is 0 for the most urgent requests.
	Priority int
	// Deadline is the earlier of the caller's and the route's timeout, or defaultTimeout after arrival if there is
	// neither.
	Deadline time.Time
	Arrived  time.Time
	// Trial is set if the next attempt is the trial of a quarantined part of the prompt, which may crash its server.
	Trial bool
	// LastAttempt is set if no attempt may follow the next one if that one runs.
	LastAttempt bool
	// Delayed is set if another node has made an attempt or waited before it passed the call on.
	Delayed bool
	// Answering is set if the caller has received part of the response.
	Answering bool
	// Fingerprint is a hash of the request that is equal for identical requests of an account.
	Fingerprint uint64

	req *front.Request
	// hop is set if another node has passed the call on.
	hop *hopRequest
	// config is the version of the configuration by which the call was resolved.
	config uint64
	// began is set once a backend server has begun to run the call. Copies of the call share it.
	began *atomic.Bool
}

// callerRetryMaxShare is the fraction of a route's timeout below which a caller's timeout marks its request as a
// retry.
const callerRetryMaxShare = 0.95

// IsCallerRetry reports whether the caller has probably sent the request before: its timeout is well below that of the
// route, so part of it seems to be used up.
func (c *Call) IsCallerRetry() bool {
	return c.Timeout > 0 && float64(c.Timeout) < callerRetryMaxShare*float64(c.Route.Timeout)
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
