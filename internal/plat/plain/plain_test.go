package plain_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"geraniumhollow/internal/core/tasks"
	fake "geraniumhollow/internal/fake/plain"
	"geraniumhollow/internal/plat/plain"
	"github.com/cockroachdb/errors"
)

const (
	maxBytes = 4 << 10
	wait     = time.Second
)

// start runs a service on loopback and returns its address.
func start(t *testing.T, svc *fake.Service) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(ctx)
	g.Go("service", func(ctx context.Context) error { return svc.Serve(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return ln.Addr().String()
}

// Guards against a call that ran and is reported as not started, and against an answer that is cut.
func TestCallFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name           string
		faults         fake.Faults
		method         string
		closed         bool
		wantStatus     int
		wantNotStarted bool
		wantErr        bool
		wantRuns       int
	}{
		{name: "answered", method: http.MethodPost, wantStatus: 200, wantRuns: 1},
		{name: "error answer", faults: fake.Faults{Status: 500}, method: http.MethodPost, wantStatus: 500, wantRuns: 1},
		{name: "no body", faults: fake.Faults{Status: 204}, method: http.MethodDelete, wantStatus: 204, wantRuns: 1},
		{name: "head", method: http.MethodHead, wantStatus: 200, wantRuns: 1},
		{name: "nobody listens", method: http.MethodPost, closed: true, wantErr: true, wantNotStarted: true},
		{name: "refused", faults: fake.Faults{Refuse: true}, method: http.MethodPost, wantErr: true, wantNotStarted: true},
		{name: "answer lost", faults: fake.Faults{LoseAnswers: true}, method: http.MethodPost, wantErr: true, wantRuns: 1},
		{name: "answer cut", faults: fake.Faults{CutAnswers: true}, method: http.MethodPost, wantErr: true, wantRuns: 1},
		{name: "answer in chunks cut", faults: fake.Faults{CutChunks: true}, method: http.MethodPost, wantErr: true, wantRuns: 1},
		{name: "answer late", faults: fake.Faults{Delay: 2 * wait}, method: http.MethodPost, wantErr: true, wantRuns: 1},
		{name: "answer too large", faults: fake.Faults{AnswerBytes: maxBytes + 1}, method: http.MethodPost, wantErr: true, wantRuns: 1},
	}
	for _, tt := range tests {
		for _, once := range []bool{false, true} {
			t.Run(tt.name, func(t *testing.T) {
				t.Parallel()
				svc := fake.New("s")
				svc.SetFaults(tt.faults)
				addr := "127.0.0.1:1"
				if !tt.closed {
					addr = start(t, svc)
				}
				c := plain.New(addr)
				t.Cleanup(c.Close)
				ctx, cancel := context.WithTimeout(t.Context(), wait)
				defer cancel()
				got, err := c.Call(ctx, plain.Request{
					Method: tt.method, URI: "/x?y=1", FreshConnection: once, Headers: []plain.Header{{Name: fake.HeaderCall, Value: "c"}},
				}, maxBytes)
				if (err != nil) != tt.wantErr || errors.Is(err, plain.ErrNotStarted) != tt.wantNotStarted {
					t.Errorf("error %v, want one: %v, not started: %v", err, tt.wantErr, tt.wantNotStarted)
				}
				if got.Status != tt.wantStatus || svc.Runs()["c"] != tt.wantRuns {
					t.Errorf("status %d, %d runs; want %d, %d", got.Status, svc.Runs()["c"], tt.wantStatus, tt.wantRuns)
				}
			})
		}
	}
}
