package serve_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"geraniumhollow/internal/fake/model"
	"geraniumhollow/internal/wire/event"
)

// resumeTokens is the length of the resumed answers. At 2 ms per token they take a quarter of a second.
const resumeTokens = 128

// stream sends a completion, or resumes one if lastID is set. It returns the text of at most limit events, the
// id of the last event, and whether the answer was complete.
func (s *testCluster) stream(n *testNode, prompt, lastID string, limit int) (string, string, bool) {
	s.t.Helper()
	body := fmt.Sprintf(`{"model":"presse-lm","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, resumeTokens)
	if lastID != "" {
		body = ""
	}
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost,
		"http://"+n.cfg.CallerAddress+"/v1/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+s.site.Deployment.AccountKey(0))
	if lastID != "" {
		req.Header.Set("Last-Event-ID", lastID)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	events := event.NewReader(resp.Body)
	var text strings.Builder
	for range limit {
		ev, err := events.Next()
		if err != nil {
			return text.String(), lastID, false
		}
		if string(ev.Data) == "[DONE]" {
			return text.String(), lastID, true
		}
		lastID = ev.ID
		_, rest, _ := strings.Cut(string(ev.Data), `"text":"`)
		part, _, _ := strings.Cut(rest, `"`)
		text.WriteString(part)
	}
	return text.String(), lastID, false
}

// resume requests the rest of an answer and retries until it gets some text. While the shard of the backend
// server moves to another node, requests are refused with retry_after. The limit covers all retries.
func (s *testCluster) resume(n *testNode, prompt, last string) (string, bool) {
	s.t.Helper()
	for end := time.Now().Add(resumeTimeout); ; time.Sleep(200 * time.Millisecond) {
		rest, _, whole := s.stream(n, prompt, last, 2*resumeTokens)
		if rest != "" || time.Now().After(end) {
			return rest, whole
		}
	}
}

// resumeTimeout is the time within which a caller must be able to resume: 4 s until another node holds the
// shard of a stopping node, 3 s for the grants of the old holder to end, and the queue timeout.
const resumeTimeout = 9 * time.Second

// Guards against a resumed answer that is cut short, repeated or mixed with another request, on the same
// node, on another node, and after the first node has stopped.
func TestResume(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		resume int
		before func(s *testCluster)
	}{
		{"same node", 0, func(*testCluster) {}},
		{"other node", 4, func(*testCluster) {}},
		{"other node after the first stopped", 4, func(s *testCluster) { s.nodes[0].stop() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t)
			prompt := "resume " + tt.name
			first, last, _ := s.stream(s.nodes[0], prompt, "", 10)
			tt.before(s)
			time.Sleep(20 * time.Millisecond)
			rest, whole := s.resume(s.nodes[tt.resume], prompt, last)
			if want := model.Answer(prompt, resumeTokens); first+rest != want || !whole {
				t.Errorf("got %d and %d bytes, whole %v; want %d", len(first), len(rest), whole, len(want))
			}
		})
	}
}
