// Package crash finds requests that crash the backend servers that run them.
//
// When a backend server dies, every request that ran there becomes a suspect by its fingerprint. A
// suspect runs alone on a backend server, and only a fixed number of times in the whole fleet, which
// Counter counts in the table. Decider keeps the suspicion of one node.
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

// Times and bounds of suspicion.
const (
	// memory is how long a crash is remembered; it equals the expiry of the fleet's run count.
	memory = time.Hour
	// brokenGrace is how long after an attempt broke the death of its server may still be noticed:
	// several requests see their streams end before the first of them reports the death.
	brokenGrace = 2 * time.Second
	// maxSuspects bounds the fingerprints that a node remembers; the oldest are forgotten first.
	maxSuspects = 4096
)

// Fingerprint identifies a request by its account and prompt, so that a resend through another node
// is the same request. Parameters such as the length of the answer are left out.
type Fingerprint string

// Of returns the fingerprint of a request.
func Of(account, model, prompt string, messages []byte) Fingerprint {
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

// Change is what happened to the suspicion of a fingerprint.
type Change string

const (
	// Suspected means that a server died while it ran the request.
	Suspected Change = "suspected"
	// Explained means that another request explains the crashes that this one was part of.
	Explained Change = "explained"
	// Completed means that the request ran to its end.
	Completed Change = "completed"
)

// Suspicion is what nodes tell each other of a fingerprint.
type Suspicion struct {
	Fingerprint Fingerprint
	Change      Change
	// Crashes counts the crashes that the sender saw the request take part in.
	Crashes int
}

// RunID names a run on this node.
type RunID uint64

// run is one attempt on a backend server.
type run struct {
	fingerprint Fingerprint
	server      string
	// begun is false while a holder waits for its server or for its count.
	begun bool
	// counted is set when the run has been made part of a crash.
	counted bool
	// brokenAt is when the attempt broke; zero while it runs.
	brokenAt time.Time
}

// suspect is what a node knows of a fingerprint that was part of a crash.
type suspect struct {
	// crashes is the weight: all crashes that the request took part in, explained ones included.
	crashes int
	// open are the crashes that nothing explains yet.
	open sets.Set[uint64]
	// proved is set when the request alone explains a crash.
	proved bool
	// remote are the nodes that suspect the request.
	remote sets.Set[string]
	at     time.Time
}

func (s *suspect) suspected() bool { return s.proved || s.open.Len() > 0 || s.remote.Len() > 0 }

// Decider keeps the suspicion of one node. It is not safe for concurrent use.
type Decider struct {
	nextRun   RunID
	nextCrash uint64
	runs      map[RunID]*run
	// broken are the runs that broke, oldest first.
	broken []RunID
	// holds are the servers kept for one suspect each.
	holds    map[string]RunID
	suspects map[Fingerprint]*suspect
}

// New returns a decider that suspects nothing.
func New() *Decider {
	return &Decider{
		runs: make(map[RunID]*run), holds: make(map[string]RunID), suspects: make(map[Fingerprint]*suspect),
	}
}

// Suspect reports whether a request has to run alone, and its weight.
func (d *Decider) Suspect(now time.Time, f Fingerprint) (bool, int) {
	s, ok := d.suspects[f]
	if !ok || now.Sub(s.at) > memory {
		return false, 0
	}
	return s.suspected(), s.crashes
}

// Start records a run beside others. It returns false when the server is held for a suspect.
func (d *Decider) Start(f Fingerprint, server string) (RunID, bool) {
	if _, held := d.holds[server]; held {
		return 0, false
	}
	return d.add(run{fingerprint: f, server: server, begun: true}), true
}

// Hold keeps a server for a suspect: no other run of this node starts there until the suspect's has
// ended. It returns false when the server is held already. The run may begin when Idle is true.
func (d *Decider) Hold(f Fingerprint, server string) (RunID, bool) {
	if _, held := d.holds[server]; held {
		return 0, false
	}
	id := d.add(run{fingerprint: f, server: server})
	d.holds[server] = id
	return id, true
}

func (d *Decider) add(r run) RunID {
	d.nextRun++
	d.runs[d.nextRun] = &r
	return d.nextRun
}

// Begin records that the holder of a server sends its request now.
func (d *Decider) Begin(id RunID) {
	if r, ok := d.runs[id]; ok {
		r.begun = true
	}
}

// Idle reports whether the holder of a server is alone there.
func (d *Decider) Idle(id RunID) bool {
	own, ok := d.runs[id]
	if !ok {
		return false
	}
	for other, r := range d.runs {
		if other != id && r.server == own.server && r.brokenAt.IsZero() {
			return false
		}
	}
	return true
}

// Held returns the servers that are held for suspects.
func (d *Decider) Held() sets.Set[string] { return sets.New(slices.Collect(maps.Keys(d.holds))...) }

// Busy returns the servers that run anything of this node or are held.
func (d *Decider) Busy() sets.Set[string] {
	out := d.Held()
	for _, r := range d.runs {
		if r.brokenAt.IsZero() {
			out.Add(r.server)
		}
	}
	return out
}

// Complete ends a run that delivered its whole answer and clears the request at once, also when the
// death of its server was reported before.
func (d *Decider) Complete(id RunID, f Fingerprint) []Suspicion {
	d.Abandon(id)
	if _, known := d.suspects[f]; !known {
		return nil
	}
	delete(d.suspects, f)
	return []Suspicion{{Fingerprint: f, Change: Completed}}
}

// Abandon ends a run that did not begin, or ended for a reason that has nothing to do with its server.
func (d *Decider) Abandon(id RunID) {
	if r, ok := d.runs[id]; ok {
		d.end(id, r)
	}
}

// Break ends a run whose connection broke. It counts as running there if the death of its server is
// noticed soon after.
func (d *Decider) Break(now time.Time, id RunID) {
	r, ok := d.runs[id]
	if !ok {
		return
	}
	if d.holds[r.server] == id {
		delete(d.holds, r.server)
	}
	r.brokenAt = now
	d.broken = append(d.broken, id)
	for len(d.broken) > 0 {
		old, ok := d.runs[d.broken[0]]
		if ok && now.Sub(old.brokenAt) <= brokenGrace {
			break
		}
		delete(d.runs, d.broken[0])
		d.broken = d.broken[1:]
	}
}

func (d *Decider) end(id RunID, r *run) {
	if d.holds[r.server] == id {
		delete(d.holds, r.server)
	}
	delete(d.runs, id)
}
