package plain_test

import (
	"net/http"
	"testing"

	"geraniumhollow/internal/fake/noise"
	"geraniumhollow/internal/plat/plain"
	"github.com/cockroachdb/errors"
)

// Guards against bytes that are no answer and count as one, or as proof that a call did not start.
func TestMalformedAnswers(t *testing.T) {
	t.Parallel()
	for name, message := range noise.Malformed("X-Not-Started: 1\r\n", "ok") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := plain.New(noise.Serve(t, message))
			t.Cleanup(c.Close)
			answer, err := c.Call(t.Context(), plain.Request{Method: http.MethodPost, URI: "/"}, maxBytes)
			if err == nil || errors.Is(err, plain.ErrNotStarted) {
				t.Errorf("got %+v, %v", answer, err)
			}
		})
	}
}
