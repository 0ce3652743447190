package crash

import (
	"slices"
	"time"

	"geraniumhollow/internal/core/sets"
)

// ServerDied marks the requests that were running on a server that died as suspects, and returns the changes.
// A second report of the same death finds no new runs and changes nothing.
func (d *Decider) ServerDied(now time.Time, server string) []Suspicion {
	involved := d.crashedRuns(now, server)
	if involved.Len() == 0 {
		return nil
	}
	d.nextCrash++
	for _, f := range sets.Sorted(involved) {
		s := d.ensureSuspect(now, f)
		s.crashes++
		s.unexplained.Add(d.nextCrash)
	}
	culprit, ok := d.culprit(involved)
	if !ok {
		return d.suspicions(involved)
	}
	out := d.explain(culprit)
	return append(out, Suspicion{Fingerprint: culprit, Change: Suspected, Crashes: d.suspects[culprit].crashes})
}

// crashedRuns attributes the runs on a server to a crash and returns their fingerprints. It includes runs
// that broke within the death window, and leaves out runs that were already attributed to a crash. The
// runs are not removed: if the report is late, the restarted server may be running them again, and a
// suspect could then start beside them.
func (d *Decider) crashedRuns(now time.Time, server string) sets.Set[Fingerprint] {
	out := sets.New[Fingerprint]()
	for _, r := range d.runsInDeath(now, server) {
		out.Add(r.fingerprint)
		r.inCrash = true
	}
	return out
}

// runsInDeath returns the runs to which a death that is reported now is attributed.
func (d *Decider) runsInDeath(now time.Time, server string) []*run {
	var out []*run
	for _, r := range d.runs {
		brokeEarlier := !r.brokenAt.IsZero() && now.Sub(r.brokenAt) > d.deathWindow
		if r.server == server && r.started && !r.inCrash && !brokeEarlier {
			out = append(out, r)
		}
	}
	return out
}

// PromptRuns returns the runs to which a death that is reported now is attributed and whose prompts are not known to be
// safe, those that their server had begun to answer first. It must be called before ServerDied.
func (d *Decider) PromptRuns(now time.Time, server string) []PromptRun {
	var out []PromptRun
	for _, r := range d.runsInDeath(now, server) {
		if len(r.parts) > 0 {
			out = append(out, PromptRun{Parts: r.parts, Began: r.began, Request: r.request})
		}
	}
	slices.SortStableFunc(out, func(a, b PromptRun) int {
		switch {
		case a.Began == b.Began:
			return 0
		case a.Began:
			return -1
		default:
			return 1
		}
	})
	return out
}

// culprit returns the request that explains a crash: the only request involved, or the only one with the
// highest number of crashes, which must be at least two.
func (d *Decider) culprit(involved sets.Set[Fingerprint]) (Fingerprint, bool) {
	var best Fingerprint
	mostCrashes, unique := 0, false
	for _, f := range sets.Sorted(involved) {
		switch n := d.suspects[f].crashes; {
		case n > mostCrashes:
			best, mostCrashes, unique = f, n, true
		case n == mostCrashes:
			unique = false
		}
	}
	return best, involved.Len() == 1 || unique && mostCrashes >= 2
}

// explain removes the crashes of the culprit from the unexplained crashes of all other suspects, and
// returns the requests that have no unexplained crash left on this node. Their number of crashes is kept,
// so that a second culprit among them is identified at its next crash.
func (d *Decider) explain(culprit Fingerprint) []Suspicion {
	c := d.suspects[culprit]
	c.confirmed = true
	var out []Suspicion
	for _, f := range sets.Sorted(d.fingerprints()) {
		s := d.suspects[f]
		if f == culprit || s.unexplained.Len() == 0 {
			continue
		}
		for crash := range c.unexplained {
			s.unexplained.Remove(crash)
		}
		if s.unexplained.Len() == 0 && !s.confirmed {
			out = append(out, Suspicion{Fingerprint: f, Change: Explained, Crashes: s.crashes})
		}
	}
	clear(c.unexplained)
	return out
}

func (d *Decider) suspicions(involved sets.Set[Fingerprint]) []Suspicion {
	out := make([]Suspicion, 0, involved.Len())
	for _, f := range sets.Sorted(involved) {
		out = append(out, Suspicion{Fingerprint: f, Change: Suspected, Crashes: d.suspects[f].crashes})
	}
	return out
}

// Learn applies a change that was received from the node origin.
func (d *Decider) Learn(now time.Time, origin string, suspicion Suspicion) {
	s, known := d.suspects[suspicion.Fingerprint]
	switch suspicion.Change {
	case Completed:
		delete(d.suspects, suspicion.Fingerprint)
	case Explained:
		if known {
			s.suspectedBy.Remove(origin)
		}
	case Suspected:
		s = d.ensureSuspect(now, suspicion.Fingerprint)
		s.crashes = max(s.crashes, suspicion.Crashes)
		s.suspectedBy.Add(origin)
	}
}

// ensureSuspect returns the suspect of a fingerprint. It creates a new one if there is none or if its
// retention has passed.
func (d *Decider) ensureSuspect(now time.Time, f Fingerprint) *suspect {
	s, ok := d.suspects[f]
	if !ok || now.Sub(s.updatedAt) > retention {
		if !ok {
			d.evictSuspects(now)
		}
		s = &suspect{unexplained: sets.New[uint64](), suspectedBy: sets.New[string]()}
		d.suspects[f] = s
	}
	s.updatedAt = now
	return s
}

// evictSuspects removes expired suspects when maxSuspects is reached, and the oldest one if none has
// expired.
func (d *Decider) evictSuspects(now time.Time) {
	if len(d.suspects) < maxSuspects {
		return
	}
	var oldest Fingerprint
	for f, s := range d.suspects {
		if now.Sub(s.updatedAt) > retention {
			delete(d.suspects, f)
			continue
		}
		if o, ok := d.suspects[oldest]; !ok || s.updatedAt.Before(o.updatedAt) {
			oldest = f
		}
	}
	if len(d.suspects) >= maxSuspects {
		delete(d.suspects, oldest)
	}
}

func (d *Decider) fingerprints() sets.Set[Fingerprint] {
	out := sets.New[Fingerprint]()
	for f := range d.suspects {
		out.Add(f)
	}
	return out
}
