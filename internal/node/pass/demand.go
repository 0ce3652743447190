package pass

import "time"

// DemandObserver observes the calls that callers send to this node. It is safe for concurrent use.
type DemandObserver interface {
	// Arrived is called when a call begins to be served or to wait.
	Arrived(c *Call)
	// Answered is called when the first byte of an answer has arrived, with the time since the arrival of the call.
	Answered(c *Call, firstByte time.Duration)
	// Ended is called when it has ended.
	Ended(c *Call, r CallResult)
}

// CallResult is what became of a call.
type CallResult struct {
	// Refused is set if there was no backend server with room for the call, and nothing of an answer arrived.
	Refused bool
	// FirstByte is the time from the arrival of the call until the first byte of an answer, or 0 if there was none. Duration is the
	// time until its end.
	FirstByte time.Duration
	Duration  time.Duration
	// Events is the number of events of the answer.
	Events int
}

// observeAnswer reports the first byte of an answer.
func (s *callState) observeAnswer() {
	if s.relay.deps.Demand != nil && s.call.hop == nil {
		s.relay.deps.Demand.Answered(s.call, s.firstByte)
	}
}

// observeEnd reports the end of a call.
func (s *callState) observeEnd() {
	if s.relay.deps.Demand == nil || s.call.hop != nil {
		return
	}
	s.relay.deps.Demand.Ended(s.call, CallResult{
		Refused: s.lacksRoom && s.firstByte == 0, FirstByte: s.firstByte, Duration: time.Since(s.call.Arrived), Events: s.events.count,
	})
}
