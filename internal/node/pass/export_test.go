package pass

import (
	"context"

	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
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

// Shrink returns the memory of large events.
func (e *EventParser) Shrink() { e.e.shrink() }

// Count returns the number of new events.
func (e *EventParser) Count() int { return e.e.count }

// Cap returns the size of the buffer.
func (e *EventParser) Cap() int { return cap(e.e.buf) }

// LastID returns the ID of the last complete event.
func (e *EventParser) LastID() string { return e.e.lastID }

// ErrEventGap exports errEventGap.
var ErrEventGap = errEventGap

// StartRun exports startRun.
func (c *CrashTracker) StartRun(f crash.Fingerprint, id string) crash.RunID {
	return c.StartRunAt(f, &index.Entry{Info: server.Info{ID: id}})
}

// StartRunAt exports startRun.
func (c *CrashTracker) StartRunAt(f crash.Fingerprint, e *index.Entry) crash.RunID {
	return c.startRun(f, nil, e, nil)
}

// StartPrompt exports startRun for a request whose prompt has shared parts.
func (c *CrashTracker) StartPrompt(f crash.Fingerprint, parts []crash.Part, id string, cancel context.CancelCauseFunc) crash.RunID {
	return c.startRun(f, parts, &index.Entry{Info: server.Info{ID: id}}, cancel)
}

// AnswerBegan exports answerBegan.
func (c *CrashTracker) AnswerBegan(id crash.RunID) { c.answerBegan(id) }

// PartsSafe exports partsSafe.
func (c *CrashTracker) PartsSafe(id crash.RunID) { c.partsSafe(id) }

// EndRun exports endRun.
func (c *CrashTracker) EndRun(id crash.RunID, f crash.Fingerprint, e *index.Entry, o Outcome, connBroke bool) {
	c.endRun(id, f, e, o, connBroke)
}
