package pass_test

import (
	"net/http"
	"testing"
	"time"

	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/retry"
)

// Guards against events of another stream whose IDs are no numbers: they were passed on within a stream whose IDs are numbers, and
// what followed them was not checked for repeated and missing events.
func TestIDsOfAnotherStream(t *testing.T) {
	t.Parallel()
	for name, foreign := range map[string]string{
		"text": "id: x\ndata: foreign\n\n", "empty": "id:\ndata: foreign\n\n", "negative": "id: -2\n\n", "too large": "id: 99999999999999999999\n\n",
	} {
		other := answers(streamType, foreign+"id: 4\n\n")
		tests := map[string]struct {
			silent silentFrom
			first  http.HandlerFunc
		}{
			"beside a silent server": {silentFromFirstPart, hangs},
			"after a cut":            {neverSilent, cutsStream},
		}
		for when, tt := range tests {
			t.Run(name+" "+when, func(t *testing.T) {
				t.Parallel()
				route := match.Route{Name: "r", Kind: match.Stream, Resumable: true, MaxAttempts: 4, Timeout: 5 * time.Second}
				status, body, err := get(t, newSilentRelay(t, tt.silent, route, retry.NewBudgetWith(0, 9), tt.first, other, serves))
				if status != http.StatusOK || body != whole || err != nil {
					t.Errorf("got %d %q, error %v, want the whole stream", status, body, err)
				}
			})
		}
	}
}
