package pass_test

import (
	"net/http"
	"testing"
	"time"

	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/retry"
)

// Guards against a response with the version of the server in place of the node's: its caller takes the chunks for the body.
func TestVersionOfResponse(t *testing.T) {
	t.Parallel()
	for name, message := range map[string]string{
		"without a length": "HTTP/1.0 200 OK\r\nId: ID\r\n\r\npage",
		"with a length":    "HTTP/1.0 200 OK\r\nId: ID\r\nContent-Length: 4\r\n\r\npage",
		"newer":            "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 4\r\n\r\npage",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			route := match.Route{Name: "r", Kind: match.Once, MaxAttempts: 2, Timeout: 5 * time.Second}
			status, body, err := get(t, newRelay(t, route, retry.NewBudgetWith(0, 5), writes(message)))
			if status != http.StatusOK || body != "page" || err != nil {
				t.Errorf("got %d %q, %v", status, body, err)
			}
		})
	}
}
