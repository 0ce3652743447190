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

// resumeTokens is the length of the resumed answers; at 2 ms a token they run for a quarter of a second.
const resumeTokens = 128

// stream sends a completion, or the resumption of one, and returns the text of at most limit events,
// the id of the last of them, and whether the answer came to its end.
func (s *system) stream(n *running, prompt, lastID string, limit int) (string, string, bool) {
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

// resume comes back for the rest of an answer. While the backend server's shard moves to another node,
// the answer is a refusal with retry_after, which callers follow; the bound is for the whole of it.
func (s *system) resume(n *running, prompt, last string) (string, bool) {
	s.t.Helper()
	for end := time.Now().Add(resumeBound); ; time.Sleep(200 * time.Millisecond) {
		rest, _, whole := s.stream(n, prompt, last, 2*resumeTokens)
		if rest != "" || time.Now().After(end) {
			return rest, whole
		}
	}
}

// resumeBound is the time in which a caller must be able to come back: 4 s until the shard of a node
// that stops is in other hands, 3 s for its grants, and the queue timeout.
const resumeBound = 9 * time.Second

// Guards against a caller that loses its connection and gets the rest of its answer cut, repeated or
// from another request, whichever node it comes back to.
func TestResume(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		resume int
		before func(s *system)
	}{
		{"same node", 0, func(*system) {}},
		{"other node", 4, func(*system) {}},
		{"other node after the first has gone", 4, func(s *system) { s.nodes[0].stop() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t)
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
