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
	Tokens []string  `json:"tokens"`
	At     time.Time `json:"at"`
}

// Action is what the shell has to do for a counter.
type Action interface{ action() }

// Read reads the row. It is answered by ReadEnded.
type Read struct{}

// Write writes the row if it still has the revision Base, or deletes it when no token is left. It is
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

// Counter counts one run before it begins, or takes its count back after it completed. A write whose
// answer is lost is read back by the token; one that takes effect late can only count too much.
type Counter struct {
	token string
	limit int
	back  bool
	tries int
}

// Count returns a counter of the run token; limit is the number of runs in the whole fleet.
func Count(token string, limit int) *Counter { return &Counter{token: token, limit: limit} }

// GiveBack returns a counter that takes the completed run token out.
func GiveBack(token string) *Counter { return &Counter{token: token, back: true} }

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
	tokens := e.Row.Tokens
	if now.Sub(e.Row.At) > memory {
		tokens = nil
	}
	counted := slices.Contains(tokens, c.token)
	switch {
	case c.back && !counted, !c.back && counted:
		return Allowed
	case !c.back && len(tokens) >= c.limit:
		return LimitReached
	case c.tries >= maxTries:
		return Unavailable
	}
	c.tries++
	if c.back {
		rest := slices.DeleteFunc(slices.Clone(tokens), func(t string) bool { return t == c.token })
		return Write{Base: e.Revision, Row: Row{Tokens: rest, At: e.Row.At}}
	}
	return Write{Base: e.Revision, Row: Row{Tokens: append(slices.Clone(tokens), c.token), At: now}}
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
