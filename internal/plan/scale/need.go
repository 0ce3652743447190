package scale

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Utilisation of groups, relative to Capacity.
const (
	// utilisation is the one at the highest demand for which groups are provided. On the first deployment, a group of the small model
	// costs an eighth of the value of the requests that it serves, so headroom is cheap and lateness is dear.
	utilisation = 0.60
	// tightUtilisation is the utilisation above which a model needs more groups at once. On the first deployment, groups were late from
	// 0.96 on.
	tightUtilisation = 0.95
	// excessUtilisation is the utilisation of all servers above which servers are added before requests are late. The highest demand
	// has some noise, so it is above 1.
	excessUtilisation = 1.1
	// minCapacity is the smallest capacity of a group in requests per second. Requests that no group can serve in time need none.
	minCapacity = 0.1
	// noiseDeviations is how many standard deviations the highest of many rates usually is above the mean: more for a model with few
	// requests, which would get too large a share of the groups.
	noiseDeviations = 2
	// groupTolerance is the fraction of a group that is not provided. It keeps the need from changing with the noise of sizes.
	groupTolerance = 0.2
)

// Requests that are refused or late.
const (
	// lateShare is the share of the requests for a model from which it counts as late. Fewer than minFailed requests never do.
	lateShare = 0.05
	minFailed = 3
	// calmShare is the share of all requests below which servers may be removed.
	calmShare = 0.02
	// If requests are late although the groups are open, the assumed capacity is lowered by derateStep each derateInterval, and
	// recovers by recoverStep each recoverInterval.
	derateInterval  = 4 * time.Second
	derateStep      = 0.9
	minDerating     = 0.6
	recoverInterval = 30 * time.Second
	recoverStep     = 1.05
)

// need is how many groups a model needs.
type need struct {
	groups int
	// exact is the number without rounding, tight the number below which more are needed at once.
	exact float64
	tight int
	// load is the number without headroom and without what the highest demand may owe to chance. Groups are divided by it.
	load float64
	// derating is the learned ratio of the capacity of groups to the predicted one. adjustedAt is when it was changed.
	derating   float64
	adjustedAt time.Time
	// late is set while requests for the model are refused or late.
	late  bool
	state ModelState
}

// updateNeeds updates the number of groups that each model needs. A model without demand needs one, as its next request would have to
// wait until weights are loaded.
func (d *Decider) updateNeeds(now time.Time, in Input) {
	for _, m := range in.Engine.Models {
		n := d.needs[m.Name]
		if n == nil {
			n = &need{derating: 1}
			d.needs[m.Name] = n
		}
		n.late = d.est.isLate(m.Name)
		n.learn(now, in.Open[m.Name])
		mix := d.est.mix(m.Name, in.Engine.MeanAnswerTokens)
		capacity := max(minCapacity, n.derating*Capacity(in.Engine, m, mix, in.Objectives[m.Name]))
		highest := d.est.highest(m.Name)
		n.exact = highest / utilisation / capacity
		n.load = (highest - noiseDeviations*math.Sqrt(highest/(recentBins*binTime.Seconds()))) / capacity
		n.tight = roundGroups(highest / tightUtilisation / capacity)
		if wanted := roundGroups(n.exact); wanted > n.groups || roundGroups(n.exact+groupTolerance) < n.groups {
			n.groups = wanted
		}
		n.state = ModelState{
			Rate: d.est.rate(m.Name), Highest: highest, Mix: mix, Capacity: capacity, Needed: n.groups,
			FailedShare: total(d.est.last(recentBins), m.Name).failedShare(),
		}
		n.state.Utilisation = n.state.Rate / capacity / float64(max(1, in.Open[m.Name]))
	}
}

// loadOf returns how busy groups are. With spare, half of a group is taken to be missing, as groups lose members all the time and a model
// with few groups loses most with one: with an even share, the model with four groups had a quarter of its requests late. While a data
// centre is missing, an even share serves more requests.
func (n *need) loadOf(groups int, spare bool) float64 {
	have := float64(max(1, groups))
	if spare {
		have -= missingGroups
	}
	return n.load / have
}

// missingGroups is the number of groups of a model that are taken to be missing.
const missingGroups = 0.5

// roundGroups returns a whole number of groups.
func roundGroups(x float64) int { return max(1, int(math.Ceil(x-groupTolerance))) }

// learn lowers the assumed capacity of groups while requests are late although the groups that are needed are open, and raises it again
// in time.
func (n *need) learn(now time.Time, open int) {
	switch since := now.Sub(n.adjustedAt); {
	case n.late && open >= n.groups && n.groups > 0 && since >= derateInterval:
		n.derating, n.adjustedAt = max(minDerating, n.derating*derateStep), now
	case !n.late && n.derating < 1 && since >= recoverInterval:
		n.derating, n.adjustedAt = min(1, n.derating*recoverStep), now
	}
}

// centreState is what is known of a data centre.
type centreState struct {
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

// observeDataCentres updates what is known of data centres, and reports whether servers were lost. A data centre whose servers are all
// gone stays known.
func (d *Decider) observeDataCentres(now time.Time, in Input) bool {
	for name := range in.DataCentres {
		if d.centres[name] == nil {
			d.centres[name] = &centreState{}
		}
	}
	lost := false
	for name, z := range d.centres {
		reported, before := in.DataCentres[name], z.count
		z.domains, z.count = z.domains[:0], 0
		for _, k := range sortedCounts(reported.Domains) {
			z.domains = append(z.domains, k)
			z.count += k
			d.domainSize = max(d.domainSize, k)
		}
		// Servers that were ordered to end are not lost.
		lost = lost || z.count < before && (z.desired == 0 || z.count < z.desired)
		z.observe(now, z.count+reported.Draining, reported.OutOfService)
	}
	return lost
}

// observe updates the state of a data centre that has n servers, including those that are about to end.
func (z *centreState) observe(now time.Time, n int, out bool) {
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
func (z *centreState) undelivered(now time.Time, b Bounds) bool {
	return !z.shortSince.IsZero() && now.Sub(z.shortSince) >= b.Boot+bootMargin
}

// sizes returns the numbers of servers of the domains, including those that are still booting.
func (z *centreState) sizes(now time.Time, b Bounds, domainSize int) []int {
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
