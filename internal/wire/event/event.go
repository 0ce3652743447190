// Package event reads and writes server-sent events.
package event

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// Event is one server-sent event. Data holds no line breaks.
type Event struct {
	ID   string
	Data []byte
}

// maxLineBytes bounds one line of a stream. A longer line ends the stream with an error, so that a
// broken peer cannot fill the memory.
const maxLineBytes = 64 << 10

// maxEventBytes bounds the data of one event, which may have several lines.
const maxEventBytes = 64 << 10

// initialLineBytes is the first size of the line buffer.
const initialLineBytes = 1 << 10

// Reader reads events from a stream.
type Reader struct {
	sc   *bufio.Scanner
	data []byte
}

// NewReader returns a reader of r.
func NewReader(r io.Reader) *Reader {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	return &Reader{sc: sc}
}

// Next returns the next event, or io.EOF at a clean end. Its data is valid until the next call. An event that is cut off by the end of the
// stream is dropped and gives io.ErrUnexpectedEOF.
func (r *Reader) Next() (Event, error) {
	ev := Event{Data: r.data[:0]}
	started := false
	for r.sc.Scan() {
		line := r.sc.Bytes()
		if len(line) == 0 {
			if started {
				r.data = ev.Data
				return ev, nil
			}
			continue
		}
		started = true
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			ev.ID = string(value)
		case "data":
			if len(ev.Data)+len(value) > maxEventBytes {
				return Event{}, errors.New("read event: data is too long")
			}
			ev.Data = append(ev.Data, value...)
		}
	}
	if err := r.sc.Err(); err != nil {
		return Event{}, errors.Newf("read event: %w", err)
	}
	if started {
		return Event{}, io.ErrUnexpectedEOF
	}
	return Event{}, io.EOF
}

// Append appends the wire form of ev to b and returns the extended slice.
func Append(b []byte, ev Event) []byte {
	if ev.ID != "" {
		b = append(b, "id: "...)
		b = append(b, ev.ID...)
		b = append(b, '\n')
	}
	b = append(b, "data: "...)
	b = append(b, ev.Data...)
	return append(b, "\n\n"...)
}

// Buffer holds encoded events until they are read. The zero value is empty.
type Buffer struct {
	b    []byte
	sent int
}

// Add encodes an event behind those that have not been read.
func (b *Buffer) Add(ev Event) {
	b.b = b.b[:copy(b.b, b.b[b.sent:])]
	b.sent = 0
	b.b = Append(b.b, ev)
}

// Len returns the bytes that have not been read.
func (b *Buffer) Len() int { return len(b.b) - b.sent }

// Cap returns the bytes of memory that the buffer takes.
func (b *Buffer) Cap() int { return cap(b.b) }

// Read moves bytes to p and returns their number.
func (b *Buffer) Read(p []byte) int {
	n := copy(p, b.b[b.sent:])
	b.sent += n
	return n
}
