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

// Errors of Buffer.Append.
var (
	// ErrSlowCaller means that the caller has not read enough of the answer. The attempt must be
	// cancelled and resumed when the caller has caught up.
	ErrSlowCaller = errors.New("caller is reading too slowly")
	// ErrBudgetExhausted means that the budget has no room for an answer that must be buffered completely.
	ErrBudgetExhausted = errors.New("no buffer space for the whole answer")
	// ErrTokenTooLarge means that one token does not fit into the buffer of the request.
	ErrTokenTooLarge = errors.New("token is larger than the request's buffer")
)

// ErrReplaced means that another goroutine has become the reader of the answer.
var ErrReplaced = errors.New("another goroutine has become the reader of the answer")

// InitialBytes is the initial buffer size of a log, which its share must hold. It lets a request make
// progress however full the budget is, as long as each token fits into it.
const InitialBytes = 1 << 10

// Unbounded is the limit of a log that buffers a whole answer. Only its share limits its size.
const Unbounded = math.MaxInt

// Divisors of the size of a log.
const (
	// undeliveredDivisor determines the part of the limit for text that is not yet delivered to the caller.
	// The rest is for delivered text, which another backend server needs to resume the answer.
	undeliveredDivisor = 2
	// drainedDivisor determines the part of the buffer up to which undelivered text may remain when a paused
	// answer is resumed.
	drainedDivisor = 16
)

// Buffer buffers the text of one answer: tokens that are not yet delivered to the caller, and delivered
// tokens that are kept to resume the answer. One goroutine appends and one reads; all other methods are
// safe for concurrent use.
type Buffer struct {
	share *Share
	limit int

	drained chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	// readerID identifies the current reader. Seek increments it, so that the earlier reader stops.
	readerID int
	// buf holds the tokens, each as its length in bytes (uvarint) followed by its text.
	buf []byte
	// firstOffset, readOffset and nextOffset are the offsets of the first token in buf, of the next token
	// to deliver and of the next token to append. readPos is the position in buf of the token at readOffset.
	firstOffset, readOffset, nextOffset int
	readPos                             int
	origins                             []origin
	finishReason                        string
	finishDelivered                     bool
	closed                              bool
	err                                 error
}

// origin is the backend server that generated the tokens from an offset onwards.
type origin struct {
	from   int
	server string
}

// NewBuffer returns the log of an answer that starts at offset. limit is its maximum size in bytes. The
// share must already hold InitialBytes.
func NewBuffer(share *Share, limit, offset int) *Buffer {
	l := &Buffer{
		share: share, limit: max(limit, InitialBytes), firstOffset: offset, readOffset: offset, nextOffset: offset,
		buf: make([]byte, 0, InitialBytes), drained: make(chan struct{}, 1),
	}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// Begin records the backend server that generates the next tokens.
func (l *Buffer) Begin(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.origins); n > 0 && l.origins[n-1].from == l.nextOffset {
		l.origins = l.origins[:n-1]
	}
	if n := len(l.origins); n > 0 && l.origins[n-1].server == server {
		return
	}
	l.origins = append(l.origins, origin{from: l.nextOffset, server: server})
}

// Append adds the next frame of the answer.
func (l *Buffer) Append(f Frame) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.FinishReason != "" {
		l.finishReason = f.FinishReason
		l.changed.Broadcast()
		return nil
	}
	if err := l.makeRoom(len(f.Text) + binary.MaxVarintLen32); err != nil {
		return err
	}
	l.buf = binary.AppendUvarint(l.buf, uint64(len(f.Text)))
	l.buf = append(l.buf, f.Text...)
	l.nextOffset++
	l.changed.Broadcast()
	return nil
}

// makeRoom ensures that buf has room for n bytes. For a slow caller it returns ErrSlowCaller, which pauses the
// answer, rather than drop delivered text that another backend server needs to resume the answer.
func (l *Buffer) makeRoom(n int) error {
	undelivered := len(l.buf) - l.readPos
	if l.limit != Unbounded {
		if n > l.limit/undeliveredDivisor {
			return ErrTokenTooLarge
		}
		if undelivered+n > l.limit/undeliveredDivisor {
			return ErrSlowCaller
		}
	}
	if cap(l.buf)-len(l.buf) >= n || l.grow(n) {
		return nil
	}
	if l.limit == Unbounded {
		return ErrBudgetExhausted
	}
	if l.readPos < cap(l.buf)/2 && undelivered > 0 {
		return ErrSlowCaller
	}
	l.dropDelivered()
	if cap(l.buf)-len(l.buf) >= n {
		return nil
	}
	if undelivered > 0 {
		return ErrSlowCaller
	}
	return ErrTokenTooLarge
}

// maxGrowthBytes is the most by which the buffer of a bounded log grows at once. With doubling, a third of
// the buffer space of stalled callers was unused.
const maxGrowthBytes = 8 << 10

// maxGrowth returns the most by which buf grows at once. An unbounded log may become long, so its buffer
// doubles.
func (l *Buffer) maxGrowth() int {
	if l.limit == Unbounded {
		return Unbounded
	}
	return maxGrowthBytes
}

// grow enlarges buf so that it has room for n more bytes. It returns false if the limit or the share does
// not allow this.
func (l *Buffer) grow(n int) bool {
	size := min(max(cap(l.buf)+min(cap(l.buf), l.maxGrowth()), len(l.buf)+n), l.limit)
	if size < len(l.buf)+n || !l.share.Grow(size-cap(l.buf)) {
		return false
	}
	buf := make([]byte, len(l.buf), size)
	copy(buf, l.buf)
	l.buf = buf
	return true
}

func (l *Buffer) dropDelivered() {
	l.buf = l.buf[:copy(l.buf, l.buf[l.readPos:])]
	l.firstOffset, l.readPos = l.readOffset, 0
}

// Reader returns the ID of the current reader.
func (l *Buffer) Reader() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readerID
}

// Next waits for the next frame and returns it. It returns io.EOF after the last frame, the error of
// Close if the answer ended without a last frame, and ErrReplaced if another goroutine has become the
// reader.
func (l *Buffer) Next(reader int) (Frame, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		if reader != l.readerID {
			return Frame{}, ErrReplaced
		}
		if f, ok, err := l.nextLocked(); ok || err != nil {
			return f, err
		}
		l.changed.Wait()
	}
}

// Ready reports whether Next would return without waiting.
func (l *Buffer) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readOffset < l.nextOffset || (l.finishReason != "" && !l.finishDelivered) || l.closed
}

// nextLocked returns the next frame if there is one. The caller must hold the lock.
func (l *Buffer) nextLocked() (Frame, bool, error) {
	if l.readOffset < l.nextOffset {
		text, size := decodeToken(l.buf[l.readPos:])
		f := Frame{Offset: l.readOffset, Text: string(text), Server: l.serverAt(l.readOffset)}
		l.readOffset++
		l.readPos += size
		if l.isDrainedLocked() {
			notify(l.drained)
		}
		return f, true, nil
	}
	if l.finishReason != "" && !l.finishDelivered {
		l.finishDelivered = true
		return Frame{Offset: l.nextOffset, FinishReason: l.finishReason, Server: l.serverAt(l.nextOffset)}, true, nil
	}
	if l.closed {
		if l.err == nil {
			return Frame{}, false, io.EOF
		}
		return Frame{}, false, errors.Newf("answer ended: %w", l.err)
	}
	return Frame{}, false, nil
}

// isDrainedLocked reports whether the caller has read nearly everything. It compares the undelivered
// bytes with the size of buf if that is below the limit, because a full budget can keep buf from
// growing. The caller must hold the lock.
func (l *Buffer) isDrainedLocked() bool {
	return len(l.buf)-l.readPos <= min(l.limit, cap(l.buf))/drainedDivisor || l.readOffset == l.nextOffset
}

// WaitDrained waits until the caller has read nearly all of the appended tokens.
func (l *Buffer) WaitDrained(ctx context.Context) error {
	for {
		l.mu.Lock()
		ok := l.isDrainedLocked()
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

// Close ends the answer for the reader. err must not be nil unless the last frame was appended.
func (l *Buffer) Close(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed, l.err = true, err
	l.changed.Broadcast()
}

// Seek reopens the log at offset for another reader. It returns false if the tokens from offset onwards
// are not in the log.
func (l *Buffer) Seek(offset int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := l.nextOffset
	if l.finishReason != "" {
		end++
	}
	if offset < l.firstOffset || offset > end {
		return false
	}
	l.readOffset, l.readPos = l.firstOffset, 0
	for l.readOffset < min(offset, l.nextOffset) {
		_, size := decodeToken(l.buf[l.readPos:])
		l.readOffset++
		l.readPos += size
	}
	l.finishDelivered = offset > l.nextOffset
	l.closed, l.err = false, nil
	l.readerID++
	l.changed.Broadcast()
	return true
}

// Complete reports whether the last frame was appended.
func (l *Buffer) Complete() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finishReason != ""
}

// NextOffset returns the offset of the next token to append.
func (l *Buffer) NextOffset() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nextOffset
}

// FinishReason returns the finish reason of the answer, or "" if the last frame was not appended.
func (l *Buffer) FinishReason() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finishReason
}

// Server returns the backend server of the latest attempt, or "" if there was none.
func (l *Buffer) Server() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.serverAt(l.nextOffset)
}

// Text returns the text of the answer so far, or false if its beginning was dropped.
func (l *Buffer) Text() (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstOffset > 0 {
		return "", false
	}
	var b strings.Builder
	b.Grow(len(l.buf))
	for rest := l.buf; len(rest) > 0; {
		text, size := decodeToken(rest)
		b.Write(text)
		rest = rest[size:]
	}
	return b.String(), true
}

// serverAt returns the backend server that generated, or will generate, the token at offset.
func (l *Buffer) serverAt(offset int) string {
	for i := len(l.origins) - 1; i >= 0; i-- {
		if l.origins[i].from <= offset {
			return l.origins[i].server
		}
	}
	return ""
}

// decodeToken returns the text of the first token in b and the encoded size of the token.
func decodeToken(b []byte) ([]byte, int) {
	n, headerSize := binary.Uvarint(b)
	end := headerSize + int(n)
	return b[headerSize:end], end
}

// notify signals c without blocking; a signal that is already pending is enough.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
