package logbuf_test

import (
	"bytes"
	"testing"

	"geraniumhollow/internal/core/logbuf"
	"github.com/hashicorp/go-hclog"
)

// Guards against clients that fill the log.
func TestLimited(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &out})
	var l logbuf.Limited
	for range 1000 {
		l.Log(log, hclog.Warn, "refused", "client", 1)
	}
	if n := bytes.Count(out.Bytes(), []byte("refused")); n == 0 || n > 10 {
		t.Errorf("%d lines were written", n)
	}
}
