package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"geraniumhollow/internal/bench/load"
	"geraniumhollow/internal/bench/site"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/model"
	"github.com/valyala/fasthttp"
)

func mix() load.Mix {
	return load.Mix{
		Deployment: site.Strygekurv(), Nodes: 2, Seed: 3, Length: 400 * time.Millisecond, Rate: 200, Profile: load.Steady,
	}
}

// Guards against two loads of the same seed that differ, which could not be compared.
func TestRequestsRepeat(t *testing.T) {
	t.Parallel()
	if !reflect.DeepEqual(mix().Requests(), mix().Requests()) {
		t.Error("the same seed gave different requests")
	}
	m := mix()
	m.Length = 100 * time.Second
	if n := len(m.Requests()); n < 19_000 || n > 21_000 {
		t.Errorf("%d requests in 100 s at 200 requests/s", n)
	}
	m.Profile = load.TermStart
	half := 0
	for _, r := range m.Requests() {
		if r.At < m.Length/4 {
			half++
		}
	}
	if half > 3500 {
		t.Errorf("%d requests in the first quarter of a term start, want a slow start", half)
	}
}

// ground says that every request ran twice.
type ground struct{}

func (ground) Runs(string) int    { return 2 }
func (ground) Prompts(uint64) int { return 2 }

// serveNode runs a node that answers every request with handle.
func serveNode(t *testing.T, handle fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &fasthttp.Server{Handler: handle, CloseOnShutdown: true}
	g := tasks.New(context.Background())
	g.Go("node", func(context.Context) error { return srv.Serve(ln) })
	t.Cleanup(func() {
		if err := srv.Shutdown(); err != nil {
			t.Error(err)
		}
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// answer writes the answer that a completion asks for, changed by change.
func answer(rc *fasthttp.RequestCtx, change func(text string) string) {
	var body struct {
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}
	if err := json.Unmarshal(rc.PostBody(), &body); err != nil {
		rc.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	chunk := fmt.Sprintf(`{"choices":[{"text":%q}]}`, change(model.Answer(body.Prompt, body.MaxTokens)))
	if body.Stream {
		chunk = "data: " + chunk + "\n\ndata: [DONE]\n\n"
	}
	rc.SetBodyString(chunk)
}

// Guards against a load tool that calls a broken system sound.
func TestVerdicts(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		handle fasthttp.RequestHandler
		want   load.Verdict
	}{
		{"right", func(rc *fasthttp.RequestCtx) { answer(rc, func(s string) string { return s }) }, load.Right},
		{"token missing", func(rc *fasthttp.RequestCtx) { answer(rc, func(s string) string { return s[6:] }) }, load.Wrong},
		{"answer of another request", func(rc *fasthttp.RequestCtx) {
			answer(rc, func(s string) string { return model.Answer("other", len(s)/6) })
		}, load.Wrong},
		{"stream without an end", func(rc *fasthttp.RequestCtx) {
			answer(rc, func(s string) string { return s })
			rc.SetBodyString(strings.TrimSuffix(string(rc.Response.Body()), "data: [DONE]\n\n"))
		}, load.Cut},
		{"refused", func(rc *fasthttp.RequestCtx) {
			rc.SetStatusCode(fasthttp.StatusServiceUnavailable)
			rc.SetBodyString(`{"error":{"code":"overloaded","outcome":"not_run"}}`)
		}, load.Refused},
		{"unknown", func(rc *fasthttp.RequestCtx) {
			rc.SetStatusCode(fasthttp.StatusBadGateway)
			rc.SetBodyString(`{"error":{"code":"outcome_unknown","outcome":"unknown"}}`)
		}, load.Unknown},
		{"error without a shape", func(rc *fasthttp.RequestCtx) { rc.SetStatusCode(fasthttp.StatusBadGateway) }, load.Wrong},
		{"connection closed", func(rc *fasthttp.RequestCtx) { _ = rc.Conn().Close() }, load.Lost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			res := run(t, tt.handle)
			completions := 0
			for _, r := range mix().Requests() {
				if r.Kind == load.Streamed || r.Kind == load.Whole {
					completions++
				}
			}
			// Calls of the plain service get the same answers, which are wrong for them.
			if got := res.Verdicts[tt.want]; got == 0 || (tt.want == load.Right && got != completions) {
				t.Errorf("verdicts %v, want %s", res.Verdicts, tt.want)
			}
			if tt.want == load.Refused && res.FalseNotRun == 0 {
				t.Error("refusals of requests that ran are not counted")
			}
			if res.Duplicates == 0 {
				t.Error("bookings that ran twice are not counted")
			}
		})
	}
}

func run(t *testing.T, handle fasthttp.RequestHandler) *load.Result {
	t.Helper()
	addr := serveNode(t, handle)
	res, _, err := load.Run(t.Context(), "test", mix(), load.Target{Callers: []string{addr, addr}, Ground: ground{}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// Guards against a result file that lost its distributions or cannot be compared with another.
func TestResultFile(t *testing.T) {
	t.Parallel()
	res := run(t, func(rc *fasthttp.RequestCtx) { answer(rc, func(s string) string { return s }) })
	var file bytes.Buffer
	if err := res.WriteJSON(&file); err != nil {
		t.Fatal(err)
	}
	var got load.Result
	if err := json.Unmarshal(file.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	first := got.Latency["first_token"]
	if n := len(first.Histogram); n == 0 || first.Histogram[n-1].Ms != first.Max {
		t.Errorf("the histogram of %d points does not end at the maximum %v", n, first.Max)
	}
	var table strings.Builder
	load.CompareResults(&table, res, &got)
	if !strings.Contains(table.String(), "first_token p95 ms") {
		t.Errorf("the comparison lacks a row:\n%s", table.String())
	}
}
