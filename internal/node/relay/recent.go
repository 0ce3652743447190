package relay

import (
	"context"
	"slices"
	"sync"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/route/stream"
)

// Limits of the records of ended requests.
const (
	// maxEndedRecords is the number of ended requests whose outcome is kept.
	maxEndedRecords = 8 << 10
	// answerBudgetDivisor divides the node's byte budget; the texts of ended requests are limited to the
	// quotient.
	answerBudgetDivisor = 8
)

// State is the state of a request.
type State string

// States of a request.
const (
	Running State = "running"
	Done    State = "done"
	Failed  State = "failed"
)

// Status is the status of a request at a node.
type Status struct {
	RequestID string        `json:"request_id"`
	State     State         `json:"state"`
	Outcome   fault.Outcome `json:"outcome"`
	// Code is the error that ended the request, or "".
	Code fault.Code `json:"code,omitempty"`
	// Tokens is the length of the answer so far.
	Tokens int `json:"tokens"`
}

// record is a request that is running or has ended recently.
type record struct {
	id      string
	account string
	share   *stream.Share

	// resumeMu is held while the record is resumed by another run.
	resumeMu sync.Mutex

	mu     sync.Mutex
	status Status
	// log and completion are nil and empty once the text has been dropped and only the outcome is kept.
	log        *stream.Buffer
	completion Completion
	attempts   int
	mayHaveRun bool
	// origin is the origin node of the request, if that is another node, and otherwise "".
	origin string
	// cancel and done belong to the latest run; each resumption of the record starts a new run.
	cancel context.CancelCauseFunc
	done   chan struct{}
}

func (rec *record) snapshot() Status {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	s := rec.status
	if rec.log != nil {
		s.Tokens = rec.log.NextOffset()
		if s.State == Running && rec.log.Complete() {
			s.State, s.Outcome = Done, fault.Ran
		}
	}
	return s
}

// recordStore holds the running requests and a bounded number of ended ones.
type recordStore struct {
	mu   sync.Mutex
	byID map[string]*record
	// endedIDs holds the IDs of the ended requests, oldest first. withText holds the records of those whose
	// text is still kept, in the same order.
	endedIDs []string
	withText []*record
	bytes    int
}

func newRecordStore() *recordStore { return &recordStore{byID: make(map[string]*record)} }

func (r *recordStore) add(rec *record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[rec.id] = rec
}

func (r *recordStore) get(id string) (*record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.byID[id]
	return rec, ok
}

// addEnded adds an ended request and removes the oldest ones beyond the limits. limit is the maximum size of
// the kept texts in bytes.
func (r *recordStore) addEnded(rec *record, limit int) {
	rec.share.ReleaseAccount()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endedIDs = append(r.endedIDs, rec.id)
	r.withText = append(r.withText, rec)
	r.bytes += rec.share.Held()
	r.evictTexts(limit)
	for len(r.endedIDs) > maxEndedRecords {
		// withText is a subsequence of endedIDs, so only its first record can be the oldest request.
		if len(r.withText) > 0 && r.withText[0].id == r.endedIDs[0] {
			r.dropOldestText()
		}
		delete(r.byID, r.endedIDs[0])
		r.endedIDs = r.endedIDs[1:]
	}
}

// evictTexts drops the texts of the oldest ended requests until the remaining ones have at most limit bytes.
func (r *recordStore) evictTexts(limit int) {
	for r.bytes > limit && len(r.withText) > 0 {
		r.dropOldestText()
	}
}

// dropOldestText drops the text of the oldest ended request that has one.
func (r *recordStore) dropOldestText() {
	r.dropText(r.withText[0])
	r.withText[0] = nil
	r.withText = r.withText[1:]
}

// dropAllTexts drops the texts of all ended requests and reports whether there were any.
func (r *recordStore) dropAllTexts() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := len(r.withText) > 0
	r.evictTexts(0)
	return held
}

// dropText drops the prompt and the answer of an ended request.
func (r *recordStore) dropText(rec *record) {
	r.bytes -= rec.share.Held()
	rec.share.Close()
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.status.Tokens = rec.log.NextOffset()
	rec.log, rec.completion = nil, Completion{}
}

// reopen removes an ended request from the ended ones so that it can run again. It returns false when the
// text of the request has been dropped.
func (r *recordStore) reopen(rec *record) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.Index(r.withText, rec)
	if i < 0 {
		return false
	}
	r.withText = slices.Delete(r.withText, i, i+1)
	r.bytes -= rec.share.Held()
	if j := slices.Index(r.endedIDs, rec.id); j >= 0 {
		r.endedIDs = slices.Delete(r.endedIDs, j, j+1)
	}
	rec.share.ChargeAccount()
	return true
}
