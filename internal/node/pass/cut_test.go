package pass_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/retry"
	"github.com/hashicorp/go-hclog"
)

// goesSilent writes an event and nothing more, until the node leaves.
func goesSilent(w http.ResponseWriter, r *http.Request) {
	writeEvents(w, r, 1)
	<-r.Context().Done()
}

// Guards against answers that end early without a line that says why, with more than one, or without being counted.
func TestCutAnswerIsLogged(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		servers []http.HandlerFunc
		once    bool
		retries float64
		end     string
		reason  string
	}{
		"servers broke off":    {servers: []http.HandlerFunc{cutsStream, cutsStream, serves}, retries: 5, reason: "attempts"},
		"no retries left":      {servers: []http.HandlerFunc{cutsStream, serves}, reason: "retry_budget"},
		"no server left":       {servers: []http.HandlerFunc{cutsStream}, retries: 5, reason: "no_server"},
		"cannot be resumed":    {servers: []http.HandlerFunc{cutsStream, serves}, once: true, retries: 5, reason: "cut_short"},
		"time is up":           {servers: []http.HandlerFunc{goesSilent}, retries: 5, reason: "time_up"},
		"caller left":          {servers: []http.HandlerFunc{goesSilent}, retries: 5, end: "caller", reason: "caller_left"},
		"node ends":            {servers: []http.HandlerFunc{goesSilent}, retries: 5, end: "node", reason: "node_ends"},
		"complete":             {servers: []http.HandlerFunc{cutsStream, serves}, retries: 5},
		"refused, not cut off": {servers: []http.HandlerFunc{refuses}, retries: 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var log bytes.Buffer
			metrics := metric.New()
			route := match.Route{Name: "r", Kind: match.Stream, Resumable: !tt.once, MaxAttempts: 2, Timeout: 600 * time.Millisecond}
			node, end := newReportingRelay(t, hclog.New(&hclog.LoggerOptions{Output: &log, JSONFormat: true}), metrics, nil,
				func(context.Context, *pass.Call) {}, route, retry.NewBudgetWith(0, tt.retries), tt.servers...)
			nc, err := net.Dial("tcp", node)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			_, _ = io.WriteString(nc, "POST /x HTTP/1.1\r\nHost: h\r\nId: q\r\nContent-Length: 0\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			switch tt.end {
			case "caller":
				_ = nc.Close()
				time.Sleep(100 * time.Millisecond)
			case "node":
			default:
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			end()
			var reasons []string
			for line := range bytes.Lines(log.Bytes()) {
				var entry struct {
					Message string `json:"@message"`
					Request string `json:"request"`
					Reason  string `json:"reason"`
				}
				if err := json.Unmarshal(line, &entry); err != nil {
					t.Fatal(err)
				}
				if entry.Message == "cut an answer" && entry.Request == "q" {
					reasons = append(reasons, entry.Reason)
				}
			}
			if got := strings.Join(reasons, ","); got != tt.reason {
				t.Errorf("got reasons %q, want %q in\n%s", got, tt.reason, log.String())
			}
			rec := httptest.NewRecorder()
			metrics.Handler().ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil))
			counted := `geraniumhollow_answers_cut_total{reason="` + tt.reason + "\"} 1\n"
			if strings.Count(rec.Body.String(), "answers_cut_total{") != len(reasons) || (tt.reason != "" && !strings.Contains(rec.Body.String(), counted)) {
				t.Errorf("the metrics lack %s", counted)
			}
		})
	}
}
