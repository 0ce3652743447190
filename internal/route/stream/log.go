package stream

import (
	"context"
	"encoding/binary"
	"io"
	"math"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// Errors of Log.Append.
var (
	// ErrFull means that the caller has not read enough of the answer. The attempt has to be
	// cancelled and resumed when the caller has caught up.
	ErrFull = errors.New("caller reads too slowly")
	// ErrNoRoom means that a budget has no room for an answer that has to be held whole.
	ErrNoRoom = errors.New("no room for the whole answer")
	// ErrTokenTooLarge means that one token exceeds the bound of the request.
	ErrTokenTooLarge = errors.New("token is larger than the request's buffer")
)

// ErrReplaced means that the answer is read by another goroutine now.
var ErrReplaced = errors.New("answer is read by another goroutine")

// InitialBytes is what a log takes from its share at the start. With it a request always makes
// progress, however full the budgets are.
const InitialBytes = 1 << 10

// Unbounded is the limit of a log that holds a whole answer; only its share bounds it.
const Unbounded = math.MaxInt

// Parts of the limit of a log.
const (
	// pausePart is the part that may wait for the caller; the rest is for delivered text, which
	// another backend server needs to resume the answer.
	pausePart = 2
	// drainPart is the part below which a paused answer is resumed.
	drainPart = 16
)

// Log is the text of one answer as far as it is known: tokens that wait for the caller, and delivered
// tokens that are kept for a resume. One goroutine appends and one reads; other methods may be called
// from any goroutine.
type Log struct {
	share *Share
	limit int

	drained chan struct{}

	mu    sync.Mutex
	added *sync.Cond
	// reader numbers the goroutine that may read; Seek lets another one take its place.
	reader int
	// buf holds tokens, each as its length in bytes (uvarint) and its text.
	buf []byte
	// base, read and next are the offsets of the first token in buf, of the next one to deliver and
	// of the next one to append. pos is where the token at read starts in buf.
	base, read, next int
	pos              int
	origins          []origin
	finish           string
	finishRead       bool
	closed           bool
	err              error
}

// origin is the backend server that gave the tokens from an offset on.
type origin struct {
	from   int
	server string
}

// NewLog returns the log of an answer that starts at offset. limit bounds its bytes. The share must
// already hold InitialBytes for it.
func NewLog(share *Share, limit, offset int) *Log {
	l := &Log{
		share: share, limit: max(limit, InitialBytes), base: offset, read: offset, next: offset,
		buf: make([]byte, 0, InitialBytes), drained: make(chan struct{}, 1),
	}
	l.added = sync.NewCond(&l.mu)
	return l
}

// Begin names the backend server that gives the next tokens.
func (l *Log) Begin(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.origins); n > 0 && l.origins[n-1].from == l.next {
		l.origins = l.origins[:n-1]
	}
	if n := len(l.origins); n > 0 && l.origins[n-1].server == server {
		return
	}
	l.origins = append(l.origins, origin{from: l.next, server: server})
}

// Append adds the next frame of the answer.
func (l *Log) Append(f Frame) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Finish != "" {
		l.finish = f.Finish
		l.added.Broadcast()
		return nil
	}
	if err := l.room(len(f.Text) + binary.MaxVarintLen32); err != nil {
		return err
	}
	l.buf = binary.AppendUvarint(l.buf, uint64(len(f.Text)))
	l.buf = append(l.buf, f.Text...)
	l.next++
	l.added.Broadcast()
	return nil
}

// room makes room for n bytes in buf. It pauses a slow caller's answer before it drops delivered text,
// because only with that text can another backend server take over.
func (l *Log) room(n int) error {
	waiting := len(l.buf) - l.pos
	if l.limit != Unbounded {
		if n > l.limit/pausePart {
			return ErrTokenTooLarge
		}
		if waiting+n > l.limit/pausePart {
			return ErrFull
		}
	}
	if cap(l.buf)-len(l.buf) >= n || l.grow(n) {
		return nil
	}
	if l.limit == Unbounded {
		return ErrNoRoom
	}
	if l.pos < cap(l.buf)/2 && waiting > 0 {
		return ErrFull
	}
	l.dropDelivered()
	if cap(l.buf)-len(l.buf) >= n {
		return nil
	}
	if waiting > 0 {
		return ErrFull
	}
	return ErrTokenTooLarge
}

// growStep is the most by which a bounded buffer grows at once. Doubling left a third of the buffers of
// stalled callers unused.
const growStep = 8 << 10

// step returns the most by which buf grows at once. A whole answer may be long, so its buffer doubles.
func (l *Log) step() int {
	if l.limit == Unbounded {
		return Unbounded
	}
	return growStep
}

// grow enlarges buf within the limit and the share.
func (l *Log) grow(n int) bool {
	size := min(max(cap(l.buf)+min(cap(l.buf), l.step()), len(l.buf)+n), l.limit)
	if size < len(l.buf)+n || !l.share.Grow(size-cap(l.buf)) {
		return false
	}
	buf := make([]byte, len(l.buf), size)
	copy(buf, l.buf)
	l.buf = buf
	return true
}

func (l *Log) dropDelivered() {
	l.buf = l.buf[:copy(l.buf, l.buf[l.pos:])]
	l.base, l.pos = l.read, 0
}

// Reader returns the number of the goroutine that may read.
func (l *Log) Reader() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reader
}

// Next returns the next frame to deliver and waits for it. It returns io.EOF after the last frame, the
// error of Close when the answer ended without one, and ErrReplaced when another goroutine reads now.
func (l *Log) Next(reader int) (Frame, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		if reader != l.reader {
			return Frame{}, ErrReplaced
		}
		if f, ok, err := l.take(); ok || err != nil {
			return f, err
		}
		l.added.Wait()
	}
}

// Ready reports whether Next returns without waiting.
func (l *Log) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.read < l.next || (l.finish != "" && !l.finishRead) || l.closed
}

// take returns the next frame if there is one. The log is locked.
func (l *Log) take() (Frame, bool, error) {
	if l.read < l.next {
		text, size := decode(l.buf[l.pos:])
		f := Frame{Offset: l.read, Text: string(text), Server: l.serverAt(l.read)}
		l.read++
		l.pos += size
		if l.isDrained() {
			notify(l.drained)
		}
		return f, true, nil
	}
	if l.finish != "" && !l.finishRead {
		l.finishRead = true
		return Frame{Offset: l.next, Finish: l.finish, Server: l.serverAt(l.next)}, true, nil
	}
	if l.closed {
		if l.err == nil {
			return Frame{}, false, io.EOF
		}
		return Frame{}, false, errors.Newf("answer ended: %w", l.err)
	}
	return Frame{}, false, nil
}

// isDrained reports whether little waits for the caller, compared with the room that the log has. A
// budget that is full can leave it less room than its limit.
func (l *Log) isDrained() bool {
	return len(l.buf)-l.pos <= min(l.limit, cap(l.buf))/drainPart || l.read == l.next
}

// WaitDrained waits until the caller has read nearly all of the answer so far.
func (l *Log) WaitDrained(ctx context.Context) error {
	for {
		l.mu.Lock()
		ok := l.isDrained()
		l.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-l.drained:
		case <-ctx.Done():
			return errors.Newf("wait for the caller: %w", ctx.Err())
		}
	}
}

// Close ends the answer for the reader; err must not be nil unless the last frame was appended.
func (l *Log) Close(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed, l.err = true, err
	l.added.Broadcast()
}

// Seek reopens a closed log at offset for another reader and reports whether the tokens from there on
// are held.
func (l *Log) Seek(offset int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := l.next
	if l.finish != "" {
		end++
	}
	if offset < l.base || offset > end {
		return false
	}
	l.read, l.pos = l.base, 0
	for l.read < min(offset, l.next) {
		_, size := decode(l.buf[l.pos:])
		l.read++
		l.pos += size
	}
	l.finishRead = offset > l.next
	l.closed, l.err = false, nil
	l.reader++
	l.added.Broadcast()
	return true
}

// Done reports whether the last frame was appended.
func (l *Log) Done() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finish != ""
}

// End returns the offset of the token that comes next.
func (l *Log) End() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next
}

// Finish returns the reason for which the answer ended, or "".
func (l *Log) Finish() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finish
}

// Server returns the backend server of the latest attempt, or "".
func (l *Log) Server() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.serverAt(l.next)
}

// Text returns the whole text so far, or false when its beginning is no longer held.
func (l *Log) Text() (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.base > 0 {
		return "", false
	}
	var b strings.Builder
	b.Grow(len(l.buf))
	for rest := l.buf; len(rest) > 0; {
		text, size := decode(rest)
		b.Write(text)
		rest = rest[size:]
	}
	return b.String(), true
}

// serverAt returns the backend server that gave, or is to give, the token at offset.
func (l *Log) serverAt(offset int) string {
	for i := len(l.origins) - 1; i >= 0; i-- {
		if l.origins[i].from <= offset {
			return l.origins[i].server
		}
	}
	return ""
}

// decode returns the first token of b and the bytes that it takes.
func decode(b []byte) ([]byte, int) {
	n, head := binary.Uvarint(b)
	end := head + int(n)
	return b[head:end], end
}

// notify sets a signal that one goroutine waits for.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
