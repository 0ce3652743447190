package pass

import (
	"context"
	"time"

	"geraniumhollow/internal/route/shed"
	"github.com/cockroachdb/errors"
)

// freeBytes is what an attempt may hold of an answer without drawing on the budget of the process. The number of requests bounds the
// sum. Two buffers suffice for events that are no larger than one.
const freeBytes = 2 * copyBufferBytes

// errNoMemory ends an attempt of whose answer this process cannot hold more.
var errNoMemory = errors.New("no memory for the answer")

// hold is the memory that an attempt holds of an answer: an event that is not complete, or a failure after which another attempt may
// follow. If it is short, the service that holds most gives way. The zero value has no limit.
type hold struct {
	budget  *shed.Budget
	service string
	// limit is the most that the attempt may hold.
	limit int
	// cancel ends the attempt.
	cancel context.CancelCauseFunc
	// body is the share of the budget; nil while at most freeBytes are held. held is its size.
	body *shed.Body
	held int
}

// newHold returns the memory of an attempt that holds up to limit bytes of its answer.
func (s *callState) newHold(x *exchange, limit int) hold {
	return hold{budget: s.relay.deps.Answers, service: s.call.Service.Name, limit: limit, cancel: x.cancel}
}

// shedAttempt ends an attempt whose answer gives way. It implements shed.Source.
type shedAttempt context.CancelCauseFunc

// Shed implements shed.Source.
func (cancel shedAttempt) Shed() { cancel(errNoMemory) }

// resize sets the size of the hold to more than before. received is the number of bytes that it has taken of the answer.
func (h *hold) resize(received, size int) error {
	if h.budget == nil || size <= freeBytes {
		return nil
	}
	now := time.Now()
	if h.body == nil {
		h.body = h.budget.Open(now, h.service, -1, h.limit, shedAttempt(h.cancel))
	}
	h.body.Progress(now, received)
	if !h.body.Grow(now, size-h.held) {
		return errors.Newf("hold %d bytes: %w", size, errNoMemory)
	}
	h.held = size
	return nil
}

// complete records that the whole answer has arrived. It is not shed any more.
func (h *hold) complete() error {
	if h.body != nil && !h.body.Complete() {
		return errNoMemory
	}
	return nil
}

// close returns the memory.
func (h *hold) close() {
	if h.body != nil {
		h.body.Close()
		h.body, h.held = nil, 0
	}
}
