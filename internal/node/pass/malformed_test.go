package pass_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"geraniumhollow/internal/fake/noise"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/retry"
	"github.com/hashicorp/go-hclog"
)

// Guards against a malformed answer that cannot be found in the log, or that fills it.
func TestMalformedAnswerIsLogged(t *testing.T) {
	t.Parallel()
	const maxLineBytes = 1 << 10
	filler := strings.Repeat("Filler: "+strings.Repeat("x", 100)+"\r\n", 30)
	for name, message := range noise.Malformed("Id: ID\r\n"+filler, "odd") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var log bytes.Buffer
			route := match.Route{Name: "r", Kind: match.Once, MaxAttempts: 2, Timeout: 2 * time.Second}
			node, end := newReportingRelay(t, hclog.New(&hclog.LoggerOptions{Output: &log, JSONFormat: true}), metric.New(), nil,
				func(context.Context, *pass.Call) {}, route, retry.NewBudgetWith(0, 5), writes(message), serves)
			if status, body, err := get(t, node); status != http.StatusBadGateway || err != nil {
				t.Errorf("got %d %q, %v", status, body, err)
			}
			end()
			found := 0
			for line := range strings.Lines(log.String()) {
				if strings.Contains(line, `"@message":"attempt ended"`) && strings.Contains(line, "malformed head") && strings.Contains(line, "HTTP/1.1") {
					found++
				}
				if len(line) > maxLineBytes || strings.ContainsAny(line, "\x01\r") {
					t.Errorf("a line of %d bytes: %q", len(line), line)
				}
			}
			if found != 1 {
				t.Errorf("%d lines tell of the message:\n%s", found, log.String())
			}
		})
	}
}
