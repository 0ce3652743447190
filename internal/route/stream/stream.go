// Package stream assembles one answer from the frames of one or more attempts.
//
// Each frame has an attempt number and a token offset. Frames of other attempts are dropped, a
// repeated frame is dropped, and a frame that is early waits until the ones before it have come.
package stream

import (
	"geraniumhollow/internal/core/option"
	"github.com/cockroachdb/errors"
)

// ErrTooFarAhead means that a frame is so far ahead of the answer that holding it would break the
// bound on memory. The attempt has to be given up and resumed.
var ErrTooFarAhead = errors.New("frame is too far ahead of the answer")

// maxEarly bounds the frames that wait for an earlier one. Engines send frames in order; a
// larger distance means that frames were lost.
const maxEarly = 64

// maxEarlyBytes bounds the text of the frames that wait for an earlier one.
const maxEarlyBytes = 16 << 10

// Frame is one token of an answer, or its end.
type Frame struct {
	Attempt int
	Offset  int
	Text    string
	// Finish is the reason for which the answer ended, or "" for a token.
	Finish string
	// Server is the backend server that gave the frame.
	Server string
}

// Assembler puts the frames of an answer in order. It is not safe for concurrent use.
type Assembler struct {
	attempt    int
	next       int
	early      map[int]Frame
	earlyBytes int
	finish     option.Option[Frame]
}

// New returns an assembler of an answer that has delivered offset tokens so far.
func New(offset int) *Assembler {
	return &Assembler{next: offset, early: make(map[int]Frame)}
}

// Begin starts an attempt: from now on the frames of all others are dropped.
func (a *Assembler) Begin(attempt int) {
	a.attempt = attempt
	clear(a.early)
	a.earlyBytes = 0
	a.finish = option.None[Frame]()
}

// Next returns the offset of the token that comes next; an attempt that resumes starts there.
func (a *Assembler) Next() int { return a.next }

// Add takes a frame and returns the frames that are now in order, in a slice that is appended to
// out. It returns ErrTooFarAhead when too many tokens are missing before the frame.
func (a *Assembler) Add(out []Frame, f Frame) ([]Frame, error) {
	if f.Attempt != a.attempt || f.Offset < a.next {
		return out, nil
	}
	if f.Offset-a.next > maxEarly {
		return out, ErrTooFarAhead
	}
	if f.Finish != "" {
		a.finish = option.Some(f)
		return a.flush(out), nil
	}
	if f.Offset == a.next && len(a.early) == 0 {
		a.next++
		return a.flush(append(out, f)), nil
	}
	if _, ok := a.early[f.Offset]; ok {
		return out, nil
	}
	if f.Offset != a.next && a.earlyBytes+len(f.Text) > maxEarlyBytes {
		return out, ErrTooFarAhead
	}
	a.early[f.Offset] = f
	a.earlyBytes += len(f.Text)
	return a.flush(out), nil
}

// flush moves the frames that are in order to out.
func (a *Assembler) flush(out []Frame) []Frame {
	for {
		f, ok := a.early[a.next]
		if !ok {
			break
		}
		delete(a.early, a.next)
		a.earlyBytes -= len(f.Text)
		a.next++
		out = append(out, f)
	}
	if f, ok := a.finish.Get(); ok && f.Offset == a.next {
		a.finish = option.None[Frame]()
		out = append(out, f)
	}
	return out
}
