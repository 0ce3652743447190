package serve_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"geraniumhollow/internal/report/burn"
)

// Guards against a planned stop that loses the counts since the last snapshot, and against counting
// requests that failed because of the caller.
func TestBurnSnapshot(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	n := s.nodes[1]
	for range 5 {
		if status, body := s.complete(n, 20); status != http.StatusOK {
			t.Fatalf("got %d %s", status, body)
		}
	}
	s.complete(n, -1)
	n.stop()
	var rep burn.Report
	if err := json.Unmarshal([]byte(s.command(s.nodes[0], "report", "burn", "--json")), &rep); err != nil {
		t.Fatal(err)
	}
	if rep.Nodes != 1 || len(rep.Objectives) == 0 {
		t.Fatalf("got %+v", rep)
	}
	o := rep.Objectives[0]
	if o.Account != "account-00" || o.Windows[0].Total != 5 {
		t.Errorf("got %+v", o)
	}
	for _, p := range o.Parts {
		// On a busy host, requests can be slower than the objective allows.
		if p.Cause != burn.SlowFirst && p.Cause != burn.SlowBetween {
			t.Errorf("got %+v", p)
		}
	}
}
