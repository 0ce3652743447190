package metric_test

import (
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/report/metric"
)

// Guards against metrics that are not counted, against alarms on metrics that do not exist, and against label values from outside the fixed sets.
func TestPage(t *testing.T) {
	t.Parallel()
	s := metric.New()
	s.RequestEnded("", time.Second)
	s.RequestEnded(fault.Overloaded, time.Second)
	s.RequestEnded("text of a caller", time.Second)
	s.Refused(fault.RateLimited)
	s.AttemptEnded("failed")
	s.AttemptEnded("weird")
	s.Retried()
	s.AnswerCut("attempts")
	s.AnswerCut("weird")
	s.Queue(3)
	s.Queue(2)
	s.Buffered(100)
	s.Grant("granted")
	s.Grant("weird")
	s.GrantsHeld(4)
	s.Configuration(7, 1500*time.Millisecond, "store_down")
	s.Peers(map[string]int{"live": 5, "made up": 1})
	p := store.New()
	tb := s.Table(p)
	_, _ = tb.Get(t.Context(), "absent")
	p.SetDown(true)
	_, _ = tb.Scan(t.Context(), "", "", 1)
	rec := httptest.NewRecorder()
	s.Handler().ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), "GET", "/metrics", nil))
	page := rec.Body.String()
	for _, want := range []string{
		`requests_total{code="ok"} 1`, `requests_total{code="overloaded"} 1`, `requests_total{code="other"} 1`,
		`refusals_total{code="rate_limited"} 1`, `attempts_total{result="failed"} 1`, `attempts_total{result="other"} 1`,
		`retries_total 1`, `answers_cut_total{reason="attempts"} 1`, `answers_cut_total{reason="other"} 1`, `queue_requests 2`, `buffered_bytes 100`, `grants_total{result="granted"} 1`, `grants_total{result="other"} 1`, `grants_held 4`,
		`config_version 7`, `config_age_seconds 1.5`, `mode{mode="store_down"} 1`, `mode{mode="current"} 0`, `peers{state="live"} 5`,
		`table_calls_total{call="get",result="not_found"} 1`, `table_calls_total{call="scan",result="unavailable"} 1`,
	} {
		if !strings.Contains(page, "geraniumhollow_"+want+"\n") {
			t.Errorf("the page lacks %s", want)
		}
	}
	alarms, err := os.ReadFile("../../../docs/operators/alarms.md")
	if err != nil {
		t.Fatal(err)
	}
	names := regexp.MustCompile("geraniumhollow_[a-z_]+").FindAllString(string(alarms), -1)
	for _, name := range names {
		if !strings.Contains(page, "# TYPE "+name+" ") {
			t.Errorf("alarms.md names %s, which the page lacks", name)
		}
	}
	if len(names) == 0 {
		t.Error("alarms.md names no metric")
	}
	if strings.Contains(page, "made up") || strings.Contains(page, "text of a caller") {
		t.Error("the page has a label value from outside the fixed sets")
	}
}
