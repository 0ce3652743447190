package scale

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Utilisation of groups, relative to Capacity.
const (
	// meanUtilisation and peakUtilisation are the utilisations for which groups are provided. Of 48 slots, a group with 0.72 of its
	// capacity uses about 21, and one with 0.87 about 31.
	meanUtilisation = 0.72
	peakUtilisation = 0.87
	// tightMean and tightPeak are the utilisations above which groups are added. They are higher, so that the noise of demand does
	// not add groups.
	tightMean = 0.80
	tightPeak = 0.97
	// busyUtilisation is the utilisation of open groups above which more are needed at once.
	busyUtilisation = 0.95
	// minCapacity is the smallest capacity of a group in requests per second. Requests that no group can serve in time need none.
	minCapacity = 0.1
	// groupTolerance is the fraction of a group that is not provided.
	groupTolerance = 0.2
	// lowerTime is how long fewer groups must have sufficed before the need is lowered. It is earlyLowerTime until demand has been
	// observed for a window.
	lowerTime      = 8 * time.Second
	earlyLowerTime = 2 * time.Second
)

// Learning from requests that were refused or late although the groups were there.
const (
	failedShare     = 0.03
	failedTime      = 3 * time.Second
	derateInterval  = 5 * time.Second
	derateStep      = 0.93
	minDerating     = 0.75
	recoverInterval = 30 * time.Second
	recoverStep     = 1.03
)

// need is how many groups a model needs.
type need struct {
	groups int
	// exact is the number without rounding, tight the number without headroom.
	exact float64
	tight int
	// early is set until demand has been observed for a window.
	early bool
	// lowerSince is since when fewer groups would suffice.
	lowerSince time.Time
	// derating is the learned ratio of the capacity of groups to the predicted one. adjustedAt is when it was changed, failingSince
	// since when requests have failed although the groups were there.
	derating     float64
	adjustedAt   time.Time
	failingSince time.Time
	// overloaded is set if the open groups cannot carry the demand.
	overloaded bool
}

// updateNeeds updates the number of groups that each model needs. A model without demand needs one, as its next request would have to
// wait until weights are loaded.
func (d *Decider) updateNeeds(now time.Time, in Input) {
	for _, m := range in.Engine.Models {
		n := d.needs[m.Name]
		if n == nil {
			n = &need{derating: 1, adjustedAt: now}
			d.needs[m.Name] = n
		}
		n.learn(now, d.est.failedShare(m.Name) > failedShare, in.Open[m.Name])
		capacity := n.derating * Capacity(in.Engine, m, d.est.mix(m.Name, in.Engine.MeanAnswerTokens), in.Objectives[m.Name])
		mean, peak := d.est.mean(m.Name), d.est.peak(m.Name)
		groups := func(meanShare, peakShare float64) float64 {
			return max(mean/meanShare, peak/peakShare) / max(capacity, minCapacity)
		}
		n.exact = groups(meanUtilisation, peakUtilisation)
		n.overloaded = d.est.failedShare(m.Name) > failedShare ||
			rate(d.est.recent(), m.Name) > busyUtilisation*capacity*float64(in.Open[m.Name])
		n.tight = roundGroups(groups(tightMean, tightPeak))
		wanted, lower := roundGroups(n.exact), lowerTime
		if !d.est.full() {
			n.tight, lower = roundGroups(mean/tightPeak/max(capacity, minCapacity)), earlyLowerTime
			wanted = roundGroups(n.exact + groupTolerance)
		}
		if n.update(now, wanted, lower) {
			d.raisedAt = now
		}
		// The first estimates are replaced by that of a whole window.
		if early := !d.est.full(); early {
			n.groups, n.early = max(n.groups, wanted), true
		} else if n.early {
			n.groups, n.early = wanted, false
		}
	}
}

// roundGroups returns a whole number of groups.
func roundGroups(x float64) int { return max(1, int(math.Ceil(x-groupTolerance))) }

// update sets the need to wanted groups if fewer than tight are provided, or if wanted has been lower for a time. It reports whether
// the need was raised.
func (n *need) update(now time.Time, wanted int, lower time.Duration) bool {
	switch {
	case n.groups == 0 || n.tight > n.groups:
		n.groups, n.lowerSince = wanted, time.Time{}
		return true
	case wanted >= n.groups:
		n.lowerSince = time.Time{}
	case n.lowerSince.IsZero():
		n.lowerSince = now
	case now.Sub(n.lowerSince) >= lower:
		n.groups, n.lowerSince = wanted, time.Time{}
	}
	return false
}

// learn lowers the assumed capacity of groups while requests fail although the groups that are needed are open, and raises it again
// in time.
func (n *need) learn(now time.Time, failing bool, open int) {
	if !failing || open < n.groups || n.groups == 0 {
		n.failingSince = time.Time{}
		if n.derating < 1 && now.Sub(n.adjustedAt) >= recoverInterval {
			n.derating, n.adjustedAt = min(1, n.derating*recoverStep), now
		}
		return
	}
	if n.failingSince.IsZero() {
		n.failingSince = now
	}
	if now.Sub(n.failingSince) >= failedTime && now.Sub(n.adjustedAt) >= derateInterval {
		n.derating, n.adjustedAt = max(minDerating, n.derating*derateStep), now
	}
}

// zoneState is what is known of a data centre.
type zoneState struct {
	domains []int
	// count is the number of servers that may serve.
	count int
	// history holds the numbers of the last lossTime.
	history []countAt
	// out is set while the data centre is out of service, since outSince. lost is set while it lacks most of the servers that it
	// had, which were before.
	out      bool
	outSince time.Time
	lost     bool
	before   int
	// desired is the number of servers that was last ordered, or 0, and orderedAt is when. shortSince is since when there have been
	// fewer.
	desired    int
	orderedAt  time.Time
	shortSince time.Time
}

type countAt struct {
	at time.Time
	n  int
}

// observeZones updates what is known of data centres. One whose servers are all gone stays known.
func (d *Decider) observeZones(now time.Time, in Input) {
	for name := range in.Zones {
		if d.zones[name] == nil {
			d.zones[name] = &zoneState{}
		}
	}
	for name, z := range d.zones {
		reported, before := in.Zones[name], z.count
		z.domains, z.count = z.domains[:0], 0
		for _, k := range sortedCounts(reported.Domains) {
			z.domains = append(z.domains, k)
			z.count += k
			d.domainSize = max(d.domainSize, k)
		}
		if z.count > before && len(z.history) > 0 {
			d.grewAt = now
		}
		z.observe(now, z.count+reported.Draining, reported.OutOfService)
	}
}

// observe updates the state of a data centre that has n servers, including those that are about to end.
func (z *zoneState) observe(now time.Time, n int, out bool) {
	if out && !z.out {
		z.outSince = now
	}
	z.out = out
	for len(z.history) > 0 && now.Sub(z.history[0].at) > lossTime {
		z.history = z.history[1:]
	}
	z.history = append(z.history, countAt{now, n})
	if !z.lost {
		z.before = 0
		for _, h := range z.history {
			z.before = max(z.before, h.n)
		}
	}
	expected := z.before
	if z.desired > 0 {
		expected = min(expected, z.desired) // Servers that were ordered to end are not lost.
	}
	z.lost = float64(n) < lossShare*float64(expected)
	if z.count >= z.desired {
		z.shortSince = time.Time{}
	} else if z.shortSince.IsZero() || z.shortSince.Before(z.orderedAt) {
		z.shortSince = now
	}
}

// undelivered reports whether ordered servers have not come in time.
func (z *zoneState) undelivered(now time.Time, b Bounds) bool {
	return !z.shortSince.IsZero() && now.Sub(z.shortSince) >= b.Boot+bootMargin
}

// sizes returns the numbers of servers of the domains, including those that are still booting.
func (z *zoneState) sizes(now time.Time, b Bounds, domainSize int) []int {
	if z.shortSince.IsZero() || z.undelivered(now, b) {
		return z.domains
	}
	return grow(z.domains, z.desired-z.count, domainSize)
}

func sortedCounts(m map[string]int) []int {
	out := make([]int, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[name])
	}
	return out
}
