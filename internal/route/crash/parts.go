package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"geraniumhollow/internal/core/sets"
	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Limits of the memory of a PartTracker.
const (
	// maxDeaths is the maximum number of deaths that are kept as evidence; the oldest are dropped first.
	maxDeaths = 64
	// maxDeathParts is the maximum number of parts that are kept for one death.
	maxDeathParts = 128
	// maxQuarantines is the maximum number of quarantined parts; those that no request has used for longest are dropped
	// first.
	maxQuarantines = 256
	// maxReleases is the maximum number of parts whose release is remembered.
	maxReleases = 256
)

// Weights of the evidence against a part. A server that dies because of a part dies as it begins to answer.
const (
	// weightBegan is for a request that its server had begun to answer, weightWaiting for one that was still waiting or
	// whose first bytes may have been lost with the server.
	weightBegan   = 3
	weightWaiting = 1
	// quarantineWeight is the weight at which a part is quarantined: two deaths as the server began to answer.
	quarantineWeight = 2 * weightBegan
	// provenWeight is the same for a part that has been suspected before and then proved to be safe.
	provenWeight = 3 * weightBegan
	// certainWeight is the weight at which a part is quarantined even if a later part of the same prompts is suspected.
	certainWeight = 2 * quarantineWeight
)

// simultaneousDeaths is the time within which deaths count as one: many servers that die at once have a common cause
// outside of the requests.
const simultaneousDeaths = 100 * time.Millisecond

// Times between trials of a quarantined part. Each trial of a part that is still bad costs a server.
const (
	firstTrialDelay  = 3 * time.Second
	trialDelayGrowth = 4
	maxTrialDelay    = 15 * time.Minute
)

// Part identifies a part of the prompts that requests for a service share.
type Part string

// NewPart returns the part of a service's prompts with the given ID.
func NewPart(service, id string) Part { return Part(service + "/" + id) }

// PromptRun is a request that was on a server when the server died and that had not yet shown that its prompt is safe.
type PromptRun struct {
	// Parts are the parts of its prompt that other requests may share, in order.
	Parts []Part
	// Began is set if the server had begun to answer.
	Began bool
	// Request identifies the request if all of its runs together count as one, "" if each run counts.
	Request Fingerprint
}

// Death is the death of a server process, with the requests of one node that were on it.
type Death struct {
	// Process identifies the server process.
	Process string
	Runs    []PromptRun
}

// Quarantine describes a quarantined part.
type Quarantine struct {
	Part Part
	// Trials is the number of trials that have begun.
	Trials int
	// Age is the time since the quarantine or its latest trial began.
	Age time.Duration
}

// evidence is a death with the requests of all nodes that are known to have been on the server.
type evidence struct {
	process string
	at      time.Time
	runs    []evidenceRun
	parts   int
}

type evidenceRun struct {
	parts []Part
	began bool
	// request is PromptRun.Request.
	request Fingerprint
	// own is set if the request was one of this node.
	own bool
}

func (r evidenceRun) weight() int {
	if r.began {
		return weightBegan
	}
	return weightWaiting
}

// quarantine is the state of a quarantined part.
type quarantine struct {
	trials int
	// since is when the quarantine or its latest trial began, usedAt is when a request with the part last came.
	since  time.Time
	usedAt time.Time
}

func (q *quarantine) trialAt() time.Time {
	d := firstTrialDelay
	for range q.trials {
		d = min(d*trialDelayGrowth, maxTrialDelay)
	}
	return q.since.Add(d)
}

// PartTracker identifies parts of prompts that crash servers. Requests that share such a part need not have anything
// else in common. A part is quarantined when it was in the prompts of requests on several servers that died, and no
// request with it has been answered since the first of these deaths. It is not safe for concurrent use.
type PartTracker struct {
	deaths      []*evidence
	quarantines map[Part]*quarantine
	// released holds the time at which a part last proved to be safe, so that a node that has missed this does not
	// bring the quarantine back.
	released *lru.Cache[Part, time.Time]
}

// NewPartTracker returns a PartTracker without evidence.
func NewPartTracker() (*PartTracker, error) {
	released, err := lru.New[Part, time.Time](maxReleases)
	if err != nil {
		return nil, errors.Newf("create cache of released parts: %w", err)
	}
	return &PartTracker{quarantines: make(map[Part]*quarantine), released: released}, nil
}

// RecordDeath adds a death to the evidence; own is set if it is reported by this node. It returns the parts that this
// node has quarantined because of it. A node decides only on parts of its own requests: the others follow through
// LearnQuarantine, so that nodes with different evidence do not come to different results.
func (t *PartTracker) RecordDeath(now time.Time, d Death, own bool) []Part {
	t.expire(now)
	e := t.evidenceOf(now, d.Process)
	for _, r := range d.Runs {
		if len(r.Parts) == 0 || e.parts+len(r.Parts) > maxDeathParts {
			continue
		}
		e.parts += len(r.Parts)
		e.runs = append(e.runs, evidenceRun{parts: slices.Clone(r.Parts), began: r.Began, request: r.Request, own: own})
	}
	var out []Part
	for p, ok := t.decide(); ok; p, ok = t.decide() {
		t.add(p, &quarantine{since: now, usedAt: now})
		out = append(out, p)
	}
	return out
}

func (t *PartTracker) evidenceOf(now time.Time, process string) *evidence {
	for _, e := range t.deaths {
		if e.process == process {
			return e
		}
	}
	if len(t.deaths) >= maxDeaths {
		t.deaths = slices.Delete(t.deaths, 0, 1)
	}
	e := &evidence{process: process, at: now}
	t.deaths = append(t.deaths, e)
	return e
}

// expire drops the evidence and the quarantines that have not been used for too long.
func (t *PartTracker) expire(now time.Time) {
	t.deaths = slices.DeleteFunc(t.deaths, func(e *evidence) bool { return now.Sub(e.at) > retention })
	maps.DeleteFunc(t.quarantines, func(_ Part, q *quarantine) bool { return now.Sub(q.usedAt) > retention })
}

// decide returns a part that is to be quarantined, if there is one.
func (t *PartTracker) decide() (Part, bool) {
	own := t.ownParts()
	if own.Len() == 0 {
		return "", false
	}
	weights := t.weights()
	for _, p := range sets.Sorted(own) {
		needed := quarantineWeight
		if t.released.Contains(p) {
			needed = provenWeight
		}
		if w := weights[p]; w >= needed && (w >= certainWeight || !t.defersToLaterPart(p, weights)) {
			return p, true
		}
	}
	return "", false
}

// weights returns the weight of the evidence against each part that is not quarantined.
func (t *PartTracker) weights() map[Part]int {
	out := make(map[Part]int)
	// A group of simultaneous deaths counts with the highest weight that the part has in any of them.
	type counted struct {
		at     time.Time
		weight int
	}
	last := make(map[Part]counted)
	type partOfRequest struct {
		part    Part
		request Fingerprint
	}
	ofRequest := make(map[partOfRequest]int)
	for _, e := range t.deaths {
		for _, r := range t.unexplained(e) {
			for _, p := range r.parts {
				c, ok := last[p]
				if !ok || e.at.Sub(c.at) > simultaneousDeaths {
					c = counted{at: e.at}
				}
				if w := r.weight(); w > c.weight {
					gain, key := w-c.weight, partOfRequest{part: p, request: r.request}
					if r.request != "" {
						gain = max(0, min(gain, w-ofRequest[key]))
						ofRequest[key] += gain
					}
					out[p] += gain
					c.weight = w
				}
				last[p] = c
			}
		}
	}
	return out
}

// unexplained returns the requests that a death speaks against: none if the server had begun to answer a request with a
// quarantined part, and only those that it had begun to answer if one with a quarantined part still waited.
func (t *PartTracker) unexplained(e *evidence) []evidenceRun {
	waiting := false
	for _, r := range e.runs {
		if !slices.ContainsFunc(r.parts, t.has) {
			continue
		}
		if r.began {
			return nil
		}
		waiting = true
	}
	if !waiting {
		return e.runs
	}
	return slices.DeleteFunc(slices.Clone(e.runs), func(r evidenceRun) bool { return !r.began })
}

func (t *PartTracker) has(p Part) bool {
	_, ok := t.quarantines[p]
	return ok
}

// ownParts returns the parts of this node's requests in the evidence.
func (t *PartTracker) ownParts() sets.Set[Part] {
	out := sets.New[Part]()
	for _, e := range t.deaths {
		for _, r := range e.runs {
			for _, p := range r.parts {
				if r.own && !t.has(p) {
					out.Add(p)
				}
			}
		}
	}
	return out
}

// defersToLaterPart reports whether the evidence speaks at least half as much against a part that comes later in prompts
// with part p. The later part is in fewer requests, so it is quarantined first; if servers still die, p follows.
func (t *PartTracker) defersToLaterPart(p Part, weights map[Part]int) bool {
	for _, e := range t.deaths {
		for _, r := range t.unexplained(e) {
			i := slices.Index(r.parts, p)
			if i >= 0 && slices.ContainsFunc(r.parts[i+1:], func(q Part) bool { return 2*weights[q] >= weights[p] }) {
				return true
			}
		}
	}
	return false
}

func (t *PartTracker) add(p Part, q *quarantine) {
	if len(t.quarantines) >= maxQuarantines {
		var oldest Part
		for other, o := range t.quarantines {
			if x, ok := t.quarantines[oldest]; !ok || o.usedAt.Before(x.usedAt) {
				oldest = other
			}
		}
		delete(t.quarantines, oldest)
	}
	t.quarantines[p] = q
}

// Safe records that a server has answered a request with the given parts and lives. It ends the quarantine of the parts
// and removes them from the evidence. It returns the parts that other nodes must learn of through LearnSafe.
func (t *PartTracker) Safe(now time.Time, parts []Part) []Part {
	suspected := slices.DeleteFunc(slices.Clone(parts), func(p Part) bool { return !t.has(p) && !t.inEvidence(p) })
	if len(suspected) == 0 {
		return nil
	}
	for _, p := range suspected {
		t.LearnSafe(now, p)
	}
	return suspected
}

func (t *PartTracker) inEvidence(p Part) bool {
	return slices.ContainsFunc(t.deaths, func(e *evidence) bool {
		return slices.ContainsFunc(e.runs, func(r evidenceRun) bool { return slices.Contains(r.parts, p) })
	})
}

// LearnSafe applies a result of Safe on another node. It reports whether the part was quarantined.
func (t *PartTracker) LearnSafe(now time.Time, p Part) bool {
	quarantined := t.has(p)
	if !quarantined && !t.inEvidence(p) {
		return false
	}
	delete(t.quarantines, p)
	t.released.Add(p, now)
	for _, e := range t.deaths {
		for i, r := range e.runs {
			e.runs[i].parts = slices.DeleteFunc(r.parts, func(q Part) bool { return q == p })
		}
		e.runs = slices.DeleteFunc(e.runs, func(r evidenceRun) bool { return len(r.parts) == 0 })
	}
	return quarantined
}

// Check returns the quarantined part of a prompt whose next trial is due last, "" if none is quarantined, and the time
// until that trial.
func (t *PartTracker) Check(now time.Time, parts []Part) (Part, time.Duration) {
	var out Part
	var wait time.Duration
	for _, p := range parts {
		q, ok := t.quarantines[p]
		if !ok {
			continue
		}
		q.usedAt = now
		if w := max(0, q.trialAt().Sub(now)); out == "" || w > wait {
			out, wait = p, w
		}
	}
	return out, wait
}

// TrialStarted records that a request with a quarantined part is sent to a server as the trial with the given number,
// starting at 1. No other trial is due for a longer time than before.
func (t *PartTracker) TrialStarted(now time.Time, p Part, number int) {
	if q, ok := t.quarantines[p]; ok && number > q.trials {
		q.trials, q.since = number, now
	}
}

// Trials returns the number of trials of a quarantined part.
func (t *PartTracker) Trials(p Part) int {
	if q, ok := t.quarantines[p]; ok {
		return q.trials
	}
	return 0
}

// LearnQuarantine applies the quarantine of a part on another node. It reports whether the part was not quarantined here.
func (t *PartTracker) LearnQuarantine(now time.Time, o Quarantine) bool {
	since := now.Add(-o.Age)
	if at, ok := t.released.Get(o.Part); ok && !since.After(at) {
		return false
	}
	q, known := t.quarantines[o.Part]
	if !known {
		t.add(o.Part, &quarantine{trials: o.Trials, since: since, usedAt: now})
		return true
	}
	if o.Trials > q.trials {
		q.trials, q.since = o.Trials, since
	}
	return false
}

// LearnStored applies a stored quarantine, which may be older than what this node knows. It reports whether anything has
// changed. A part that has proved to be safe since the node started, and is not quarantined, stays so.
func (t *PartTracker) LearnStored(now time.Time, o Quarantine) bool {
	q, known := t.quarantines[o.Part]
	if known && q.trials >= o.Trials || !known && t.released.Contains(o.Part) {
		return false
	}
	t.LearnQuarantine(now, o)
	return true
}

// Quarantines returns the quarantined parts, sorted. It drops those that no request has used for an hour.
func (t *PartTracker) Quarantines(now time.Time) []Quarantine {
	t.expire(now)
	out := make([]Quarantine, 0, len(t.quarantines))
	for p, q := range t.quarantines {
		out = append(out, Quarantine{Part: p, Trials: q.trials, Age: now.Sub(q.since)})
	}
	slices.SortFunc(out, func(a, b Quarantine) int { return cmp.Compare(a.Part, b.Part) })
	return out
}
