package crash

import (
	"slices"
	"time"

	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

// maxTries bounds the writes of a counter that loses every race.
const maxTries = 8

// Row is the value of a run count. A run that completes takes its token out again, so that only runs
// that crashed, or may have, use up the limit.
type Row struct {
	// Tokens are the runs that may be under way.
	Tokens []string `json:"tokens,omitempty"`
	// Crashed counts the runs that ended with the death of their server.
	Crashed int       `json:"crashed,omitempty"`
	At      time.Time `json:"at"`
}

// Empty reports whether the row says nothing and may be deleted.
func (r Row) Empty() bool { return len(r.Tokens) == 0 && r.Crashed == 0 }

// Action is what the shell has to do for a counter.
type Action interface{ action() }

// Read reads the row. It is answered by ReadEnded.
type Read struct{}

// Write writes the row if it still has the revision Base, or deletes it when it is empty. It is
// answered by WriteEnded.
type Write struct {
	Base uint64
	Row  Row
}

// Verdict ends the counter.
type Verdict int

const (
	// Unavailable means that the table did not confirm the run; it must not begin.
	Unavailable Verdict = iota
	// Allowed means that the run is counted and may begin.
	Allowed
	// LimitReached means that the fleet has used up the runs.
	LimitReached
	// InUse means that runs which may be under way use up the limit. They may still complete and clear
	// the request.
	InUse
)

func (Read) action()    {}
func (Write) action()   {}
func (Verdict) action() {}

// Event is what came of an action of a counter.
type Event interface{ event() }

// ReadEnded answers Read. A row that does not exist has revision table.Absent.
type ReadEnded struct {
	OK       bool
	Row      Row
	Revision uint64
}

// WriteEnded answers Write with nil, table.ErrConflict, table.ErrUnavailable or another error when the
// write may still take effect.
type WriteEnded struct {
	Err error
}

func (ReadEnded) event()  {}
func (WriteEnded) event() {}

// purpose is what a counter does with its token.
type purpose int

const (
	count purpose = iota
	giveBack
	settle
)

// Counter counts one run before it begins, or ends its count afterwards. A write whose answer is lost
// is read back by the token; one that takes effect late can only count too much.
type Counter struct {
	purpose purpose
	token   string
	limit   int
	tries   int
}

// Count returns a counter of the run token; limit is the number of runs in the whole fleet.
func Count(token string, limit int) *Counter { return &Counter{token: token, limit: limit} }

// GiveBack returns a counter that takes the token of a run out that completed or did not start.
func GiveBack(token string) *Counter { return &Counter{purpose: giveBack, token: token} }

// Settle returns a counter that turns the token of a run into a crash.
func Settle(token string) *Counter { return &Counter{purpose: settle, token: token} }

// Start returns the first action.
func (c *Counter) Start() Action { return Read{} }

// Next takes what came of the last action and returns the next one.
func (c *Counter) Next(now time.Time, ev Event) Action {
	switch e := ev.(type) {
	case ReadEnded:
		if !e.OK {
			return Unavailable
		}
		return c.decide(now, e)
	case WriteEnded:
		return c.wrote(e)
	default:
		return Unavailable
	}
}

func (c *Counter) decide(now time.Time, e ReadEnded) Action {
	row := e.Row
	if now.Sub(row.At) > memory {
		row = Row{}
	}
	if slices.Contains(row.Tokens, c.token) == (c.purpose == count) {
		return Allowed
	}
	if c.purpose == count && row.Crashed >= c.limit {
		return LimitReached
	}
	if c.purpose == count && row.Crashed+len(row.Tokens) >= c.limit {
		return InUse
	}
	if c.tries >= maxTries {
		return Unavailable
	}
	c.tries++
	return Write{Base: e.Revision, Row: c.change(now, row)}
}

// change returns the row with the run counted, or with its count ended.
func (c *Counter) change(now time.Time, row Row) Row {
	if c.purpose == count {
		return Row{Tokens: append(slices.Clone(row.Tokens), c.token), Crashed: row.Crashed, At: now}
	}
	row.Tokens = slices.DeleteFunc(slices.Clone(row.Tokens), func(t string) bool { return t == c.token })
	if c.purpose == settle {
		row.Crashed++
	}
	return row
}

func (c *Counter) wrote(e WriteEnded) Action {
	switch {
	case e.Err == nil:
		return Allowed
	case errors.Is(e.Err, table.ErrUnavailable):
		return Unavailable
	default:
		return Read{}
	}
}
