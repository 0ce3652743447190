package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"geraniumhollow/internal/bench/site"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/model"
	"geraniumhollow/internal/node/caller"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/wire/event"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

const (
	prompt = "when does the van come"
	// contextTokens is the context length of the model.
	contextTokens = 8192
	bodyBytes     = 64 << 10
)

// fleet is two nodes with the same engines.
type fleet struct {
	t       *testing.T
	d       site.Deployment
	engines []*model.Engine
	relays  map[string]*relay.Relay
	addrs   map[string]string
	// linkDown makes the nodes unreachable for each other.
	linkDown bool
}

func newFleet(t *testing.T, engines int, interval time.Duration, limits schema.Limits) *fleet {
	t.Helper()
	f := &fleet{
		t: t, d: site.Strygekurv().WithRunners(engines), relays: make(map[string]*relay.Relay),
		addrs: make(map[string]string),
	}
	at := site.Addresses{Instances: make([]string, f.d.Instances)}
	for i := range engines {
		e := model.New(model.Config{Group: f.d.GroupName(i), Model: f.d.Model, TokenInterval: interval}, engine.Warm)
		f.engines = append(f.engines, e)
		at.Runners = append(at.Runners, f.startServer(e.Serve))
	}
	doc := f.d.Document(at)
	limits.BodyBytes = bodyBytes
	doc.Limits = limits
	doc.Models[0].Adapters = []string{"school"}
	doc.Accounts[1].Priority = 3
	v := view.New(1, doc)
	for _, name := range []string{"node-a", "node-b"} {
		rl := relay.New(hclog.NewNullLogger(), func() *view.View { return v }, relay.Deps{Node: name, Origin: f})
		srv := caller.New(t.Context(), hclog.NewNullLogger(), name, func() *view.View { return v }, rl,
			caller.WithTimeouts(caller.Timeouts{Header: 300 * time.Millisecond, Write: 500 * time.Millisecond}))
		f.relays[name] = rl
		f.addrs[name] = f.startServer(srv.Serve)
	}
	return f
}

// startServer runs a server on the loopback interface until the test ends.
func (f *fleet) startServer(run func(context.Context, net.Listener) error) string {
	f.t.Helper()
	var lc net.ListenConfig
	ln, err := lc.Listen(f.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatalf("listen: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(ctx)
	g.Go("server", func(ctx context.Context) error { return run(ctx, ln) })
	f.t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			f.t.Error(err)
		}
	})
	return ln.Addr().String()
}

// Resume implements relay.Origin by calling the relay of the node directly.
func (f *fleet) Resume(ctx context.Context, node string, a relay.ResumeRequest, sink relay.Sink) error {
	rl, ok := f.relays[node]
	if !ok || f.linkDown {
		return relay.ErrOriginUnreachable
	}
	if ferr := rl.ResumeLocal(ctx, a, sink); ferr != nil {
		return ferr
	}
	return nil
}

// Outcome implements relay.Origin.
func (f *fleet) Outcome(_ context.Context, node, id, account string) (relay.Status, error) {
	rl, ok := f.relays[node]
	if !ok || f.linkDown {
		return relay.Status{}, relay.ErrOriginUnreachable
	}
	s, ok := rl.Status(id, account)
	if !ok {
		return s, fault.New(fault.NotFound, fault.Unknown, "unknown")
	}
	return s, nil
}

type call struct {
	node, method, path, key, body, lastEventID string
}

// response is the response to a call.
type response struct {
	status int
	body   io.ReadCloser
}

// send sends a call, by default with the key of the first account.
func (f *fleet) send(c call) response {
	f.t.Helper()
	if c.node == "" {
		c.node = "node-a"
	}
	if c.method == "" {
		c.method = http.MethodPost
	}
	if c.path == "" {
		c.path = "/v1/completions"
	}
	if c.key == "" {
		c.key = f.d.AccountKey(0)
	}
	req, err := http.NewRequestWithContext(f.t.Context(), c.method, "http://"+f.addrs[c.node]+c.path, strings.NewReader(c.body))
	if err != nil {
		f.t.Fatalf("build request: %v", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if c.lastEventID != "" {
		req.Header.Set("Last-Event-ID", c.lastEventID)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatalf("call: %v", err)
	}
	f.t.Cleanup(func() { _ = resp.Body.Close() })
	return response{status: resp.StatusCode, body: resp.Body}
}

// streamBody returns the body of a request for a stream of n tokens.
func (f *fleet) streamBody(n int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, f.d.Model, prompt, n)
}

// readEvents reads at most n events (0 reads to the end) and returns their text, the last ID and whether the
// end marker was received.
func readEvents(t *testing.T, r io.Reader, n int) (string, string, bool) {
	t.Helper()
	var text, last string
	er := event.NewReader(r)
	for i := 0; n == 0 || i < n; i++ {
		ev, err := er.Next()
		if err != nil {
			return text, last, false
		}
		if string(ev.Data) == "[DONE]" {
			return text, last, true
		}
		var c struct {
			Choices []struct{ Text string } `json:"choices"`
		}
		if err := json.Unmarshal(ev.Data, &c); err != nil || len(c.Choices) != 1 {
			t.Fatalf("event %s: %v", ev.Data, err)
		}
		text += c.Choices[0].Text
		last = ev.ID
	}
	return text, last, false
}

// errorBody is the JSON body of error responses.
type errorBody struct {
	Error *struct {
		Code       fault.Code    `json:"code"`
		Message    string        `json:"message"`
		Outcome    fault.Outcome `json:"outcome"`
		RequestID  *string       `json:"request_id"`
		RetryAfter *float64      `json:"retry_after"`
	} `json:"error"`
}

// checkErrorBody checks the JSON body of an error response.
func checkErrorBody(t *testing.T, raw []byte, code fault.Code, outcome fault.Outcome) {
	t.Helper()
	var r errorBody
	if err := json.Unmarshal(raw, &r); err != nil || r.Error == nil {
		t.Fatalf("body %q is not an error: %v", raw, err)
	}
	if r.Error.Code != code || r.Error.Outcome != outcome {
		t.Errorf("got %s %s, want %s %s", r.Error.Code, r.Error.Outcome, code, outcome)
	}
	if r.Error.Message == "" || r.Error.RequestID == nil || r.Error.RetryAfter == nil {
		t.Errorf("body %s lacks a field", raw)
	}
	if strings.Contains(r.Error.Message, prompt) {
		t.Errorf("message %q contains text of the caller", r.Error.Message)
	}
}

// Guards against running invalid requests, and against responses to them with a wrong error code or with an
// outcome other than not_run.
func TestBadInput(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 0, schema.Limits{})
	const chat = "/v1/chat/completions"
	with := func(fields string) string { return fmt.Sprintf(`{"model":%q,%s}`, f.d.Model, fields) }
	tests := []struct {
		name   string
		give   call
		status int
		code   fault.Code
	}{
		{"no JSON", call{body: "{"}, 400, fault.BadRequest},
		{"not an object", call{body: "[1]"}, 400, fault.BadRequest},
		{"empty body", call{}, 400, fault.BadRequest},
		{"deep JSON", call{body: strings.Repeat("[", 20_000)}, 400, fault.BadRequest},
		{"wrong type of prompt", call{body: with(`"prompt":7`)}, 400, fault.BadRequest},
		{"wrong type of max_tokens", call{body: with(`"prompt":"p","max_tokens":"9"`)}, 400, fault.BadRequest},
		{"wrong type of stream", call{body: with(`"prompt":"p","stream":"yes"`)}, 400, fault.BadRequest},
		{"negative max_tokens", call{body: with(`"prompt":"p","max_tokens":-1`)}, 400, fault.BadRequest},
		{"zero max_tokens", call{body: with(`"prompt":"p","max_tokens":0`)}, 400, fault.BadRequest},
		{"huge max_tokens", call{body: with(`"prompt":"p","max_tokens":1e30`)}, 400, fault.BadRequest},
		{"max_tokens above the context", call{body: with(`"prompt":"p","max_tokens":8192`)}, 400, fault.BadRequest},
		{"prompt above the context", call{body: with(`"prompt":"` + strings.Repeat("a", 4*contextTokens) + `"`)}, 400, fault.BadRequest},
		{"neither prompt nor messages", call{body: with(`"max_tokens":1`)}, 400, fault.BadRequest},
		{"prompt and messages", call{body: with(`"prompt":"p","messages":[{"role":"user","content":"c"}]`)}, 400, fault.BadRequest},
		{"chat without messages", call{path: chat, body: with(`"max_tokens":1`)}, 400, fault.BadRequest},
		{"chat with prompt", call{path: chat, body: with(`"prompt":"p","messages":[{"role":"user","content":"c"}]`)}, 400, fault.BadRequest},
		{"chat with no message", call{path: chat, body: with(`"messages":[]`)}, 400, fault.BadRequest},
		{"chat with text", call{path: chat, body: with(`"messages":"hello"`)}, 400, fault.BadRequest},
		{"chat without role", call{path: chat, body: with(`"messages":[{"content":"c"}]`)}, 400, fault.BadRequest},
		{"unknown model", call{body: `{"model":"x","prompt":"p"}`}, 404, fault.ModelNotFound},
		{"unknown adapter", call{body: with(`"prompt":"p","adapter":"x"`)}, 400, fault.BadRequest},
		{"unknown version", call{body: with(`"prompt":"p","version":"x"`)}, 400, fault.BadRequest},
		{"priority out of range", call{body: with(`"prompt":"p","priority":10`)}, 400, fault.BadRequest},
		{"wrong key", call{key: "x", body: with(`"prompt":"p"`)}, 401, fault.Unauthorized},
		{"body too large", call{body: strings.Repeat("a", 16*bodyBytes)}, 413, fault.BodyTooLarge},
		{"unknown path", call{path: "/v2", body: "{}"}, 404, fault.NotFound},
		{"wrong method", call{method: http.MethodDelete}, 405, fault.MethodNotAllowed},
		{"bad event id", call{lastEventID: "x", body: f.streamBody(4)}, 400, fault.BadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			resp := f.send(tt.give)
			raw, err := io.ReadAll(resp.body)
			if err != nil {
				t.Fatalf("read response: %v", err)
			}
			if resp.status != tt.status {
				t.Errorf("status %d, want %d", resp.status, tt.status)
			}
			checkErrorBody(t, raw, tt.code, fault.NotRun)
		})
	}
	t.Cleanup(func() {
		if n := f.engines[0].Stats().Started; n != 0 {
			t.Errorf("%d invalid requests ran", n)
		}
	})
}

// Guards against responding to invalid HTTP requests with something other than JSON or with a connection reset.
func TestBadHTTP(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 0, schema.Limits{})
	tests := []struct {
		name string
		give string
		code fault.Code
	}{
		{"no HTTP", "hello\r\n\r\n", fault.BadRequest},
		{"bad version", "GET / HTTP/9\r\nHost: a\r\n\r\n", fault.BadRequest},
		{"bad content length", "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", fault.BadRequest},
		{"header too large", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 64<<10) + "\r\n\r\n", fault.HeaderTooLarge},
		{"slow header", "GET / HTTP/1.1\r\nHos", fault.HeaderTimeout},
		{"body announced too large", "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n", fault.BodyTooLarge},
		{"bad chunk", "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + f.d.AccountKey(0) + "\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", fault.BadRequest},
		{"body too large", "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + f.d.AccountKey(0) + "\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + strings.Repeat("x", bodyBytes+1) + "\r\n", fault.BodyTooLarge},
		{"chunks without key", "POST /v1/completions HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", fault.Unauthorized},
		{"length without key", "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\n", fault.Unauthorized},
		{"no key", "GET /v1/models HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", fault.Unauthorized},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			nc := dial(t, f.addrs["node-a"])
			if _, err := io.WriteString(nc, tt.give); err != nil {
				t.Fatalf("write: %v", err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			if err != nil {
				t.Fatalf("read response: %v", err)
			}
			raw, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatalf("read body: %v", err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode/100 != 4 {
				t.Errorf("status %d", resp.StatusCode)
			}
			checkErrorBody(t, raw, tt.code, fault.NotRun)
		})
	}
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	nc, err := (&net.Dialer{Timeout: time.Second}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	return nc
}

// Guards against a stream that is truncated, repeated or refused when its caller resumes it.
func TestResume(t *testing.T) {
	t.Parallel()
	const tokens = 60
	want := model.Answer(prompt, tokens)
	tests := []struct {
		name string
		// read is the number of events before the caller disconnects; 0 reads all of them.
		read int
		node string
		// prepare changes the fleet while the caller is disconnected.
		prepare func(f *fleet)
		body    bool
		// resumedAlone is set if the engine has to resume from its own state, without the earlier text from the origin node.
		resumedAlone bool
	}{
		{name: "same node", read: 20, node: "node-a"},
		{name: "same node, response complete", node: "node-a"},
		{name: "other node", read: 20, node: "node-b"},
		{name: "other node, with body", read: 20, node: "node-b", body: true},
		{name: "other node, response complete", node: "node-b"},
		{name: "origin unreachable", read: 20, node: "node-b", prepare: func(f *fleet) { f.linkDown = true }, resumedAlone: true},
		{name: "engines refuse", read: 20, node: "node-a", prepare: func(f *fleet) {
			for _, e := range f.engines[:2] {
				e.SetFaults(model.Faults{Refuse: true})
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3, 2*time.Millisecond, schema.Limits{})
			resp := f.send(call{body: f.streamBody(tokens)})
			first, last, _ := readEvents(t, resp.body, tt.read)
			if tt.read == 0 {
				// The caller has lost the last tokens and resumes before them.
				parts := strings.Split(last, ":")
				last = parts[0] + ":29:" + parts[2]
				first = model.Answer(prompt, 30)
			} else {
				_ = resp.body.Close()
			}
			if tt.prepare != nil {
				tt.prepare(f)
			}
			body := ""
			if tt.body {
				body = f.streamBody(tokens)
			}
			second, next, ended := readEvents(t, f.send(call{node: tt.node, lastEventID: last, body: body}).body, 0)
			if first+second != want || !ended {
				t.Errorf("got %d and %d bytes, want %d; ended %v", len(first), len(second), len(want), ended)
			}
			if id, _, _ := strings.Cut(last, ":"); !strings.HasPrefix(next, id+":") {
				t.Errorf("resumed as %s, want the request ID of %s", next, last)
			}
			resumedAlone := 0
			for _, e := range f.engines {
				resumedAlone += e.Stats().ResumedAlone
			}
			if (resumedAlone > 0) != tt.resumedAlone {
				t.Errorf("engines resumed %d responses without the earlier text", resumedAlone)
			}
		})
	}
}

// Guards against disclosing responses and outcomes to other accounts, and against running a request again
// that cannot be resumed, unless the caller sent the body again.
func TestResumeRefused(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, time.Millisecond, schema.Limits{})
	f.linkDown = true
	resp := f.send(call{body: f.streamBody(30)})
	_, last, _ := readEvents(t, resp.body, 10)
	_ = resp.body.Close()
	id, _, _ := strings.Cut(last, ":")
	other := f.d.AccountKey(1)
	get := call{method: http.MethodGet, path: "/v1/requests/" + id}
	otherAccount := get
	otherAccount.key = other
	otherNode := get
	otherNode.node = "node-b"
	f.engines[0].Restart(engine.Warm)
	tests := []struct {
		name string
		give call
		code fault.Code
	}{
		{"resume by another account", call{key: other, lastEventID: last}, fault.NotFound},
		{"outcome for another account", otherAccount, fault.NotFound},
		{"outcome while the origin is unreachable", otherNode, fault.OutcomeUnknown},
		{"resume while the origin is unreachable and the engine has restarted", call{node: "node-b", lastEventID: last}, fault.BackendFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			raw, _ := io.ReadAll(f.send(tt.give).body)
			checkErrorBody(t, raw, tt.code, fault.Unknown)
		})
	}
	text, next, ended := readEvents(t, f.send(call{node: "node-b", lastEventID: last, body: f.streamBody(30)}).body, 0)
	if text != model.Answer(prompt, 30) || !ended || strings.HasPrefix(next, id) {
		t.Errorf("with the body: got %q as %s", text, next)
	}
}

// Guards against outcomes that are wrong or unavailable on other nodes.
func TestOutcome(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 0, schema.Limits{QueueTimeoutMs: 50})
	_, last, _ := readEvents(t, f.send(call{body: f.streamBody(12)}).body, 0)
	f.engines[0].SetFaults(model.Faults{Fail: true})
	failed := f.send(call{body: f.streamBody(12)})
	raw, _ := io.ReadAll(failed.body)
	checkErrorBody(t, raw, fault.BackendFailed, fault.Unknown)
	var r errorBody
	_ = json.Unmarshal(raw, &r)
	id, _, _ := strings.Cut(last, ":")
	for _, tt := range []struct {
		id   string
		want relay.Status
	}{
		{id, relay.Status{State: relay.Done, Outcome: fault.Ran, Tokens: 12}},
		{*r.Error.RequestID, relay.Status{State: relay.Failed, Outcome: fault.Unknown, Code: fault.BackendFailed}},
	} {
		for _, node := range []string{"node-a", "node-b"} {
			var got relay.Status
			raw, _ := io.ReadAll(f.send(call{node: node, method: http.MethodGet, path: "/v1/requests/" + tt.id}).body)
			if err := json.Unmarshal(raw, &got); err != nil {
				t.Fatalf("%s: %v", raw, err)
			}
			tt.want.RequestID = tt.id
			if got != tt.want {
				t.Errorf("%s: got %+v, want %+v", node, got, tt.want)
			}
		}
	}
}

// Guards against a caller that reads nothing and keeps its connection and the engine busy forever, and
// against an engine that keeps running a request whose caller has closed its connection.
func TestUnresponsiveCallers(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name        string
		body        func(f *fleet) string
		faults      model.Faults
		disconnects bool
	}{
		{"stalled reader", func(f *fleet) string { return f.streamBody(8000) }, model.Faults{}, false},
		{"closed while waiting for a stream", func(f *fleet) string { return f.streamBody(10) }, model.Faults{Stall: true}, true},
		{"closed while waiting for a non-streamed response", func(f *fleet) string {
			return strings.Replace(f.streamBody(10), `"stream":true`, `"stream":false`, 1)
		}, model.Faults{StallAfterTokens: 3}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1, 0, schema.Limits{})
			f.engines[0].SetFaults(tt.faults)
			nc := dial(t, f.addrs["node-a"])
			_ = nc.(*net.TCPConn).SetReadBuffer(64 << 10) //nolint:forcetypeassert // Dialled with tcp.
			body := tt.body(f)
			_, err := fmt.Fprintf(nc, "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
				f.d.AccountKey(0), len(body), body)
			if err != nil {
				t.Fatalf("write: %v", err)
			}
			waitFor(t, "request started", func() bool { return f.engines[0].Stats().Started > 0 })
			if tt.disconnects {
				_ = nc.Close()
			}
			waitFor(t, "engine free", func() bool { return f.engines[0].Running() == 0 })
			if tt.disconnects {
				return
			}
			time.Sleep(700 * time.Millisecond)
			var got bytes.Buffer
			_, err = io.Copy(&got, nc)
			if strings.Contains(got.String(), "[DONE]") || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("the connection of a stalled reader was not closed: %v after %d bytes", err, got.Len())
			}
		})
	}
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 400 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("timed out: %s", what)
}
