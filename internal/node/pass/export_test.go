package pass

import (
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/route/crash"
)

// EventParser exports eventParser for tests.
type EventParser struct{ e eventParser }

// ResumeFrom sets the ID of the last event that the caller has.
func (e *EventParser) ResumeFrom(id string) { e.e.resumeFrom(id) }

// Feed parses bytes and returns the complete events.
func (e *EventParser) Feed(b string) (string, error) {
	out, err := e.e.feed([]byte(b))
	return string(out), err
}

// LastID returns the ID of the last complete event.
func (e *EventParser) LastID() string { return e.e.lastID }

// ErrEventGap exports errEventGap.
var ErrEventGap = errEventGap

// StartRun exports startRun.
func (c *CrashTracker) StartRun(f crash.Fingerprint, server string) crash.RunID {
	return c.startRun(f, server)
}

// EndRun exports endRun.
func (c *CrashTracker) EndRun(id crash.RunID, f crash.Fingerprint, e *index.Entry, o Outcome, connBroke bool) {
	c.endRun(id, f, e, o, connBroke)
}
