package pass

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event. A server whose bytes hold no end of an event is not writing any.
const maxEventBytes = 256 << 10

// errTooLong means that the bytes of a stream hold no event.
var errTooLong = errors.New("event has no end")

// errGap means that a stream skips events: it is not the one that is being answered, or lost a part.
var errGap = errors.New("stream skips events")

// events cuts the bytes of a stream into whole events and checks that none is missing or comes twice.
type events struct {
	// last is the id of the last whole event, or what the caller asked to go on from.
	last string
	// number is last as a number, valid if numbered is set.
	number   uint64
	numbered bool
	count    int
	// out holds the bytes that add returned last; part those of an event that is not whole yet.
	out  []byte
	part []byte
}

var (
	idField  = []byte("id:")
	blankEnd = []byte("\n\n")
)

// from makes the events go on after the one with an id.
func (e *events) from(id string) {
	e.last = id
	n, err := strconv.ParseUint(id, 10, 64)
	e.number, e.numbered = n, err == nil
}

// add takes bytes of the stream and returns those of all events that are whole now, without those that the
// caller has. The result is valid until the next call. With an error, it holds the events before it.
func (e *events) add(b []byte) ([]byte, error) {
	// The part that was there holds no end, but its last byte may begin one.
	searched := max(0, len(e.part)-1)
	e.part = append(e.part, b...)
	e.out = e.out[:0]
	rest := e.part
	for {
		end := bytes.Index(rest[searched:], blankEnd)
		if end < 0 {
			break
		}
		end += searched
		searched = 0
		event := rest[:end+len(blankEnd)]
		fresh, err := e.take(event)
		if err != nil {
			return e.out, err
		}
		if fresh {
			e.out = append(e.out, event...)
		}
		rest = rest[len(event):]
	}
	e.part = append(e.part[:0], rest...)
	if len(e.part) > maxEventBytes {
		return e.out, errors.Newf("%d bytes: %w", len(e.part), errTooLong)
	}
	return e.out, nil
}

// take checks the id of an event and reports whether the caller lacks it.
func (e *events) take(event []byte) (bool, error) {
	id, ok := eventID(event)
	if !ok {
		e.count++
		return true, nil
	}
	n, err := strconv.ParseUint(id, 10, 64)
	if err == nil && e.numbered {
		switch {
		case n <= e.number:
			return false, nil
		case n > e.number+1:
			return false, errors.Newf("event %d after %d: %w", n, e.number, errGap)
		}
	}
	e.from(id)
	e.count++
	return true, nil
}

func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(id)), true
		}
	}
	return "", false
}

// rest returns the bytes after the last whole event.
func (e *events) rest() []byte { return e.part }

// dropPart forgets an event that is not whole: it comes again when the stream is resumed.
func (e *events) dropPart() { e.part = e.part[:0] }
