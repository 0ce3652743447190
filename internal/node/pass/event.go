package pass

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds the size of one event. A server that sends more without completing one is not sending events.
const maxEventBytes = 256 << 10

// errEventTooLong means that a stream holds more than maxEventBytes without the end of an event.
var errEventTooLong = errors.New("event is too long")

// errEventGap means that event IDs are missing from a stream: it is a different stream or has lost data.
var errEventGap = errors.New("stream is missing events")

// maxStaleBytes bounds the events that the caller already has and the comments between two new events. A server that sends more of
// them does not go on with the stream.
const maxStaleBytes = 1 << 20

// errStale means that a stream holds more than maxStaleBytes without a new event.
var errStale = errors.New("stream has no new event")

// errNoEvent means that a stream of events with IDs goes on with bytes that have none: they are no part of it.
var errNoEvent = errors.New("event has no ID")

// errForeignID means that a stream whose IDs are numbers goes on with an ID that is none.
var errForeignID = errors.New("event ID is not a number")

// eventParser splits a server-sent event stream into events, drops events that the caller already has and detects
// missing ones.
type eventParser struct {
	// lastID is the ID of the last complete event, or the ID after which the caller asked to resume.
	lastID string
	// lastNumber is lastID as a number, valid if numbered is set.
	lastNumber uint64
	numbered   bool
	// count is the number of new events.
	count int
	// stale is the size of what followed the last new event.
	stale int
	// buf holds the events that feed returned, followed by partial, the bytes of an incomplete event.
	buf     []byte
	partial []byte
	// hold is the memory of buf.
	hold hold
}

var (
	idField   = []byte("id:")
	dataField = []byte("data")
	eventEnd  = []byte("\n\n")
)

// resumeFrom sets the ID of the last event that the caller has.
func (e *eventParser) resumeFrom(id string) {
	e.lastID = id
	n, err := strconv.ParseUint(id, 10, 64)
	e.lastNumber, e.numbered = n, err == nil
}

// feed parses the next bytes of the stream and returns the events that are now complete, without those that the
// caller already has. Comments are returned, but not counted as events. The result is valid until the next call. On an error, it
// holds the events before the error, and partial begins with the event that caused it.
func (e *eventParser) feed(b []byte) ([]byte, error) {
	// The existing partial event contains no terminator, but its last byte may be the first half of one.
	searchFrom := max(0, len(e.partial)-1)
	if err := e.add(b); err != nil {
		return nil, err
	}
	// Events that are returned are moved to buf[:kept], in place of those that the caller already has. parsed is the end of the last one.
	kept, parsed := 0, 0
	defer func() { e.partial = e.buf[parsed:] }()
	for {
		end := bytes.Index(e.buf[parsed+searchFrom:], eventEnd)
		if end < 0 {
			break
		}
		event := e.buf[parsed : parsed+searchFrom+end+len(eventEnd)]
		searchFrom = 0
		kind, err := e.accept(event)
		if err != nil {
			return e.buf[:kept], err
		}
		parsed += len(event)
		if kind != repeatedEvent {
			kept += copy(e.buf[kept:], event)
		}
		if kind == newEvent {
			e.count++
			e.stale = 0
		} else if e.stale += len(event); e.stale > maxStaleBytes {
			return e.buf[:kept], errors.Newf("after event %s: %w", e.lastID, errStale)
		}
	}
	if n := len(e.buf) - parsed; n > maxEventBytes {
		return e.buf[:kept], errors.Newf("%d bytes: %w", n, errEventTooLong)
	}
	return e.buf[:kept], nil
}

// add drops the events that feed returned, and appends bytes to partial.
func (e *eventParser) add(b []byte) error {
	need := len(e.partial) + len(b)
	if need <= cap(e.buf) {
		e.buf = append(e.buf[:0], e.partial...)
	} else {
		size := max(need, 2*cap(e.buf))
		if need <= freeBytes {
			size = min(size, freeBytes)
		}
		if err := e.hold.resize(len(e.partial), size); err != nil {
			return err
		}
		e.buf = append(make([]byte, 0, size), e.partial...)
	}
	e.buf = append(e.buf, b...)
	e.partial = e.buf
	return nil
}

// shrink returns the memory of a large event once it has been written to the caller.
func (e *eventParser) shrink() {
	if cap(e.buf) > freeBytes && len(e.partial) <= copyBufferBytes {
		e.buf = bytes.Clone(e.partial)
		e.partial = e.buf
		e.hold.close()
	}
}

// eventKind is what an event is to the caller.
type eventKind int

const (
	newEvent eventKind = iota
	// repeatedEvent is one that the caller already has.
	repeatedEvent
	// commentEvent has neither an ID nor data, and so is no event for the caller. Servers send comments to keep connections alive.
	commentEvent
)

// accept checks the ID of an event.
func (e *eventParser) accept(event []byte) (eventKind, error) {
	id, ok := eventID(event)
	if !ok {
		switch {
		case isComment(event):
			return commentEvent, nil
		case e.numbered:
			return newEvent, errors.Newf("after event %s: %w", e.lastID, errNoEvent)
		case !hasData(event):
			return commentEvent, nil
		default:
			return newEvent, nil
		}
	}
	n, err := strconv.ParseUint(id, 10, 64)
	if e.numbered {
		switch {
		case err != nil:
			return newEvent, errors.Newf("event %.80q after %s: %w", id, e.lastID, errForeignID)
		case n <= e.lastNumber:
			return repeatedEvent, nil
		case n > e.lastNumber+1:
			return newEvent, errors.Newf("event %d after %d: %w", n, e.lastNumber, errEventGap)
		}
	}
	e.resumeFrom(id)
	return newEvent, nil
}

func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(id)), true
		}
	}
	return "", false
}

// isComment reports whether an event has only comments and empty lines.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line[0] != ':' && len(bytes.TrimSpace(line)) > 0 {
			return false
		}
	}
	return true
}

// hasData reports whether an event has a data field.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":")); bytes.Equal(name, dataField) {
			return true
		}
	}
	return false
}

// take returns the events that feed returned and the bytes behind them, with their memory. The parser cannot be used any more.
func (e *eventParser) take(events []byte) ([]byte, hold) {
	h := e.hold
	events = append(events, e.partial...)
	*e = eventParser{}
	return events, h
}

// discardPartial drops an incomplete event: the server sends it again when the stream is resumed.
func (e *eventParser) discardPartial() {
	e.partial, e.stale = nil, 0
	e.shrink()
}
