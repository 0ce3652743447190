// Package form is a pure decider that places groups without pinned hosts on free hosts. A group lies
// within one fabric domain. Requests are served in the order of what callers lack most; each takes
// a domain that keeps spares, then the one that loses the fewest places for larger groups, then the
// one with the most hosts that have the weights loaded, then the tightest fit.
package form

import (
	"cmp"
	"slices"
)

// Weights name what a host has loaded.
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
	// Returning counts lost hosts that are expected back soon. Room for a larger group is held only
	// where they would complete it.
	Returning int
}

// Request is a group that needs hosts.
type Request struct {
	Group   string
	Weights Weights
	// Hosts is how many hosts the group needs, 1 to 32.
	Hosts int
	// Domain or DataCentre binds the group; both empty allow every domain.
	Domain     string
	DataCentre string
	// Home is the domain that the group last ran in. Elsewhere it may take only a bounded share of
	// the spares. Empty for a group that has not run yet.
	Home string
	// Lack is how much callers lack the group; larger is more urgent.
	Lack float64
}

// Cause says why a domain was chosen, or why a group waits.
type Cause string

// Causes of a choice, then causes of waiting.
const (
	OnlyDomain    Cause = "only_domain_with_room"
	KeepsSpares   Cause = "keeps_spares"
	KeepsRoom     Cause = "keeps_room_for_larger_groups"
	WeightsLoaded Cause = "weights_loaded"
	TightestFit   Cause = "tightest_fit"

	NoDomain      Cause = "no_domain_allowed"
	NoRoom        Cause = "no_domain_has_enough_hosts"
	HeldForLarger Cause = "room_held_for_a_more_lacking_group"
	SparesKept    Cause = "spares_kept_for_their_own_domain"
)

// Reason explains a choice or a wait.
type Reason struct {
	Cause Cause
	// Free is the number of free hosts in the chosen domain, or the most in any allowed domain.
	Free int
	// Need is the number of hosts of the group.
	Need int
	// Loaded is how many of the chosen hosts have the weights.
	Loaded int
}

// Choice gives hosts to a group, or says why it waits.
type Choice struct {
	Group string
	// Domain is empty when the group waits.
	Domain string
	// Hosts are the members, leader first.
	Hosts  []string
	Reason Reason
}

// Placed reports whether the group got hosts.
func (c Choice) Placed() bool { return c.Domain != "" }

// Input is everything that a pass looks at.
type Input struct {
	Domains  []Domain
	Hosts    []Host
	Requests []Request
	// Sizes are the group sizes for which room is kept beside those of the requests.
	Sizes []int
}

// keptSpares is how many free hosts a placement leaves in a domain where another has more. Two spares
// cover the loss of two hosts before a rebuild.
const keptSpares = 2

// lastSpares is how many free hosts groups from other domains leave in a domain that has at least
// twice as many. Leaving two kept groups of a dark domain down beside idle hosts for longer than lost
// hosts of other domains would have needed them.
const lastSpares = 1

// Order compares requests: most lacking first, then larger, then by name. Larger ones come first because
// they fit in fewer places.
func Order(a, b Request) int {
	return cmp.Or(cmp.Compare(b.Lack, a.Lack), cmp.Compare(b.Hosts, a.Hosts), cmp.Compare(a.Group, b.Group))
}

// Place returns one choice for each request, in the order in which they were served.
func Place(in Input) []Choice {
	p := newPass(in)
	requests := slices.Clone(in.Requests)
	slices.SortFunc(requests, Order)
	out := make([]Choice, 0, len(requests))
	for _, r := range requests {
		out = append(out, p.serve(r))
	}
	return out
}

// pool is the free hosts of one domain during a pass.
type pool struct {
	Domain
	hosts  []Host
	loaded map[Weights]int
	// floor is how many hosts groups from other domains leave.
	floor int
	// held is how many hosts are kept for a waiting larger group.
	held int
}

type pass struct {
	pools  []*pool
	byName map[string]*pool
	sizes  []int
	wanted map[Weights]int
}

func newPass(in Input) *pass {
	p := &pass{
		byName: make(map[string]*pool, len(in.Domains)),
		wanted: make(map[Weights]int, len(in.Requests)),
	}
	for _, d := range in.Domains {
		pl := &pool{Domain: d, loaded: make(map[Weights]int)}
		p.pools = append(p.pools, pl)
		p.byName[d.Name] = pl
	}
	slices.SortFunc(p.pools, func(a, b *pool) int { return cmp.Compare(a.Name, b.Name) })
	for _, h := range in.Hosts {
		pl, ok := p.byName[h.Domain]
		if !ok {
			continue
		}
		pl.hosts = append(pl.hosts, h)
		for _, w := range h.Loaded {
			pl.loaded[w]++
		}
	}
	for _, pl := range p.pools {
		slices.SortFunc(pl.hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
		pl.floor = min(lastSpares, len(pl.hosts)/2)
	}
	p.sizes = slices.Clone(in.Sizes)
	for _, r := range in.Requests {
		p.sizes = append(p.sizes, r.Hosts)
		p.wanted[r.Weights]++
	}
	slices.Sort(p.sizes)
	p.sizes = slices.Compact(p.sizes)
	return p
}

// score orders the domains for a request; smaller is better, field by field.
type score struct {
	// spareShort is how many spares the domain then lacks. It comes first because a group in a domain
	// without a spare is down until a lost host returns.
	spareShort int
	roomLost   int
	unloaded   int
	left       int
}

func (s score) compare(o score) int {
	return cmp.Or(cmp.Compare(s.spareShort, o.spareShort), cmp.Compare(s.roomLost, o.roomLost), cmp.Compare(s.unloaded, o.unloaded), cmp.Compare(s.left, o.left))
}

// cause names the first field in which the best score beats the second.
func (s score) cause(second score) Cause {
	switch {
	case s.spareShort != second.spareShort:
		return KeepsSpares
	case s.roomLost != second.roomLost:
		return KeepsRoom
	case s.unloaded != second.unloaded:
		return WeightsLoaded
	default:
		return TightestFit
	}
}

// serve gives hosts to one request, or notes why it waits and holds room for it.
func (p *pass) serve(r Request) Choice {
	var best, second *pool
	var bestScore, secondScore score
	waiting := Reason{Cause: NoDomain, Need: r.Hosts}
	for _, pl := range p.pools {
		if !allows(r, pl.Domain) {
			continue
		}
		waiting.Free = max(waiting.Free, len(pl.hosts))
		if c := pl.refuses(r); c != "" {
			waiting.Cause = later(waiting.Cause, c)
			continue
		}
		s := p.score(r, pl)
		switch {
		case best == nil || s.compare(bestScore) < 0:
			second, secondScore = best, bestScore
			best, bestScore = pl, s
		case second == nil || s.compare(secondScore) < 0:
			second, secondScore = pl, s
		}
	}
	if best == nil {
		p.hold(r)
		return Choice{Group: r.Group, Reason: waiting}
	}
	reason := Reason{Cause: OnlyDomain, Free: len(best.hosts), Need: r.Hosts, Loaded: r.Hosts - bestScore.unloaded}
	if second != nil {
		reason.Cause = bestScore.cause(secondScore)
	}
	return Choice{Group: r.Group, Domain: best.Name, Hosts: p.take(r, best), Reason: reason}
}

func allows(r Request, d Domain) bool {
	if r.Domain != "" {
		return r.Domain == d.Name
	}
	return r.DataCentre == "" || r.DataCentre == d.DataCentre
}

// refuses returns why a request gets no hosts of the domain, or "".
func (pl *pool) refuses(r Request) Cause {
	free := len(pl.hosts)
	switch {
	case free < r.Hosts:
		return NoRoom
	case free-pl.held < r.Hosts:
		return HeldForLarger
	case r.Home != "" && r.Home != pl.Name && free-r.Hosts < pl.floor:
		return SparesKept
	default:
		return ""
	}
}

// later returns the cause of waiting that came closest to a placement.
func later(a, b Cause) Cause {
	rank := []Cause{NoDomain, NoRoom, HeldForLarger, SparesKept}
	if slices.Index(rank, b) > slices.Index(rank, a) {
		return b
	}
	return a
}

func (p *pass) score(r Request, pl *pool) score {
	free := len(pl.hosts)
	left := free - r.Hosts
	s := score{
		spareShort: max(0, keptSpares-left),
		unloaded:   r.Hosts - min(r.Hosts, pl.loaded[r.Weights]),
		left:       left,
	}
	for _, size := range p.sizes {
		if size > r.Hosts {
			s.roomLost += size * (free/size - (free-r.Hosts)/size)
		}
	}
	return s
}

// hold keeps the free hosts of one domain for a request that does not fit yet: the allowed domain
// with the most free hosts among those that returning hosts would complete.
func (p *pass) hold(r Request) {
	var best *pool
	for _, pl := range p.pools {
		free := len(pl.hosts)
		fits := free < r.Hosts && free+pl.Returning >= r.Hosts
		if !fits || !allows(r, pl.Domain) || pl.held > 0 {
			continue
		}
		if best == nil || free > len(best.hosts) {
			best = pl
		}
	}
	if best != nil {
		best.held = r.Hosts
	}
}

// take removes the hosts of a request from the domain: first those that have the weights, then those
// that have the fewest weights that other requests want.
func (p *pass) take(r Request, pl *pool) []string {
	rank := func(h Host) int {
		n := 0
		for _, w := range h.Loaded {
			if w == r.Weights {
				return -1
			}
			n += min(1, p.wanted[w])
		}
		return n
	}
	slices.SortStableFunc(pl.hosts, func(a, b Host) int { return cmp.Compare(rank(a), rank(b)) })
	names := make([]string, r.Hosts)
	for i, h := range pl.hosts[:r.Hosts] {
		names[i] = h.Name
		for _, w := range h.Loaded {
			pl.loaded[w]--
		}
	}
	pl.hosts = slices.Clone(pl.hosts[r.Hosts:])
	slices.SortFunc(pl.hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return names
}
