package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/model"
	"geraniumhollow/internal/fake/plain"
	"geraniumhollow/internal/plat/conns"
	"geraniumhollow/internal/wire/event"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// client sends the requests of a load and checks every answer.
type client struct {
	mix   Mix
	nodes []*conns.Pool
	addrs []string
	rec   *recorder
	// out marks the nodes that the balancer leaves out.
	out []atomic.Bool
}

func newClient(m Mix, addrs []string, rec *recorder) *client {
	c := &client{mix: m, addrs: addrs, rec: rec, out: make([]atomic.Bool, len(addrs))}
	for _, a := range addrs {
		c.nodes = append(c.nodes, conns.New(a, conns.Options{}))
	}
	return c
}

// slowPause is how long a slow reader waits between events.
const slowPause = 5 * time.Millisecond

// reply is what came back of one send.
type reply struct {
	verdict Verdict
	code    fault.Code
	detail  string
}

type errorReply struct {
	Error struct {
		Code    fault.Code    `json:"code"`
		Outcome fault.Outcome `json:"outcome"`
	} `json:"error"`
}

// do runs one request, whose latency counts from due.
func (c *client) do(ctx context.Context, r Request, due time.Time) {
	var rep reply
	switch r.Kind {
	case Read, Booking:
		rep = c.call(ctx, r, r.Node, due)
	default:
		rep = c.complete(ctx, r, due)
	}
	if r.Kind == Booking && r.Resend || c.mix.Persistent && (rep.verdict == Lost || rep.code == fault.NodeDraining) {
		rep = c.resend(ctx, r, rep)
	}
	c.rec.verdict(r, rep.verdict, rep.code, rep.detail)
}

// resend sends a call again to another node. The caller then knows that it ran if either answer says so,
// and knows more than nothing if the first one was lost.
func (c *client) resend(ctx context.Context, r Request, first reply) reply {
	if r.Kind != Booking && r.Kind != Read {
		return first
	}
	second := c.call(ctx, r, (r.Node+1)%len(c.nodes), time.Now())
	if second.verdict == Right || first.verdict == Lost || first.code == fault.NodeDraining {
		return second
	}
	return first
}

// balance asks the nodes at intervals whether they may be sent new requests.
func (c *client) balance(ctx context.Context, ready func(ctx context.Context, node int) bool) {
	_ = tasks.EveryFromNow(ctx, readyInterval, func(ctx context.Context) {
		for i := range c.nodes {
			c.out[i].Store(!ready(ctx, i))
		}
	})
}

// post sends a request to the node that it names, or to the next one that the balancer has in and that
// takes connections.
func (c *client) post(ctx context.Context, node int, req *fasthttp.Request) (*conns.Response, error) {
	last := errors.New("the balancer has no node")
	for i := range c.nodes {
		n := (node + i) % len(c.nodes)
		if c.out[n].Load() {
			continue
		}
		req.Header.SetHost(c.addrs[n])
		resp, err := c.nodes[n].Do(ctx, req, time.Time{})
		if err == nil {
			return resp, nil
		}
		last = err
		if !errors.Is(err, conns.ErrNotSent) {
			break
		}
	}
	return nil, errors.Newf("send: %w", last)
}

func (c *client) prepare(r Request, method, path string, body []byte) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.Set("Authorization", "Bearer "+c.mix.Deployment.AccountKey(r.Account))
	req.SetBody(body)
	return req
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// progress is what a caller has got of a streamed answer.
type progress struct {
	text strings.Builder
	// lastID is the id of the last event, and empty before the first.
	lastID string
	last   time.Time
}

// add appends the text of an event. An answer that began again, under another request id, replaces what
// the caller had.
func (p *progress) add(id, part string) {
	request, _, _ := strings.Cut(id, ":")
	if !strings.HasPrefix(p.lastID, request+":") {
		p.text.Reset()
	}
	p.lastID = id
	p.text.WriteString(part)
}

// Comebacks of a caller whose connection broke.
const (
	maxComebacks  = 30
	comebackPause = 500 * time.Millisecond
)

// complete sends a completion. A persistent caller whose connection or node ended comes back to the next node with
// the id of the last event, until it has the whole answer or hears that it cannot have it.
func (c *client) complete(ctx context.Context, r Request, due time.Time) reply {
	p := &progress{last: due}
	rep := c.try(ctx, r, r.Node, due, p)
	broken := rep.verdict == Cut || rep.verdict == Lost || rep.code == fault.NodeDraining
	for n := 1; c.mix.Persistent && broken && n <= maxComebacks; n++ {
		if !tasks.Sleep(ctx, comebackPause) {
			break
		}
		c.rec.cameBack()
		rep = c.try(ctx, r, (r.Node+n)%len(c.nodes), due, p)
		broken = rep.verdict != Right && rep.verdict != Wrong
	}
	return rep
}

// try sends a completion, or asks for the rest of its answer, once.
func (c *client) try(ctx context.Context, r Request, node int, due time.Time, p *progress) reply {
	body, err := json.Marshal(completionBody{
		Model: c.mix.Deployment.Model, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Stream: r.Kind != Whole,
	})
	if err != nil {
		return reply{verdict: Lost, detail: err.Error()}
	}
	req := c.prepare(r, fasthttp.MethodPost, "/v1/completions", body)
	defer fasthttp.ReleaseRequest(req)
	if p.lastID != "" {
		req.Header.Set("Last-Event-ID", p.lastID)
	}
	resp, err := c.post(ctx, node, req)
	if err != nil {
		return reply{verdict: Lost, detail: err.Error()}
	}
	defer resp.Close()
	if resp.Header.StatusCode() != http.StatusOK {
		return refusal(resp)
	}
	if r.Kind == Whole {
		return c.whole(r, resp, due)
	}
	return c.stream(r, resp, p)
}

func (c *client) whole(r Request, resp *conns.Response, due time.Time) reply {
	raw, err := io.ReadAll(resp)
	if err != nil {
		return reply{verdict: Cut, detail: err.Error()}
	}
	c.rec.time("whole_answer", time.Since(due))
	text, _, err := parseChunk(raw)
	if err != nil {
		return reply{verdict: Wrong, detail: err.Error()}
	}
	return c.compare(r, text)
}

func (c *client) compare(r Request, text string) reply {
	if want := model.Answer(r.Prompt, r.MaxTokens); text != want {
		return reply{verdict: Wrong, detail: fmt.Sprintf("%d bytes, want %d", len(text), len(want))}
	}
	return reply{verdict: Right}
}

// stream reads a streamed answer and times its tokens.
func (c *client) stream(r Request, resp *conns.Response, p *progress) reply {
	events := event.NewReader(resp)
	for n := 0; ; n++ {
		ev, err := events.Next()
		if err != nil {
			return reply{verdict: Cut, detail: fmt.Sprintf("after %d events: %v", n, err)}
		}
		if string(ev.Data) == "[DONE]" {
			resp.Drain()
			return c.compare(r, p.text.String())
		}
		part, failed, err := parseChunk(ev.Data)
		if err != nil {
			return reply{verdict: Wrong, detail: err.Error()}
		}
		if failed.Code != "" {
			return judge(failed.Code, failed.Outcome)
		}
		if part != "" {
			c.timeToken(r, p.lastID == "", time.Since(p.last))
			p.last = time.Now()
		}
		p.add(ev.ID, part)
		if r.Kind == Slow {
			time.Sleep(slowPause)
		}
	}
}

func (c *client) timeToken(r Request, first bool, d time.Duration) {
	switch {
	case first:
		c.rec.time("first_token", d)
	case r.Kind != Slow:
		c.rec.time("between_tokens", d)
	}
}

// failure is the error part of an event.
type failure struct {
	Code    fault.Code
	Outcome fault.Outcome
}

func parseChunk(raw []byte) (string, failure, error) {
	var body struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		errorReply
	}
	if err := json.Unmarshal(raw, &body); err != nil {
		return "", failure{}, errors.Newf("decode chunk: %w", err)
	}
	if body.Error.Code != "" {
		return "", failure(body.Error), nil
	}
	if len(body.Choices) != 1 {
		return "", failure{}, errors.Newf("%d choices", len(body.Choices))
	}
	return body.Choices[0].Text, failure{}, nil
}

// refusal reads an error answer.
func refusal(resp *conns.Response) reply {
	raw, err := io.ReadAll(resp)
	if err != nil {
		return reply{verdict: Cut, detail: err.Error()}
	}
	var body errorReply
	if err := json.Unmarshal(raw, &body); err != nil || body.Error.Code == "" {
		return reply{verdict: Wrong, detail: "error without the common shape, status " + strconv.Itoa(resp.Header.StatusCode())}
	}
	return judge(body.Error.Code, body.Error.Outcome)
}

func judge(code fault.Code, outcome fault.Outcome) reply {
	if outcome == fault.NotRun {
		return reply{verdict: Refused, code: code}
	}
	return reply{verdict: Unknown, code: code}
}

// call sends a call to the plain service.
func (c *client) call(ctx context.Context, r Request, node int, due time.Time) reply {
	method, path := fasthttp.MethodGet, "/status/"
	if r.Kind == Booking {
		method, path = fasthttp.MethodPost, "/bookings/"
	}
	path = "/v1/services/" + c.mix.Deployment.Service + path + strconv.Itoa(r.Index)
	req := c.prepare(r, method, path, []byte(r.Prompt))
	defer fasthttp.ReleaseRequest(req)
	req.Header.Set(plain.HeaderCall, r.callName())
	req.Header.Set("Idempotency-Key", r.callName())
	resp, err := c.post(ctx, node, req)
	if err != nil {
		return reply{verdict: Lost, detail: err.Error()}
	}
	defer resp.Close()
	if resp.Header.StatusCode() != http.StatusOK {
		return refusal(resp)
	}
	raw, err := io.ReadAll(resp)
	if err != nil {
		return reply{verdict: Cut, detail: err.Error()}
	}
	c.rec.time(string(r.Kind), time.Since(due))
	return checkCall(r, method, raw)
}

func checkCall(r Request, method string, raw []byte) reply {
	var got plain.Reply
	if err := json.Unmarshal(raw, &got); err != nil {
		return reply{verdict: Wrong, detail: err.Error()}
	}
	if got.Method != method || !strings.HasSuffix(got.Path, "/"+strconv.Itoa(r.Index)) {
		return reply{verdict: Wrong, detail: "the answer belongs to " + got.Method + " " + got.Path}
	}
	return reply{verdict: Right}
}

// callName names a call of the plain service; a booking and its resend share it.
func (r Request) callName() string { return "call-" + strconv.Itoa(r.Index) }
