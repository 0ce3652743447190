package crash

import (
	"slices"
	"time"

	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

// maxWriteAttempts is the maximum number of writes of a counter whose writes keep conflicting.
const maxWriteAttempts = 8

// RunCount is the value of the run count of a fingerprint. The token of a run that completes is removed, so
// that only runs that crashed, or may have crashed, count towards the limit.
type RunCount struct {
	// Tokens identify the runs that may be in progress.
	Tokens []string `json:"tokens,omitempty"`
	// Crashed is the number of runs that ended as crashes.
	Crashed int `json:"crashed,omitempty"`
	// At is the time at which the latest run was counted. After retention the row counts as empty.
	At time.Time `json:"at"`
}

// Empty reports whether the row counts no runs and may be deleted.
func (r RunCount) Empty() bool { return len(r.Tokens) == 0 && r.Crashed == 0 }

// Action is the next step that the caller of a Counter has to perform.
type Action interface{ action() }

// Read reads the row. It results in ReadEnded.
type Read struct{}

// Write writes the row if it still has the revision Base, or deletes it if the new row is empty. It
// results in WriteEnded.
type Write struct {
	Base table.Revision
	Row  RunCount
}

// Verdict is the final result of a counter.
type Verdict int

const (
	// Unavailable means that the table did not confirm the change; a run must not begin.
	Unavailable Verdict = iota
	// Allowed means that the run is counted and may begin, or that its token has been removed.
	Allowed
	// LimitReached means that the runs that crashed have reached the limit.
	LimitReached
	// InUse means that the limit is reached only if runs that may be in progress are included. These may
	// still complete and clear the request.
	InUse
)

func (Read) action()    {}
func (Write) action()   {}
func (Verdict) action() {}

// Event is the result of an action of a counter.
type Event interface{ event() }

// ReadEnded is the result of Read. A row that does not exist has the revision table.Absent.
type ReadEnded struct {
	OK       bool
	Row      RunCount
	Revision table.Revision
}

// WriteEnded is the result of Write. Err is nil, table.ErrConflict, table.ErrUnavailable, or another
// error if the write may still take effect.
type WriteEnded struct {
	Err error
}

func (ReadEnded) event()  {}
func (WriteEnded) event() {}

// operation is the change that a counter makes to the row.
type operation int

const (
	countRun operation = iota
	giveBack
	settle
)

// Counter adds the token of one run to the row before the run begins, or removes it afterwards. After a write with an unknown
// result, the row is read again and the token shows whether the write took effect. A write that takes
// effect late can only make the count too high.
type Counter struct {
	operation     operation
	token         string
	limit         int
	writeAttempts int
}

// CountRun returns a counter that counts the run with the given token; limit is the maximum number of runs
// in the whole fleet.
func CountRun(token string, limit int) *Counter { return &Counter{token: token, limit: limit} }

// ReleaseRun returns a counter that removes the token of a run that completed or did not start.
func ReleaseRun(token string) *Counter { return &Counter{operation: giveBack, token: token} }

// RecordCrash returns a counter that removes the token of a run and counts a crash instead.
func RecordCrash(token string) *Counter { return &Counter{operation: settle, token: token} }

// Start returns the first action.
func (c *Counter) Start() Action { return Read{} }

// Next takes the result of the last action and returns the next action.
func (c *Counter) Next(now time.Time, ev Event) Action {
	switch e := ev.(type) {
	case ReadEnded:
		if !e.OK {
			return Unavailable
		}
		return c.decide(now, e)
	case WriteEnded:
		return c.handleWrite(e)
	default:
		return Unavailable
	}
}

func (c *Counter) decide(now time.Time, e ReadEnded) Action {
	row := e.Row
	if now.Sub(row.At) > retention {
		row = RunCount{}
	}
	if c.done(row) {
		return Allowed
	}
	if c.operation == countRun && row.Crashed >= c.limit {
		return LimitReached
	}
	if c.operation == countRun && row.Crashed+len(row.Tokens) >= c.limit {
		return InUse
	}
	if c.writeAttempts >= maxWriteAttempts {
		return Unavailable
	}
	c.writeAttempts++
	return Write{Base: e.Revision, Row: c.updatedRow(now, row)}
}

// done reports whether a row that was read shows the operation. A crash whose token is missing before any write counts: the
// table was restored, and has lost the count of the run.
func (c *Counter) done(row RunCount) bool {
	counted := slices.Contains(row.Tokens, c.token)
	switch c.operation {
	case countRun:
		return counted
	case settle:
		return !counted && c.writeAttempts > 0
	default:
		return !counted
	}
}

// updatedRow returns the row after the operation of the counter.
func (c *Counter) updatedRow(now time.Time, row RunCount) RunCount {
	if c.operation == countRun {
		return RunCount{Tokens: append(slices.Clone(row.Tokens), c.token), Crashed: row.Crashed, At: now}
	}
	row.Tokens = slices.DeleteFunc(slices.Clone(row.Tokens), func(t string) bool { return t == c.token })
	if c.operation == settle {
		row.Crashed++
		if row.At.IsZero() {
			row.At = now
		}
	}
	return row
}

func (c *Counter) handleWrite(e WriteEnded) Action {
	switch {
	case e.Err == nil:
		return Allowed
	case errors.Is(e.Err, table.ErrUnavailable):
		return Unavailable
	default:
		return Read{}
	}
}
