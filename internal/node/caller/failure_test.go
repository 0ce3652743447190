package caller_test

import (
	"io"
	"strings"
	"testing"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/fake/model"
)

// Guards against a request that fails on every engine but ends with the marker of a complete response.
func TestFailureHasNoEndMark(t *testing.T) {
	t.Parallel()
	for _, streamed := range []bool{true, false} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2, 0, schema.Limits{})
			for _, e := range f.engines {
				e.SetFaults(model.Faults{CrashOnPrompt: prompt})
			}
			body := f.streamBody(8)
			if !streamed {
				body = strings.Replace(body, `"stream":true`, `"stream":false`, 1)
			}
			a := f.send(call{body: body})
			raw, err := io.ReadAll(a.body)
			if err != nil {
				t.Fatal(err)
			}
			checkErrorBody(t, raw, fault.BackendFailed, fault.Unknown)
		})
	}
}
