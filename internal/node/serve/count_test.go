package serve_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// page returns the response body for a path of the operators' address, requested without a key.
func (s *testCluster) page(n *testNode, path string) string {
	s.t.Helper()
	resp, err := http.Get("http://" + n.cfg.OperatorAddress + path)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return string(raw)
}

// Guards against metrics that alerts depend on but that are never set.
func TestMetrics(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	n := s.nodes[0]
	for range 2 {
		if status, body := s.complete(n, 20); status != http.StatusOK {
			t.Fatalf("got %d %s", status, body)
		}
	}
	s.complete(n, -1)
	var page string
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(page)
		}
	})
	s.eventually(time.Second, "metrics", func() bool {
		page = s.page(n, "/metrics")
		for _, want := range []string{
			`requests_total{code="ok"} 2`, `requests_total{code="bad_request"} 1`, `refusals_total{code="bad_request"} 1`,
			`attempts_total{result="answered"} 2`, `grants_total{result="granted"} 2`, `grants_held 0`, `buffered_bytes `,
			`queue_requests 0`, `config_version 1`, `mode{mode="current"} 1`, `mode{mode="isolated"} 0`, `peers{state="live"} 5`,
			`table_calls_total{call="commit",result="ok"} `,
		} {
			if !strings.Contains(page, "\ngeraniumhollow_"+want) {
				page = "missing " + want + "\n" + page
				return false
			}
		}
		return true
	})
}
