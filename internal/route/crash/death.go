package crash

import (
	"time"

	"geraniumhollow/internal/core/sets"
)

// Died makes suspects of the requests that ran on a server that died, and returns what changed. A
// second report of the same death finds no new runs and changes nothing.
func (d *Decider) Died(now time.Time, server string) []Suspicion {
	involved := d.countRuns(now, server)
	if involved.Len() == 0 {
		return nil
	}
	d.nextCrash++
	for _, f := range sets.Sorted(involved) {
		s := d.entry(now, f)
		s.crashes++
		s.open.Add(d.nextCrash)
	}
	culprit, ok := d.culprit(involved)
	if !ok {
		return d.report(involved)
	}
	out := d.explain(culprit)
	return append(out, Suspicion{Fingerprint: culprit, Change: Suspected, Crashes: d.suspects[culprit].crashes})
}

// countRuns returns the fingerprints of the runs on a server, those that broke just now included, which
// are no part of a crash yet. The runs stay until they are ended one by one: the report may be late, and
// the server may be running them again, so that a suspect beside them would not be alone.
func (d *Decider) countRuns(now time.Time, server string) sets.Set[Fingerprint] {
	out := sets.New[Fingerprint]()
	for _, r := range d.runs {
		late := !r.brokenAt.IsZero() && now.Sub(r.brokenAt) > brokenGrace
		if r.server != server || !r.begun || r.counted || late {
			continue
		}
		out.Add(r.fingerprint)
		r.counted = true
	}
	return out
}

// culprit returns the request that explains a crash: the only one there, or else the only one with the
// highest weight, which must be at least two crashes.
func (d *Decider) culprit(involved sets.Set[Fingerprint]) (Fingerprint, bool) {
	var best Fingerprint
	weight, unique := 0, false
	for _, f := range sets.Sorted(involved) {
		switch n := d.suspects[f].crashes; {
		case n > weight:
			best, weight, unique = f, n, true
		case n == weight:
			unique = false
		}
	}
	return best, involved.Len() == 1 || unique && weight >= 2
}

// explain closes the crashes that the culprit took part in and returns the requests that are no longer
// suspected. They keep their weight: a second culprit among them is found at its next crash.
func (d *Decider) explain(culprit Fingerprint) []Suspicion {
	c := d.suspects[culprit]
	c.proved = true
	var out []Suspicion
	for _, f := range sets.Sorted(d.fingerprints()) {
		s := d.suspects[f]
		if f == culprit || s.open.Len() == 0 {
			continue
		}
		for crash := range c.open {
			s.open.Remove(crash)
		}
		if s.open.Len() == 0 && !s.proved {
			out = append(out, Suspicion{Fingerprint: f, Change: Explained, Crashes: s.crashes})
		}
	}
	clear(c.open)
	return out
}

func (d *Decider) report(involved sets.Set[Fingerprint]) []Suspicion {
	out := make([]Suspicion, 0, involved.Len())
	for _, f := range sets.Sorted(involved) {
		out = append(out, Suspicion{Fingerprint: f, Change: Suspected, Crashes: d.suspects[f].crashes})
	}
	return out
}

// Learn takes what the node origin told of a fingerprint.
func (d *Decider) Learn(now time.Time, origin string, x Suspicion) {
	s, known := d.suspects[x.Fingerprint]
	switch x.Change {
	case Completed:
		delete(d.suspects, x.Fingerprint)
	case Explained:
		if known {
			s.remote.Remove(origin)
		}
	case Suspected:
		s = d.entry(now, x.Fingerprint)
		s.crashes = max(s.crashes, x.Crashes)
		s.remote.Add(origin)
	}
}

// entry returns the entry of a fingerprint, made anew when its crashes are forgotten.
func (d *Decider) entry(now time.Time, f Fingerprint) *suspect {
	s, ok := d.suspects[f]
	if !ok || now.Sub(s.at) > memory {
		if !ok {
			d.evict(now)
		}
		s = &suspect{open: sets.New[uint64](), remote: sets.New[string]()}
		d.suspects[f] = s
	}
	s.at = now
	return s
}

// evict removes old suspects when there are too many.
func (d *Decider) evict(now time.Time) {
	if len(d.suspects) < maxSuspects {
		return
	}
	var oldest Fingerprint
	for f, s := range d.suspects {
		if now.Sub(s.at) > memory {
			delete(d.suspects, f)
			continue
		}
		if o, ok := d.suspects[oldest]; !ok || s.at.Before(o.at) {
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
