// Package engine is the client of a model engine: load reports, completion streams with resume and
// cancel, and orders.
package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"geraniumhollow/internal/plat/conns"
	"geraniumhollow/internal/wire/event"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Paths of the engine protocol.
const (
	PathLoad        = "/v1/load"
	PathCompletions = "/v1/completions"
	PathCancel      = "/v1/cancel"
	PathOrders      = "/v1/orders"
)

// Headers of the engine protocol.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderAttempt      = "X-Attempt"
	HeaderResumeOffset = "X-Resume-Offset"
	HeaderAccount      = "X-Account"
	HeaderPriority     = "X-Priority"
	HeaderInstance     = "X-Instance"
	HeaderState        = "X-State"
	// HeaderNotStarted is set on an error answer that states that the request did not start.
	HeaderNotStarted = "X-Not-Started"
)

// State is how much an engine can bear.
type State string

// States of an engine.
const (
	Cold State = "cold"
	Warm State = "warm"
)

// Errors of an attempt.
var (
	// ErrNotStarted marks proof that the engine did not start the attempt.
	ErrNotStarted = errors.New("attempt not started")
	// ErrInstanceChanged means that the connection reached another instance than the one asked for.
	ErrInstanceChanged = errors.New("engine instance changed")
	// ErrRejected means that the engine refused the request as invalid.
	ErrRejected = errors.New("engine rejected the request")
	// ErrCannotResume means that the engine does not know the answer up to the offset that the
	// attempt wanted to resume at, and was not given its text.
	ErrCannotResume = errors.New("engine cannot resume the answer")
)

// Member is what one host of a group reports of itself.
type Member struct {
	Host       string `json:"host"`
	Group      string `json:"group"`
	Generation uint64 `json:"generation"`
	AgeMs      int64  `json:"age_ms"`
}

// CacheEvent says that the engine put a prefix block into its cache or dropped it.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Hash   uint64 `json:"hash"`
	Stored bool   `json:"stored"`
}

// Report is a load report. It lags behind the engine.
type Report struct {
	Instance      string       `json:"instance"`
	State         State        `json:"state"`
	Running       int          `json:"running"`
	Waiting       int          `json:"waiting"`
	TokensHeld    int          `json:"tokens_held"`
	TokenCapacity int          `json:"token_capacity"`
	AgeMs         int64        `json:"age_ms"`
	Model         string       `json:"model"`
	Version       string       `json:"version"`
	Adapters      []string     `json:"adapters,omitempty"`
	Loaded        []Weights    `json:"loaded,omitempty"`
	Members       []Member     `json:"members"`
	CacheEvents   []CacheEvent `json:"cache_events,omitempty"`
}

// Job is one attempt to run a completion.
type Job struct {
	RequestID string
	Attempt   int
	// Offset is how many tokens of the answer earlier attempts have delivered.
	Offset   int
	Account  string
	Priority int
	// SendBy is when the right to send ends; zero is never.
	SendBy time.Time
	Body   Body
}

// Body is the JSON body of a completion.
type Body struct {
	Model     string          `json:"model"`
	Version   string          `json:"version,omitempty"`
	Adapter   string          `json:"adapter,omitempty"`
	Prompt    string          `json:"prompt,omitempty"`
	Messages  json.RawMessage `json:"messages,omitempty"`
	MaxTokens int             `json:"max_tokens"`
	Seed      int64           `json:"seed,omitempty"`
	// ResumeText is the text of the answer up to the offset. Without it, only an engine that ran an
	// earlier attempt can resume; it answers 409 when it cannot. Such an attempt may leave out the
	// prompt, too.
	ResumeText string `json:"resume_text,omitempty"`
}

// Frame is one token of an answer, or its end.
type Frame struct {
	Attempt      int    `json:"-"`
	Offset       int    `json:"-"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	CachedTokens int    `json:"cached_tokens,omitempty"`
}

// Last reports whether the frame ends the answer.
func (f Frame) Last() bool { return f.FinishReason != "" }

// Client talks to one instance of one engine.
type Client struct {
	addr     string
	instance string
	pool     *conns.Pool
}

// New returns a client of the engine at addr. With a non-empty instance, a connection that reaches
// another instance is closed before a request is sent on it.
func New(addr, instance string) *Client {
	c := &Client{addr: addr, instance: instance}
	opts := conns.Options{}
	if instance != "" {
		opts.Hello = c.hello
	}
	c.pool = conns.New(addr, opts)
	return c
}

// Instance returns the instance that the client is bound to, or "".
func (c *Client) Instance() string { return c.instance }

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Close() }

// hello demands that a new connection reaches the instance of the client.
func (c *Client) hello(conn *conns.Conn) error {
	answer, err := conn.Get(PathLoad, c.addr, maxReportBytes)
	if err != nil {
		return err
	}
	if got := string(answer.Header.Peek(HeaderInstance)); got != c.instance {
		return errors.Newf("want %s, got %s: %w", c.instance, got, ErrInstanceChanged)
	}
	return nil
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context) (Report, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(PathLoad)
	req.Header.SetHost(c.addr)
	answer, err := c.pool.Fetch(ctx, conns.Exchange{Request: req}, maxReportBytes)
	if err != nil {
		return Report{}, errors.Newf("ask for load: %w", err)
	}
	if status := answer.Header.StatusCode(); status != http.StatusOK {
		return Report{}, errors.Newf("ask for load: status %d", status)
	}
	var r Report
	if err := json.Unmarshal(answer.Body, &r); err != nil {
		return Report{}, errors.Newf("decode load report: %w", err)
	}
	return r, nil
}

// Complete starts an attempt. An error marked ErrNotStarted proves that the engine did not start
// it. The attempt ends when the stream is closed or ctx ends.
func (c *Client) Complete(ctx context.Context, j Job) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if err := fill(req, c.addr, j); err != nil {
		return nil, errors.Mark(err, ErrNotStarted)
	}
	resp, err := c.pool.Do(ctx, req, j.SendBy)
	if err != nil {
		if errors.Is(err, conns.ErrNotSent) {
			err = errors.Mark(err, ErrNotStarted)
		}
		return nil, errors.Newf("start attempt: %w", err)
	}
	if status := resp.Header.StatusCode(); status != http.StatusOK {
		defer resp.Close()
		return nil, refusal(resp, status)
	}
	st := &Stream{
		Instance: string(resp.Header.Peek(HeaderInstance)),
		State:    State(resp.Header.Peek(HeaderState)),
		resp:     resp,
		events:   event.NewReader(resp),
	}
	if c.instance != "" && st.Instance != c.instance {
		st.Close()
		return nil, errors.Newf("want %s, got %s: %w", c.instance, st.Instance, ErrInstanceChanged)
	}
	return st, nil
}

// maxReportBytes bounds a load report.
const maxReportBytes = 8 << 20

// maxIgnoredBytes bounds what is read of a body that says nothing, so that its connection can be used again.
const maxIgnoredBytes = 4 << 10

// ignoreBody reads a body that says nothing.
func ignoreBody(resp *conns.Response) { _, _ = io.CopyN(io.Discard, resp, maxIgnoredBytes) }

// refusal turns an error answer into an error.
func refusal(resp *conns.Response, status int) error {
	ignoreBody(resp)
	err := errors.Newf("engine answered status %d", status)
	if len(resp.Header.Peek(HeaderNotStarted)) > 0 {
		err = errors.Mark(err, ErrNotStarted)
	}
	switch status {
	case http.StatusConflict:
		err = errors.Mark(err, ErrCannotResume)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		err = errors.Mark(err, ErrRejected)
	}
	return err
}

func fill(req *fasthttp.Request, addr string, j Job) error {
	body, err := json.Marshal(j.Body)
	if err != nil {
		return errors.Newf("encode completion: %w", err)
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(PathCompletions)
	req.Header.SetHost(addr)
	req.Header.SetContentType("application/json")
	req.Header.Set(HeaderRequestID, j.RequestID)
	req.Header.Set(HeaderAttempt, strconv.Itoa(j.Attempt))
	req.Header.Set(HeaderResumeOffset, strconv.Itoa(j.Offset))
	req.Header.Set(HeaderAccount, j.Account)
	req.Header.Set(HeaderPriority, strconv.Itoa(j.Priority))
	req.SetBody(body)
	return nil
}

// cancelTimeout bounds a cancel, which nobody waits for.
const cancelTimeout = 2 * time.Second

// Cancel asks the engine to stop an attempt. Without an error, the engine has answered that the
// attempt no longer runs.
func (c *Client) Cancel(ctx context.Context, requestID string, attempt int) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(PathCancel)
	req.Header.SetHost(c.addr)
	req.Header.Set(HeaderRequestID, requestID)
	req.Header.Set(HeaderAttempt, strconv.Itoa(attempt))
	resp, err := c.pool.Do(ctx, req, time.Time{})
	if err != nil {
		return errors.Newf("cancel attempt: %w", err)
	}
	defer resp.Close()
	ignoreBody(resp)
	if status := resp.Header.StatusCode(); status != http.StatusOK {
		return errors.Newf("cancel attempt: status %d", status)
	}
	return nil
}

// Stream is the answer of one attempt.
type Stream struct {
	// Instance and State are what the engine said of itself when the attempt started.
	Instance string
	State    State

	resp   *conns.Response
	events *event.Reader
	last   bool
}

// Next returns the next frame, in the order in which the engine sent them. io.EOF means that the
// engine closed the stream cleanly; only a frame whose Last is true ends an answer.
func (s *Stream) Next() (Frame, error) {
	ev, err := s.events.Next()
	if err != nil {
		return Frame{}, err //nolint:wrapcheck // io.EOF has to stay comparable.
	}
	f, err := DecodeFrame(ev)
	if err != nil {
		return Frame{}, err
	}
	s.last = s.last || f.Last()
	return f, nil
}

// Close ends the attempt. If the answer has not been read to its end, the connection is closed,
// which the engine takes as a cancel.
func (s *Stream) Close() {
	if s.last {
		s.resp.Drain()
	}
	s.resp.Close()
}

// DecodeFrame decodes an event whose id is <attempt>:<offset>.
func DecodeFrame(ev event.Event) (Frame, error) {
	var f Frame
	if err := json.Unmarshal(ev.Data, &f); err != nil {
		return Frame{}, errors.Newf("decode frame: %w", err)
	}
	a, o, ok := strings.Cut(ev.ID, ":")
	if !ok {
		return Frame{}, errors.New("frame id has no offset")
	}
	var err error
	if f.Attempt, err = strconv.Atoi(a); err != nil {
		return Frame{}, errors.Newf("frame attempt: %w", err)
	}
	if f.Offset, err = strconv.Atoi(o); err != nil {
		return Frame{}, errors.Newf("frame offset: %w", err)
	}
	if f.Offset < 0 {
		return Frame{}, errors.Newf("frame offset %d is negative", f.Offset)
	}
	return f, nil
}
