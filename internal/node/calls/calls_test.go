package calls_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/tasks"
	fake "geraniumhollow/internal/fake/plain"
	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/node/calls"
	"geraniumhollow/internal/plat/object"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/route/claim"
	"geraniumhollow/internal/route/retry"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

const (
	bodyBytes = 1 << 10
	routeMs   = 1000
)

// fixture is two backend servers of one plain service behind two nodes.
type fixture struct {
	services [2]*fake.Service
	platform *store.Store
	nodes    []*calls.Handler
	view     *view.View
}

// addNode adds a node with the given claim store as node 0.
func (s *fixture) addNode(g *tasks.Group, claims *claim.Store) {
	s.nodes = append([]*calls.Handler{calls.New(g, calls.Deps{
		Log: hclog.NewNullLogger(), Node: "n", View: func() *view.View { return s.view },
		Claims: claims, Budget: retry.NewBudget(),
	})}, s.nodes...)
}

func newFixture(t *testing.T, warm int) *fixture {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(ctx)
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	doc := &schema.Document{
		DataCentres: []schema.DataCentre{{Name: "dc", InService: true}},
		Limits:      schema.Limits{BodyBytes: bodyBytes},
		Services: []schema.Service{{Name: "app", Routes: []schema.ServiceRoute{
			{Method: "GET", PathPrefix: "/", Repeatable: true, TimeoutMs: routeMs},
			{Method: "POST", PathPrefix: "/", Repeatable: true, TimeoutMs: routeMs},
			{Method: "POST", PathPrefix: "/bookings", TimeoutMs: routeMs},
		}}},
	}
	s := &fixture{platform: store.New()}
	for i := range s.services {
		svc := fake.New("app")
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		g.Go("service", func(ctx context.Context) error { return svc.Serve(ctx, ln) })
		s.services[i] = svc
		doc.Services[0].Backends = append(doc.Services[0].Backends, schema.ServiceBackend{
			Name: string(rune('a' + i)), Address: ln.Addr().String(), DataCentre: "dc", Capacity: schema.Capacity{WarmRequests: warm},
		})
	}
	s.view = view.New(1, doc)
	for range 2 {
		s.addNode(g, newStore(t, s.platform, s.platform.Objects()))
	}
	return s
}

func (s *fixture) setFaults(faults ...fake.Faults) {
	for i, f := range faults {
		s.services[i].SetFaults(f)
	}
}

func (s *fixture) runs() int { return s.services[0].Runs()["c"] + s.services[1].Runs()["c"] }

// do sends a call to a node. It returns the status, the code and outcome of an error, and the body.
func (s *fixture) do(node int, method, path, key, body string) (int, string, []byte) {
	resp := s.serve(node, method, path, key, body)
	var e struct {
		Error struct{ Code, Outcome string } `json:"error"`
	}
	_ = json.Unmarshal(resp.Body(), &e)
	return resp.StatusCode(), strings.Trim(e.Error.Code+" "+e.Error.Outcome, " "), resp.Body()
}

func (s *fixture) serve(node int, method, path, key, body string) *fasthttp.Response {
	var req fasthttp.Request
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost("h")
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set("Connection", "X-Hop")
	req.Header.Set("X-Hop", "1")
	req.Header.Set("X-Kept", "1")
	req.Header.Set(fake.HeaderCall, "c")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	req.SetBodyString(body)
	var rc fasthttp.RequestCtx
	rc.Init(&req, nil, nil)
	s.nodes[node].Serve(&rc, "r-1", schema.Account{Name: "acc"})
	return &rc.Response
}

// Guards against retrying a call that may have run and is not repeatable, against not retrying a call when that is
// safe, and against reporting a wrong outcome to the caller.
func TestServe(t *testing.T) {
	t.Parallel()
	refuse, lose, slow := fake.Faults{Refuse: true}, fake.Faults{LoseAnswers: true}, fake.Faults{Delay: 2 * routeMs * time.Millisecond}
	tests := []struct {
		name             string
		method, path     string
		key, body        string
		faults           []fake.Faults
		down             bool
		wantStatus       int
		wantFault        string
		minRuns, maxRuns int
	}{
		{name: "answered", method: "GET", path: "/x", wantStatus: 200, minRuns: 1, maxRuns: 1},
		{name: "error answer is forwarded", method: "GET", path: "/x", faults: []fake.Faults{{Status: 500}, {Status: 500}}, wantStatus: 500, minRuns: 1, maxRuns: 1},
		{name: "refused by all servers", method: "GET", path: "/x", faults: []fake.Faults{refuse, refuse}, wantStatus: 503, wantFault: "no_backend_server not_run"},
		{name: "all answers lost", method: "GET", path: "/x", faults: []fake.Faults{lose, lose}, wantStatus: 502, wantFault: "backend_server_failed unknown", minRuns: 2, maxRuns: 2},
		{name: "one answer lost", method: "GET", path: "/x", faults: []fake.Faults{lose}, wantStatus: 200, minRuns: 1, maxRuns: 2},
		{name: "booking", method: "POST", path: "/bookings", key: "k", wantStatus: 200, minRuns: 1, maxRuns: 1},
		{name: "booking refused once", method: "POST", path: "/bookings", key: "k", faults: []fake.Faults{refuse}, wantStatus: 200, minRuns: 1, maxRuns: 1},
		{name: "booking refused by all servers", method: "POST", path: "/bookings", key: "k", faults: []fake.Faults{refuse, refuse}, wantStatus: 503, wantFault: "no_backend_server not_run"},
		{name: "booking answer lost", method: "POST", path: "/bookings", key: "k", faults: []fake.Faults{lose, lose}, wantStatus: 502, wantFault: "backend_server_failed unknown", minRuns: 1, maxRuns: 1},
		{name: "booking timed out", method: "POST", path: "/bookings", key: "k", faults: []fake.Faults{slow, slow}, wantStatus: 504, wantFault: "timeout unknown", minRuns: 1, maxRuns: 1},
		{name: "booking answer too large", method: "POST", path: "/bookings", key: "k", faults: []fake.Faults{{AnswerBytes: 2 * bodyBytes}, {AnswerBytes: 2 * bodyBytes}}, wantStatus: 502, wantFault: "backend_server_failed ran", minRuns: 1, maxRuns: 1},
		{name: "booking with table down", method: "POST", path: "/bookings", key: "k", down: true, wantStatus: 503, wantFault: "store_unavailable not_run"},
		{name: "booking without key", method: "POST", path: "/bookings", wantStatus: 400, wantFault: "idempotency_key_required not_run"},
		{name: "booking path in another spelling", method: "POST", path: "/./%62ookings", wantStatus: 400, wantFault: "idempotency_key_required not_run"},
		{name: "key too long", method: "POST", path: "/bookings", key: strings.Repeat("k", 256), wantStatus: 400, wantFault: "bad_request not_run"},
		{name: "body too large", method: "POST", path: "/x", body: strings.Repeat("x", bodyBytes+1), wantStatus: 413, wantFault: "body_too_large not_run"},
		{name: "method not allowed", method: "PUT", path: "/x", wantStatus: 405, wantFault: "method_not_allowed not_run"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, 8)
			s.setFaults(tt.faults...)
			s.platform.SetDown(tt.down)
			status, code, _ := s.do(0, tt.method, "/v1/services/app"+tt.path, tt.key, tt.body)
			if status != tt.wantStatus || code != tt.wantFault {
				t.Errorf("got %d %q, want %d %q", status, code, tt.wantStatus, tt.wantFault)
			}
			if n := s.runs(); n < tt.minRuns || n > tt.maxRuns {
				t.Errorf("%d runs, want %d to %d", n, tt.minRuns, tt.maxRuns)
			}
		})
	}
}

// Guards against a resend through another node that runs the call again or returns a different answer.
func TestResend(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 8)
	_, _, first := s.do(0, "POST", "/v1/services/app/bookings", "k", "body")
	status, _, again := s.do(1, "POST", "/v1/services/app/bookings", "k", "body")
	if status != http.StatusOK || string(again) != string(first) || s.runs() != 1 {
		t.Errorf("resend: status %d, %d runs, answer %s, want %s", status, s.runs(), again, first)
	}
	if got := s.serve(1, "POST", "/v1/services/app/bookings", "k", "body").Header.Peek("X-Idempotency-Retention"); string(got) != "86400" {
		t.Errorf("got a retention header of %q s, want 86400", got)
	}
	status, code, _ := s.do(1, "POST", "/v1/services/app/bookings", "k", "other")
	if status != http.StatusUnprocessableEntity || code != "idempotency_key_reused not_run" {
		t.Errorf("other body: got %d %q", status, code)
	}
}

// Guards against forwarding the account's API key or the headers of the caller's connection to a plain service.
func TestForwardedHeaders(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 8)
	_, _, body := s.do(0, "GET", "/v1/services/app/x%20y?q=1", "", "")
	var r fake.Reply
	if err := json.Unmarshal(body, &r); err != nil {
		t.Fatal(err)
	}
	if r.Headers["Authorization"]+r.Headers["X-Hop"] != "" || r.Headers["X-Kept"] != "1" || r.Headers["X-Account"] != "acc" {
		t.Errorf("headers %v", r.Headers)
	}
	if r.Path != "/x%20y?q=1" {
		t.Errorf("path %s", r.Path)
	}
}

// Guards against more calls in flight on a backend server than its warm capacity allows.
func TestCapacity(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 1)
	slow := fake.Faults{Delay: routeMs / 2 * time.Millisecond}
	s.setFaults(slow, slow)
	g := tasks.New(t.Context())
	codes := make(chan string, 3)
	for range cap(codes) {
		g.Go("call", func(context.Context) error {
			_, code, _ := s.do(0, "GET", "/v1/services/app/x", "", "")
			codes <- code
			return nil
		})
	}
	_ = g.Wait()
	close(codes)
	refused := 0
	for code := range codes {
		if code == "overloaded not_run" {
			refused++
		}
	}
	if refused != 1 {
		t.Errorf("%d of 3 calls refused as overloaded, want 1", refused)
	}
}

// Guards against a resend that does not run after a table timeout. When the table is slow, the caller gets
// not_run, but the claim is still written later. A resend must run the call exactly once.
func TestSlowTable(t *testing.T) {
	t.Parallel()
	s := newFixture(t, 8)
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(ctx)
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g.Go("platform", func(ctx context.Context) error { return s.platform.Serve(ctx, ln) })
	s.addNode(g, newStore(t, table.New(ln.Addr().String()), s.platform.Objects()))

	const slow, maxWait = 1500 * time.Millisecond, 5 * time.Second
	s.platform.SetDelay(slow)
	start := time.Now()
	if _, code, _ := s.do(0, "POST", "/v1/services/app/bookings", "k", ""); code != "store_unavailable not_run" {
		t.Errorf("got %q, want store_unavailable not_run", code)
	}
	if took := time.Since(start); took > maxWait {
		t.Errorf("the caller got not_run after %s", took)
	}
	for s.claimState(t, "k") != claim.Released && time.Since(start) < 4*maxWait {
		time.Sleep(slow / 10)
	}
	s.platform.SetDelay(0)
	if status, code, _ := s.do(1, "POST", "/v1/services/app/bookings", "k", ""); status != http.StatusOK || s.runs() != 1 {
		t.Errorf("resend: %d %q, %d runs; want 200 and 1 run", status, code, s.runs())
	}
}

// claimState returns the state of the claim of a key.
func (s *fixture) claimState(t *testing.T, key string) claim.State {
	t.Helper()
	st := newStore(t, s.platform, s.platform.Objects())
	ev, _ := st.Read(t.Context(), claim.Key("acc", key), claim.Read{Timeout: time.Minute})
	return ev.Record.State
}

func newStore(t *testing.T, tab table.Table, objects object.Store) *claim.Store {
	t.Helper()
	st, err := claim.NewStore(tab, objects)
	if err != nil {
		t.Fatal(err)
	}
	return st
}
