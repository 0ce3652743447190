// Package form places groups without pinned hosts on free hosts. It does no I/O. All hosts of a
// group are in one fabric domain, a set of hosts that share an accelerator fabric. Requests are
// placed in descending order of shortfall. For each request, a domain that keeps its spares is
// preferred. Ties are broken by the least loss of room for larger groups, then by the most hosts
// with the weights loaded, then by the tightest fit.
package form

import (
	"cmp"
	"slices"
)

// Weights identify model weights that a host has loaded.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Host is a free, usable host.
type Host struct {
	Name         string
	Domain       string
	Accelerators int
	Loaded       []Weights
}

// Domain is a fabric domain in service.
type Domain struct {
	Name       string
	DataCentre string
	// Returning is the number of lost hosts that are expected back soon. Room for a group that does
	// not fit is held only where they would complete it.
	Returning int
}

// Request is a group that needs hosts.
type Request struct {
	Group   string
	Weights Weights
	// Hosts is the number of hosts that the group needs, 1 to 32.
	Hosts int
	// Domain or DataCentre binds the group. If both are empty, every domain is allowed.
	Domain     string
	DataCentre string
	// LastDomain is the domain that the group last ran in. In other domains, it must leave their
	// reserved spares. It is empty for a group that has not run yet.
	LastDomain string
	// Shortfall is how urgently callers need the group. Larger is more urgent.
	Shortfall float64
}

// Cause is why a domain was chosen, or why a group waits.
type Cause string

// Causes of a placement, followed by causes of waiting.
const (
	OnlyDomain    Cause = "only_domain_with_room"
	KeepsSpares   Cause = "keeps_spares"
	KeepsRoom     Cause = "keeps_room_for_larger_groups"
	WeightsLoaded Cause = "weights_loaded"
	TightestFit   Cause = "tightest_fit"

	NoDomain   Cause = "no_domain_allowed"
	NoRoom     Cause = "no_domain_has_enough_hosts"
	RoomHeld   Cause = "room_held_for_a_more_lacking_group"
	SparesKept Cause = "spares_kept_for_their_own_domain"
)

// Reason explains a placement or a wait.
type Reason struct {
	Cause Cause
	// Free is the number of free hosts in the chosen domain, or the most in any allowed domain.
	Free int
	// Need is the number of hosts that the group needs.
	Need int
	// Loaded is the number of chosen hosts that have the weights.
	Loaded int
}

// Placement assigns hosts to a group, or says why it waits.
type Placement struct {
	Group string
	// Domain is empty when the group waits.
	Domain string
	// Hosts are the members, the head first.
	Hosts  []string
	Reason Reason
}

// Placed reports whether the group was assigned hosts.
func (p Placement) Placed() bool { return p.Domain != "" }

// Input is the input of one call of Place.
type Input struct {
	Domains  []Domain
	Hosts    []Host
	Requests []Request
	// Sizes are group sizes for which room is kept, in addition to the sizes of the requests.
	Sizes []int
}

// preferredSpares is how many free hosts a placement should leave in a domain if another domain
// allows it. Two spares cover the loss of two hosts before a rebuild.
const preferredSpares = 2

// reservedSpares is how many free hosts the groups of other domains leave in a domain that has at
// least twice as many. With two reserved, groups of a failed domain stayed down although hosts were
// idle, for longer than the other domains would have needed these hosts to replace lost ones.
const reservedSpares = 1

// CompareRequests orders requests by descending shortfall, then by descending size, then by name.
// Larger groups come first because they fit in fewer places.
func CompareRequests(a, b Request) int {
	return cmp.Or(cmp.Compare(b.Shortfall, a.Shortfall), cmp.Compare(b.Hosts, a.Hosts), cmp.Compare(a.Group, b.Group))
}

// Place returns one placement for each request, in the order in which they were placed.
func Place(in Input) []Placement {
	p := newPlacer(in)
	requests := slices.Clone(in.Requests)
	slices.SortFunc(requests, CompareRequests)
	placements := make([]Placement, 0, len(requests))
	for _, r := range requests {
		placements = append(placements, p.place(r))
	}
	return placements
}

// domainPool holds the free hosts of one domain during placement.
type domainPool struct {
	Domain
	hosts  []Host
	loaded map[Weights]int
	// reserved is how many hosts groups from other domains must leave.
	reserved int
	// held is how many hosts are held for a waiting group.
	held int
}

type placer struct {
	pools            []*domainPool
	poolsByName      map[string]*domainPool
	sizes            []int
	requestedWeights map[Weights]int
}

func newPlacer(in Input) *placer {
	p := &placer{
		poolsByName:      make(map[string]*domainPool, len(in.Domains)),
		requestedWeights: make(map[Weights]int, len(in.Requests)),
	}
	for _, d := range in.Domains {
		pool := &domainPool{Domain: d, loaded: make(map[Weights]int)}
		p.pools = append(p.pools, pool)
		p.poolsByName[d.Name] = pool
	}
	slices.SortFunc(p.pools, func(a, b *domainPool) int { return cmp.Compare(a.Name, b.Name) })
	for _, h := range in.Hosts {
		pool, ok := p.poolsByName[h.Domain]
		if !ok {
			continue
		}
		pool.hosts = append(pool.hosts, h)
		for _, w := range h.Loaded {
			pool.loaded[w]++
		}
	}
	for _, pool := range p.pools {
		slices.SortFunc(pool.hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
		pool.reserved = min(reservedSpares, len(pool.hosts)/2)
	}
	p.sizes = slices.Clone(in.Sizes)
	for _, r := range in.Requests {
		p.sizes = append(p.sizes, r.Hosts)
		p.requestedWeights[r.Weights]++
	}
	slices.Sort(p.sizes)
	p.sizes = slices.Compact(p.sizes)
	return p
}

// score rates a domain for a request. Scores are compared field by field, and smaller is better.
type score struct {
	// missingSpares is how many spares the domain would lack. It comes first because a group in a
	// domain without a spare that loses a host is down until one returns.
	missingSpares int
	// lostRoom is how many hosts of larger groups would no longer fit, summed over the group sizes.
	lostRoom  int
	unloaded  int
	remaining int
}

func (s score) compare(o score) int {
	return cmp.Or(cmp.Compare(s.missingSpares, o.missingSpares), cmp.Compare(s.lostRoom, o.lostRoom), cmp.Compare(s.unloaded, o.unloaded), cmp.Compare(s.remaining, o.remaining))
}

// cause returns the cause of the first field in which the best score differs from the second best.
func (s score) cause(second score) Cause {
	switch {
	case s.missingSpares != second.missingSpares:
		return KeepsSpares
	case s.lostRoom != second.lostRoom:
		return KeepsRoom
	case s.unloaded != second.unloaded:
		return WeightsLoaded
	default:
		return TightestFit
	}
}

// place assigns hosts to one request, or returns why it waits and holds room for it.
func (p *placer) place(r Request) Placement {
	var best, second *domainPool
	var bestScore, secondScore score
	waiting := Reason{Cause: NoDomain, Need: r.Hosts}
	for _, pool := range p.pools {
		if !allowed(r, pool.Domain) {
			continue
		}
		waiting.Free = max(waiting.Free, len(pool.hosts))
		if c := pool.rejectCause(r); c != "" {
			waiting.Cause = closerCause(waiting.Cause, c)
			continue
		}
		s := p.score(r, pool)
		switch {
		case best == nil || s.compare(bestScore) < 0:
			second, secondScore = best, bestScore
			best, bestScore = pool, s
		case second == nil || s.compare(secondScore) < 0:
			second, secondScore = pool, s
		}
	}
	if best == nil {
		p.holdRoom(r)
		return Placement{Group: r.Group, Reason: waiting}
	}
	reason := Reason{Cause: OnlyDomain, Free: len(best.hosts), Need: r.Hosts, Loaded: r.Hosts - bestScore.unloaded}
	if second != nil {
		reason.Cause = bestScore.cause(secondScore)
	}
	return Placement{Group: r.Group, Domain: best.Name, Hosts: p.assignHosts(r, best), Reason: reason}
}

func allowed(r Request, d Domain) bool {
	if r.Domain != "" {
		return r.Domain == d.Name
	}
	return r.DataCentre == "" || r.DataCentre == d.DataCentre
}

// rejectCause returns why a request cannot have hosts of the domain, or "".
func (pool *domainPool) rejectCause(r Request) Cause {
	free := len(pool.hosts)
	switch {
	case free < r.Hosts:
		return NoRoom
	case free-pool.held < r.Hosts:
		return RoomHeld
	case r.LastDomain != "" && r.LastDomain != pool.Name && free-r.Hosts < pool.reserved:
		return SparesKept
	default:
		return ""
	}
}

// closerCause returns the cause of waiting that is closer to a placement.
func closerCause(a, b Cause) Cause {
	rank := []Cause{NoDomain, NoRoom, RoomHeld, SparesKept}
	if slices.Index(rank, b) > slices.Index(rank, a) {
		return b
	}
	return a
}

func (p *placer) score(r Request, pool *domainPool) score {
	free := len(pool.hosts)
	remaining := free - r.Hosts
	s := score{
		missingSpares: max(0, preferredSpares-remaining),
		unloaded:      r.Hosts - min(r.Hosts, pool.loaded[r.Weights]),
		remaining:     remaining,
	}
	for _, size := range p.sizes {
		if size > r.Hosts {
			s.lostRoom += size * (free/size - (free-r.Hosts)/size)
		}
	}
	return s
}

// holdRoom holds the free hosts of one domain for a request that does not fit yet: the allowed
// domain with the most free hosts in which the returning hosts would complete the group.
func (p *placer) holdRoom(r Request) {
	var best *domainPool
	for _, pool := range p.pools {
		free := len(pool.hosts)
		fits := free < r.Hosts && free+pool.Returning >= r.Hosts
		if !fits || !allowed(r, pool.Domain) || pool.held > 0 {
			continue
		}
		if best == nil || free > len(best.hosts) {
			best = pool
		}
	}
	if best != nil {
		best.held = r.Hosts
	}
}

// assignHosts removes the hosts of a request from a domain and returns their names. Hosts with the
// weights come first, then hosts with the fewest weights that other requests need.
func (p *placer) assignHosts(r Request, pool *domainPool) []string {
	rank := func(h Host) int {
		n := 0
		for _, w := range h.Loaded {
			if w == r.Weights {
				return -1
			}
			n += min(1, p.requestedWeights[w])
		}
		return n
	}
	slices.SortStableFunc(pool.hosts, func(a, b Host) int { return cmp.Compare(rank(a), rank(b)) })
	names := make([]string, r.Hosts)
	for i, h := range pool.hosts[:r.Hosts] {
		names[i] = h.Name
		for _, w := range h.Loaded {
			pool.loaded[w]--
		}
	}
	pool.hosts = slices.Clone(pool.hosts[r.Hosts:])
	slices.SortFunc(pool.hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return names
}
