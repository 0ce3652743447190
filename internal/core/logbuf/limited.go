package logbuf

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// limitedInterval is the time between lines of one Limited.
const limitedInterval = time.Second

// Limited writes a line at most once a second, for causes that many clients can have at the same time. The zero value is ready for
// use, and it is safe for concurrent use.
type Limited struct {
	mu      sync.Mutex
	last    time.Time
	omitted int
}

// Log writes a line of a level, with the number of lines that were omitted before, or omits it.
func (l *Limited) Log(log hclog.Logger, level hclog.Level, msg string, args ...any) {
	l.mu.Lock()
	now := time.Now()
	if now.Sub(l.last) < limitedInterval {
		l.omitted++
		l.mu.Unlock()
		return
	}
	omitted := l.omitted
	l.last, l.omitted = now, 0
	l.mu.Unlock()
	log.Log(level, msg, append(args, "omitted", omitted)...)
}
