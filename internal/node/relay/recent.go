package relay

import (
	"context"
	"slices"
	"sync"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/route/stream"
)

// Bounds of what a relay remembers.
const (
	// maxRecent is the number of ended requests whose outcome is known.
	maxRecent = 8 << 10
	// answersPart is the part of the node's byte budget that ended answers may hold.
	answersPart = 8
)

// State is how far a request has come.
type State string

// States of a request.
const (
	Running State = "running"
	Done    State = "done"
	Failed  State = "failed"
)

// Status is what a node knows of a request.
type Status struct {
	RequestID string        `json:"request_id"`
	State     State         `json:"state"`
	Outcome   fault.Outcome `json:"outcome"`
	// Code is the error that ended the request, or "".
	Code fault.Code `json:"code,omitempty"`
	// Tokens is the length of the answer so far.
	Tokens int `json:"tokens"`
}

// record is one request, running or recent.
type record struct {
	id      string
	account string
	share   *stream.Share

	// resuming is held while another turn of the record is started.
	resuming sync.Mutex

	mu     sync.Mutex
	status Status
	// log and completion are nil and empty when the record has been reduced to its outcome.
	log        *stream.Log
	completion Completion
	attempts   int
	started    bool
	// origin is the node that has the record of the request, if that is another one.
	origin string
	// cancel and done belong to the running turn; a record that is resumed has another turn.
	cancel context.CancelCauseFunc
	done   chan struct{}
}

func (rec *record) snapshot() Status {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	s := rec.status
	if rec.log != nil {
		s.Tokens = rec.log.End()
		if s.State == Running && rec.log.Done() {
			s.State, s.Outcome = Done, fault.Ran
		}
	}
	return s
}

// recent holds the running requests and a bounded number of ended ones.
type recent struct {
	mu   sync.Mutex
	byID map[string]*record
	// ended are the ids of ended requests, oldest first; answers are those that hold their text.
	ended   []string
	answers []*record
	bytes   int
}

func newRecent() *recent { return &recent{byID: make(map[string]*record)} }

func (r *recent) add(rec *record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[rec.id] = rec
}

func (r *recent) get(id string) (*record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.byID[id]
	return rec, ok
}

// settle keeps an ended request and forgets the oldest ones past the bounds. limit is in bytes.
func (r *recent) settle(rec *record, limit int) {
	rec.share.Retain()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = append(r.ended, rec.id)
	r.answers = append(r.answers, rec)
	r.bytes += rec.share.Held()
	r.shed(limit)
	for len(r.ended) > maxRecent {
		// Answers are a part of the ended requests in the same order.
		if len(r.answers) > 0 && r.answers[0].id == r.ended[0] {
			r.dropOldest()
		}
		delete(r.byID, r.ended[0])
		r.ended = r.ended[1:]
	}
}

// shed drops the texts of the oldest ended requests until the rest has at most limit bytes.
func (r *recent) shed(limit int) {
	for r.bytes > limit && len(r.answers) > 0 {
		r.dropOldest()
	}
}

// dropOldest drops the text of the oldest ended request that has one.
func (r *recent) dropOldest() {
	r.reduce(r.answers[0])
	r.answers[0] = nil
	r.answers = r.answers[1:]
}

// forgetAnswers drops the texts of all ended requests and reports whether there were any.
func (r *recent) forgetAnswers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := len(r.answers) > 0
	r.shed(0)
	return held
}

// reduce drops the text of an ended request.
func (r *recent) reduce(rec *record) {
	r.bytes -= rec.share.Held()
	rec.share.Close()
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.status.Tokens = rec.log.End()
	rec.log, rec.completion = nil, Completion{}
}

// revive takes an ended request back for another turn and reports whether its text is still held.
func (r *recent) revive(rec *record) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.Index(r.answers, rec)
	if i < 0 {
		return false
	}
	r.answers = slices.Delete(r.answers, i, i+1)
	r.bytes -= rec.share.Held()
	if j := slices.Index(r.ended, rec.id); j >= 0 {
		r.ended = slices.Delete(r.ended, j, j+1)
	}
	rec.share.Resume()
	return true
}
