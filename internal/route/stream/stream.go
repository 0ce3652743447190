// Package stream assembles one answer from the frames of one or more attempts, and buffers it for the
// caller.
//
// Each frame has an attempt number and a token offset. Frames of other attempts and duplicate frames
// are dropped. A frame that arrives out of order is held until all frames before it have arrived.
package stream

import (
	"geraniumhollow/internal/core/option"
	"github.com/cockroachdb/errors"
)

// ErrTooFarAhead means that a frame is too far ahead of the answer to be held within the memory
// limits. The attempt must be cancelled and the answer resumed.
var ErrTooFarAhead = errors.New("frame is too far ahead of the answer")

// maxOutOfOrderDistance is the maximum number of missing tokens before a frame. Engines send frames in
// order, so a larger distance means that frames were lost.
const maxOutOfOrderDistance = 64

// maxOutOfOrderBytes is the maximum size of the text of the out-of-order frames held.
const maxOutOfOrderBytes = 16 << 10

// Frame is one token of an answer, or its end.
type Frame struct {
	Attempt int
	Offset  int
	Text    string
	// FinishReason is the finish reason of the answer, or "" for a token.
	FinishReason string
	// Server is the backend server that sent the frame.
	Server string
}

// Assembler puts the frames of an answer in order. It is not safe for concurrent use.
type Assembler struct {
	attempt         int
	nextOffset      int
	outOfOrder      map[int]Frame
	outOfOrderBytes int
	lastFrame       option.Option[Frame]
}

// New returns an Assembler for an answer of which the tokens before offset are already assembled.
func New(offset int) *Assembler {
	return &Assembler{nextOffset: offset, outOfOrder: make(map[int]Frame)}
}

// Begin starts an attempt. From then on, the frames of all other attempts are dropped.
func (a *Assembler) Begin(attempt int) {
	a.attempt = attempt
	clear(a.outOfOrder)
	a.outOfOrderBytes = 0
	a.lastFrame = option.None[Frame]()
}

// NextOffset returns the offset of the next token, at which a resumed attempt must start.
func (a *Assembler) NextOffset() int { return a.nextOffset }

// Add takes a frame and appends the frames that are now in order to out. It returns ErrTooFarAhead if
// too many tokens are missing before the frame, or the out-of-order frames have become too large.
func (a *Assembler) Add(out []Frame, f Frame) ([]Frame, error) {
	if f.Attempt != a.attempt || f.Offset < a.nextOffset {
		return out, nil
	}
	if f.Offset-a.nextOffset > maxOutOfOrderDistance {
		return out, ErrTooFarAhead
	}
	if f.FinishReason != "" {
		a.lastFrame = option.Some(f)
		return a.flush(out), nil
	}
	if f.Offset == a.nextOffset && len(a.outOfOrder) == 0 {
		a.nextOffset++
		return a.flush(append(out, f)), nil
	}
	if _, ok := a.outOfOrder[f.Offset]; ok {
		return out, nil
	}
	if f.Offset != a.nextOffset && a.outOfOrderBytes+len(f.Text) > maxOutOfOrderBytes {
		return out, ErrTooFarAhead
	}
	a.outOfOrder[f.Offset] = f
	a.outOfOrderBytes += len(f.Text)
	return a.flush(out), nil
}

// flush moves the held frames that are now in order to out.
func (a *Assembler) flush(out []Frame) []Frame {
	for {
		f, ok := a.outOfOrder[a.nextOffset]
		if !ok {
			break
		}
		delete(a.outOfOrder, a.nextOffset)
		a.outOfOrderBytes -= len(f.Text)
		a.nextOffset++
		out = append(out, f)
	}
	if f, ok := a.lastFrame.Get(); ok && f.Offset == a.nextOffset {
		a.lastFrame = option.None[Frame]()
		out = append(out, f)
	}
	return out
}
