package pass

import "bytes"

// events cuts the bytes of a stream into whole events and remembers the id of the last one.
type events struct {
	// last is the id of the last whole event, or what the caller asked to go on from.
	last  string
	count int
	// out holds the bytes that add returned last; part those of an event that is not whole yet.
	out  []byte
	part []byte
}

var (
	idField  = []byte("id:")
	blankEnd = []byte("\n\n")
)

// add takes bytes of the stream and returns those of all events that are whole now. The result is valid
// until the next call.
func (e *events) add(b []byte) []byte {
	e.part = append(e.part, b...)
	end := bytes.LastIndex(e.part, blankEnd)
	if end < 0 {
		return nil
	}
	end += len(blankEnd)
	e.out = append(e.out[:0], e.part[:end]...)
	e.part = append(e.part[:0], e.part[end:]...)
	for rest := e.out; len(rest) > 0; {
		event, after, _ := bytes.Cut(rest, blankEnd)
		e.note(event)
		rest = after
	}
	return e.out
}

// note remembers the id of an event.
func (e *events) note(event []byte) {
	e.count++
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.last = string(bytes.TrimSpace(id))
		}
	}
}

// rest returns the bytes after the last whole event.
func (e *events) rest() []byte { return e.part }

// dropPart forgets an event that is not whole: it comes again when the stream is resumed.
func (e *events) dropPart() { e.part = e.part[:0] }
