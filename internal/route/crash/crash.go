// Package crash identifies requests that crash the backend servers that run them.
//
// When a backend server dies, the fingerprint of every request that was running there becomes a
// suspect. A suspect runs alone on a backend server and only a limited number of times in the whole
// fleet; Counter counts these runs in the table. Decider holds the suspects of one node.
//
// PartTracker finds the parts of prompts that crash servers although no two requests with them are alike.
package crash

import (
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"geraniumhollow/internal/core/sets"
	"github.com/zeebo/xxh3"
)

// Times and limits.
const (
	// retention is the time for which a node keeps a suspect. It equals the expiry of the run count in
	// the table.
	retention = time.Hour
	// defaultDeathWindow is the time after an attempt broke within which a report of its server's death
	// still includes the attempt. The streams of several requests end before the first of them reports
	// the death.
	defaultDeathWindow = 2 * time.Second
	// maxSuspects is the maximum number of fingerprints that a node keeps; the oldest are dropped first.
	maxSuspects = 4096
)

// Fingerprint identifies a request by its account, model and prompt, so that a repeated request has the
// same fingerprint on every node. Parameters such as the length of the answer are not included.
type Fingerprint string

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(account, model, prompt string, messages []byte) Fingerprint {
	h := xxh3.New()
	for _, part := range []string{account, model, prompt, string(messages)} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = h.Write(n[:])
		_, _ = h.WriteString(part)
	}
	sum := h.Sum128().Bytes()
	return Fingerprint(hex.EncodeToString(sum[:]))
}

// Change is the type of a change to a suspect.
type Change string

const (
	// Suspected means that a server died while it was running the request.
	Suspected Change = "suspected"
	// Explained means that another request explains the crashes in which this one was involved.
	Explained Change = "explained"
	// Completed means that the request completed.
	Completed Change = "completed"
)

// Suspicion is a change to a suspect that nodes send to each other.
type Suspicion struct {
	Fingerprint Fingerprint
	Change      Change
	// Crashes is the number of crashes in which the request was involved, as known to the sender.
	Crashes int
}

// RunID identifies a run on this node.
type RunID uint64

// run is one attempt of a request on a backend server.
type run struct {
	fingerprint Fingerprint
	server      string
	// started is false while a run that holds its server waits for the server to become idle or for
	// the run count.
	started bool
	// inCrash is set when the run has been attributed to a crash, so that it is attributed only once.
	inCrash bool
	// brokenAt is the time at which the attempt broke; zero while it is running.
	brokenAt time.Time
	// parts are the shared parts of the prompt. They are dropped once the run has shown that they are safe.
	parts []Part
	// request is PromptRun.Request.
	request Fingerprint
	// began is set once the server has begun to answer.
	began bool
}

// suspect holds the crashes of a fingerprint that was involved in at least one.
type suspect struct {
	// crashes is the number of crashes in which the request was involved, including explained ones.
	crashes int
	// unexplained are the IDs of the crashes that no request explains yet.
	unexplained sets.Set[uint64]
	// confirmed is set when the request has been identified as the cause of a crash.
	confirmed bool
	// suspectedBy are the other nodes that suspect the request.
	suspectedBy sets.Set[string]
	updatedAt   time.Time
}

func (s *suspect) suspected() bool {
	return s.confirmed || s.unexplained.Len() > 0 || s.suspectedBy.Len() > 0
}

// Decider holds the runs and suspects of one node. It is not safe for concurrent use.
type Decider struct {
	deathWindow time.Duration
	nextRun     RunID
	nextCrash   uint64
	runs        map[RunID]*run
	// brokenRuns are the runs whose attempt broke, oldest first.
	brokenRuns []RunID
	// heldServers maps each server that is held for a suspect to the run of the suspect.
	heldServers map[string]RunID
	suspects    map[Fingerprint]*suspect
}

// New returns a Decider without suspects.
func New() *Decider {
	return &Decider{
		deathWindow: defaultDeathWindow,
		runs:        make(map[RunID]*run), heldServers: make(map[string]RunID), suspects: make(map[Fingerprint]*suspect),
	}
}

// WithDeathWindow returns a Decider without suspects that includes an attempt in a death that is reported up to window
// after the attempt broke.
func (*Decider) WithDeathWindow(window time.Duration) *Decider {
	out := New()
	out.deathWindow = window
	return out
}

// Survived records that a server lives, so that the attempts at it that broke have no part in a later death.
func (d *Decider) Survived(server string) {
	for id, r := range d.runs {
		if r.server == server && !r.brokenAt.IsZero() {
			d.endRun(id, r)
		}
	}
}

// Suspect reports whether a request must run alone, and the number of crashes in which it was involved.
func (d *Decider) Suspect(now time.Time, f Fingerprint) (bool, int) {
	s, ok := d.suspects[f]
	if !ok || now.Sub(s.updatedAt) > retention {
		return false, 0
	}
	return s.suspected(), s.crashes
}

// Start adds a run that may share its server with others. It returns false if the server is held for a
// suspect.
func (d *Decider) Start(f Fingerprint, server string) (RunID, bool) {
	if _, held := d.heldServers[server]; held {
		return 0, false
	}
	return d.addRun(run{fingerprint: f, server: server, started: true}), true
}

// SetParts sets the shared parts of the prompt of a run.
func (d *Decider) SetParts(id RunID, parts []Part) {
	if r, ok := d.runs[id]; ok {
		r.parts = parts
	}
}

// CountOnce makes the run count as evidence against its parts only once together with the other runs of its request.
func (d *Decider) CountOnce(id RunID) {
	if r, ok := d.runs[id]; ok {
		r.request = r.fingerprint
	}
}

// AnswerBegan records that the server of a run has begun to answer.
func (d *Decider) AnswerBegan(id RunID) {
	if r, ok := d.runs[id]; ok {
		r.began = true
	}
}

// PartsSafe records that the server of a run has written part of the answer and lives, and returns the parts of the
// prompt, once.
func (d *Decider) PartsSafe(id RunID) []Part {
	r, ok := d.runs[id]
	if !ok {
		return nil
	}
	parts := r.parts
	r.parts = nil
	return parts
}

// Waiting returns the runs that have a part and whose server has not begun to answer.
func (d *Decider) Waiting(p Part) []RunID {
	var out []RunID
	for id, r := range d.runs {
		if r.brokenAt.IsZero() && !r.began && slices.Contains(r.parts, p) {
			out = append(out, id)
		}
	}
	return out
}

// Reserve holds a server for a suspect: no other run of this node starts there until the run of the
// suspect has ended. It returns false if the server is already held. The run may begin when Idle
// returns true.
func (d *Decider) Reserve(f Fingerprint, server string) (RunID, bool) {
	if _, held := d.heldServers[server]; held {
		return 0, false
	}
	id := d.addRun(run{fingerprint: f, server: server})
	d.heldServers[server] = id
	return id, true
}

func (d *Decider) addRun(r run) RunID {
	d.nextRun++
	d.runs[d.nextRun] = &r
	return d.nextRun
}

// Begin records that the run that holds a server is about to send its request.
func (d *Decider) Begin(id RunID) {
	if r, ok := d.runs[id]; ok {
		r.started = true
	}
}

// Idle reports whether no other run of this node is still running on the server of the given run.
func (d *Decider) Idle(id RunID) bool {
	current, ok := d.runs[id]
	if !ok {
		return false
	}
	for other, r := range d.runs {
		if other != id && r.server == current.server && r.brokenAt.IsZero() {
			return false
		}
	}
	return true
}

// Reserved returns the servers that are held for suspects.
func (d *Decider) Reserved() sets.Set[string] {
	return sets.New(slices.Collect(maps.Keys(d.heldServers))...)
}

// Busy returns the servers that are held or on which a run of this node is still running.
func (d *Decider) Busy() sets.Set[string] {
	out := d.Reserved()
	for _, r := range d.runs {
		if r.brokenAt.IsZero() {
			out.Add(r.server)
		}
	}
	return out
}

// Complete ends a run that delivered its whole answer and clears the suspicion of its request, even if
// the death of the server was reported before.
func (d *Decider) Complete(id RunID, f Fingerprint) []Suspicion {
	d.Abandon(id)
	if _, known := d.suspects[f]; !known {
		return nil
	}
	delete(d.suspects, f)
	return []Suspicion{{Fingerprint: f, Change: Completed}}
}

// Abandon ends a run that did not begin, or that ended for a reason unrelated to its server.
func (d *Decider) Abandon(id RunID) {
	if r, ok := d.runs[id]; ok {
		d.endRun(id, r)
	}
}

// ConnectionLost ends a run whose connection broke. The run is still attributed to a crash of its server that is
// reported within the death window.
func (d *Decider) ConnectionLost(now time.Time, id RunID) {
	r, ok := d.runs[id]
	if !ok {
		return
	}
	if d.heldServers[r.server] == id {
		delete(d.heldServers, r.server)
	}
	r.brokenAt = now
	d.brokenRuns = append(d.brokenRuns, id)
	for len(d.brokenRuns) > 0 {
		old, ok := d.runs[d.brokenRuns[0]]
		if ok && now.Sub(old.brokenAt) <= d.deathWindow {
			break
		}
		delete(d.runs, d.brokenRuns[0])
		d.brokenRuns = d.brokenRuns[1:]
	}
}

func (d *Decider) endRun(id RunID, r *run) {
	if d.heldServers[r.server] == id {
		delete(d.heldServers, r.server)
	}
	delete(d.runs, id)
}
