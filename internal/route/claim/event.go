package claim

import (
	"time"

	"geraniumhollow/internal/core/fault"
)

// Action is what the shell has to do next. Each action but Stop is answered by one event.
type Action interface{ action() }

// Write writes the claim row if it still has the revision Base. It is answered by WriteEnded.
type Write struct {
	Base    uint64
	Record  Record
	Timeout time.Duration
}

// Read reads the claim row. It is answered by ReadEnded.
type Read struct {
	Timeout time.Duration
}

// Send sends the call, at the latest at Until. It is answered by CallEnded.
type Send struct {
	Until time.Time
}

// Wait lets time pass. It is answered by Elapsed, or by Cancelled when the node stops.
type Wait struct {
	For time.Duration
}

// Reply gives the caller its final answer: a fault, or else an answer. It is answered by Replied; what
// follows runs after the caller has been answered.
type Reply struct {
	Answer Answer
	Fault  *fault.Error
}

// Stop ends the call.
type Stop struct{}

func (Write) action() {}
func (Read) action()  {}
func (Send) action()  {}
func (Wait) action()  {}
func (Reply) action() {}
func (Stop) action()  {}

// Event is what came of an action.
type Event interface{ event() }

// WriteResult is what is known of a write.
type WriteResult int

const (
	// Uncertain means that the write may have taken effect, or may still do so later.
	Uncertain WriteResult = iota
	// Written means that the write took effect.
	Written
	// Conflict means that the row did not have the revision; nothing was written.
	Conflict
	// Unavailable means that the table refused the write and it will never take effect.
	Unavailable
)

// WriteEnded answers Write. Revision is set when the write took effect.
type WriteEnded struct {
	Result   WriteResult
	Revision uint64
}

// ReadResult is what is known of a read.
type ReadResult int

const (
	// Failed means that the table did not answer.
	Failed ReadResult = iota
	// Absent means that there is no row.
	Absent
	// Found means that there is a row.
	Found
)

// ReadEnded answers Read.
type ReadEnded struct {
	Result   ReadResult
	Record   Record
	Revision uint64
}

// CallResult is what is known of a call.
type CallResult int

const (
	// Lost means that the call may or may not have run.
	Lost CallResult = iota
	// Answered means that the call ran and its whole answer is known.
	Answered
	// NotRun is proof that the call did not run and never will.
	NotRun
)

// CallEnded answers Send. Fault is set unless the call was answered.
type CallEnded struct {
	Result CallResult
	Answer Answer
	Fault  *fault.Error
}

// Elapsed answers Wait.
type Elapsed struct{}

// Cancelled answers Wait when there is no more time: the caller is answered with what is known.
type Cancelled struct{}

// Replied answers Reply.
type Replied struct{}

func (WriteEnded) event() {}
func (ReadEnded) event()  {}
func (CallEnded) event()  {}
func (Elapsed) event()    {}
func (Cancelled) event()  {}
func (Replied) event()    {}
