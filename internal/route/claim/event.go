package claim

import (
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/plat/table"
)

// Action is the next step that the caller of the Decider has to perform. Every action except Stop
// results in one event.
type Action interface{ action() }

// Write writes the claim row if it still has the revision Base. It results in WriteEnded.
type Write struct {
	Base    table.Revision
	Record  Record
	Timeout time.Duration
}

// Read reads the claim row. It results in ReadEnded.
type Read struct {
	Timeout time.Duration
}

// Send sends the call, which must end by Until, under a claim with the given record. It results in CallEnded.
type Send struct {
	Until  time.Time
	Record Record
}

// Wait waits for a duration. It results in Elapsed, or in Cancelled if the node is stopping.
type Wait struct {
	For time.Duration
}

// Reply sends the final reply to the caller: Fault if it is set, otherwise Answer. It results in
// Replied; the actions that follow run after the reply.
type Reply struct {
	Answer Answer
	Fault  *fault.Error
}

// Stop ends the protocol.
type Stop struct{}

func (Write) action() {}
func (Read) action()  {}
func (Send) action()  {}
func (Wait) action()  {}
func (Reply) action() {}
func (Stop) action()  {}

// Event is the result of an action.
type Event interface{ event() }

// WriteResult is the result of a write.
type WriteResult int

const (
	// Uncertain means that the write may have taken effect, or may still do so later.
	Uncertain WriteResult = iota
	// Written means that the write took effect.
	Written
	// Conflict means that the row had another revision; nothing was written.
	Conflict
	// Unavailable means that the write failed and will never take effect.
	Unavailable
)

// WriteEnded is the result of Write. Revision is set if Result is Written. Unsettled means that the table was restored
// recently, so that it may still lack claims that other nodes know.
type WriteEnded struct {
	Result    WriteResult
	Revision  table.Revision
	Unsettled bool
}

// ReadResult is the result of a read.
type ReadResult int

const (
	// Failed means that the row could not be read.
	Failed ReadResult = iota
	// Absent means that the row does not exist.
	Absent
	// Found means that the row exists.
	Found
)

// ReadEnded is the result of Read. Record and Revision are set if Result is Found. Unsettled is as in WriteEnded.
type ReadEnded struct {
	Result    ReadResult
	Record    Record
	Revision  table.Revision
	Unsettled bool
}

// CallResult is the result of a call.
type CallResult int

const (
	// ResultUnknown means that the call may or may not have run.
	ResultUnknown CallResult = iota
	// Answered means that the call ran and its answer was received in full.
	Answered
	// NotRun means that the call certainly did not run and never will.
	NotRun
)

// CallEnded is the result of Send. Fault is set unless Result is Answered.
type CallEnded struct {
	Result CallResult
	Answer Answer
	Fault  *fault.Error
}

// Elapsed is the result of a Wait that was not cancelled.
type Elapsed struct{}

// Cancelled is the result of a Wait that ended early. If the Decider has not replied yet, it then replies with
// what is known; otherwise it stops.
type Cancelled struct{}

// Replied is the result of Reply.
type Replied struct{}

func (WriteEnded) event() {}
func (ReadEnded) event()  {}
func (CallEnded) event()  {}
func (Elapsed) event()    {}
func (Cancelled) event()  {}
func (Replied) event()    {}
