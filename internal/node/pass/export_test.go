package pass

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
