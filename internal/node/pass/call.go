package pass

import (
	"bytes"
	"time"

	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/route/match"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"
)

// Meta is what a request says of itself.
type Meta struct {
	// ID names the caller's attempt. It is new each time the caller asks again.
	ID  string
	Key string
	// Patience is how long the caller waits for the whole answer; 0 if it does not say.
	Patience time.Duration
	Model    string
	// Prompt and MaxAnswer are tokens.
	Prompt    int
	MaxAnswer int
	// LastEvent is the last event that the caller has, "" for none.
	LastEvent string
}

// Outgoing is what an attempt adds to the headers of its request.
type Outgoing struct {
	// Server is the ID of the backend server that is meant; another one at its address refuses.
	Server  string
	Account string
	// Left is how long the caller still waits.
	Left      time.Duration
	LastEvent string
}

// Load is how much a backend server has to do.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Answer is what the headers of an answer say.
type Answer struct {
	// ID is the attempt that is answered.
	ID string
	// Signed answers come from the work of a backend server.
	Signed bool
	// NotRun is the server's statement that it did not start the request.
	NotRun bool
	// Leaving servers finish what they have and want no new work.
	Leaving bool
	// RetryAfter is how long a server that turned the request away wants nothing from this node; 0 if it does not say.
	RetryAfter time.Duration
	// Load is present where HasLoad is set.
	Load    Load
	HasLoad bool
}

// Codec translates between headers and the types above.
type Codec interface {
	// Meta reads the headers of a caller's request.
	Meta(h *fasthttp.RequestHeader) (Meta, error)
	// Prepare turns a caller's headers into those of an attempt.
	Prepare(h *fasthttp.RequestHeader, o Outgoing)
	// Answer reads the headers of a backend server's answer.
	Answer(h *fasthttp.ResponseHeader) Answer
}

// Call is a request that is being served.
type Call struct {
	Meta
	Route   *match.Route
	Service *match.Service
	Account string
	// Priority is 0 for the most urgent.
	Priority int
	// Deadline is when the caller stops waiting or the route's timeout ends, whichever is first.
	Deadline time.Time
	Arrived  time.Time
	// Fingerprint is equal for equal requests of an account.
	Fingerprint uint64

	req *front.Request
}

// returnedShare is the part of a route's timeout below which a caller that still waits has been here before.
const returnedShare = 0.95

// Returned reports whether the caller seems to have come back: it waits for less than the route allows.
func (c *Call) Returned() bool {
	return c.Patience > 0 && float64(c.Patience) < returnedShare*float64(c.Route.Timeout)
}

// fingerprint hashes what makes two requests the same work.
func fingerprint(account string, r *front.Request) uint64 {
	h := xxh3.New()
	for _, part := range [][]byte{[]byte(account), r.Header.Method(), r.Header.RequestURI(), r.Body} {
		_, _ = h.Write(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// pathOf returns the path of a request target, without its query.
func pathOf(uri []byte) string {
	path, _, _ := bytes.Cut(uri, []byte("?"))
	return string(path)
}
