package pass

import (
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/route/crash"
)

// Events is the cutter of streams, for its tests.
type Events struct{ e events }

// From makes the events go on after the one with an id.
func (e *Events) From(id string) { e.e.from(id) }

// Add takes bytes and returns those of whole events.
func (e *Events) Add(b string) (string, error) {
	out, err := e.e.add([]byte(b))
	return string(out), err
}

// Last returns the id of the last whole event.
func (e *Events) Last() string { return e.e.last }

// ErrGap is the error of a stream that skips events.
var ErrGap = errGap

// Begin and End note a run for tests of the suspicion.
func (k *Crashes) Begin(f crash.Fingerprint, server string) crash.RunID { return k.begin(f, server) }

// End notes how a run ended.
func (k *Crashes) End(id crash.RunID, f crash.Fingerprint, e *index.Entry, o Outcome, broke bool) {
	k.end(id, f, e, o, broke)
}
