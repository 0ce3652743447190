package budget

import (
	"maps"
	"slices"
	"time"
)

// maxReplacedInstances is the maximum number of replaced instances that an owner remembers.
const maxReplacedInstances = 16

// Owner manages the limit of one backend server. It lives as long as its process, across all tenures, because
// its grants may outlive a tenure. It is not safe for concurrent use.
type Owner struct {
	cfg    Config
	limits Limits

	owning      bool
	tenure      Tenure
	tenureStart time.Time                // when the tenure started
	departed    map[string]departedOwner // earlier owners that have stopped, until a report covers their grants

	instance          string
	state             State
	startedInTenure   bool      // the instance started within the tenure
	unknownInstance   bool      // an answer named an instance that no report has named
	replacedInstances []string  // instances that have been replaced
	lastColdAt        time.Time // when an answer last reported a cold instance
	report            Report
	reportMadeAt      time.Time // earliest time at which the report may have been made
	reportInTenure    bool      // a report made within the tenure has been applied

	// active are the grants that may still be used, or whose use is not yet covered by a report.
	active map[Key]*grant
	// expired are the grants that can no longer be used. At most expiredRunning of their requests are running.
	expired        map[Key]*grant
	expiredRunning int
	activeLoad     Load

	// ceiling are the highest limits that an earlier owner may still apply. loweredAt is when a limit was last
	// lowered; it is zero if the ceiling equals the limits.
	ceiling   Limits
	loweredAt time.Time
	// settlingSince is when a limit or the state was last lowered. While it is set, this owner grants nothing
	// without a valid lease, because a later owner that learned of the change later may have granted up to the
	// higher limit. It is reset once a report shows that the running requests leave room for the reserve.
	settlingSince time.Time
	// settlingTokenLimit is set if a token limit was lowered, so that the tokens must leave room too.
	settlingTokenLimit bool

	earlierCovered bool // a report covers the grants of earlier owners
	inherited      int  // maximum number of their requests still running, besides their reserves
	inheritedAt    time.Time
}

// departedOwner is an earlier owner that has been confirmed to have stopped or has released its ownership.
type departedOwner struct {
	depth int
	at    time.Time
}

// NewOwner returns an owner without a tenure.
func NewOwner(cfg Config, limits Limits) *Owner {
	return &Owner{
		cfg: cfg, limits: limits, ceiling: limits, departed: make(map[string]departedOwner),
		active: make(map[Key]*grant), expired: make(map[Key]*grant),
	}
}

// SetLimits replaces the limits. Outstanding grants stay valid. Earlier owners may learn of the change later,
// so their reserves are computed from the higher limits until a report covers the grants that they issued under
// them.
func (o *Owner) SetLimits(now time.Time, l Limits) {
	if !o.limits.Cold.Fits(l.Cold) || !o.limits.Warm.Fits(l.Warm) {
		o.loweredAt, o.settlingSince = now, now
		o.settlingTokenLimit = o.settlingTokenLimit || l.Cold.Tokens < o.limits.Cold.Tokens || l.Warm.Tokens < o.limits.Warm.Tokens
	}
	if o.loweredAt.IsZero() {
		o.ceiling = l
	}
	o.ceiling = Limits{Cold: o.ceiling.Cold.Max(l.Cold), Warm: o.ceiling.Warm.Max(l.Warm)}
	o.limits = l
}

// StartTenure starts a tenure. The state of the previous tenure is kept if no other node owned the limit in between.
func (o *Owner) StartTenure(now time.Time, t Tenure) {
	continued := o.tenure.Fence != 0 && t.Continued && t.Previous == o.tenure.Fence
	o.owning = true
	if continued {
		o.setEarlierOwners(now, t.Earlier)
		o.tenure = t
		return
	}
	o.tenure = t
	o.tenureStart = now
	o.departed = make(map[string]departedOwner)
	o.startedInTenure, o.reportInTenure = false, false
	o.inherited, o.earlierCovered = 0, t.Clean && len(t.Earlier) == 0
	o.inheritedAt = now
}

// Update replaces the depth and the earlier owners of the current tenure.
func (o *Owner) Update(now time.Time, t Tenure) {
	o.setEarlierOwners(now, t.Earlier)
	o.tenure.Depth = t.Depth
}

// setEarlierOwners replaces the earlier owners. The reserve of an owner that is no longer listed still counts
// until a report covers the grants issued from it.
func (o *Owner) setEarlierOwners(now time.Time, earlier []EarlierOwner) {
	for _, e := range o.tenure.Earlier {
		if !slices.Contains(earlier, e) {
			o.departed[e.ID] = departedOwner{depth: e.Depth, at: now}
		}
	}
	o.tenure.Earlier = earlier
}

// EndTenure ends the tenure and stops granting. Outstanding grants are tracked until they end.
func (o *Owner) EndTenure() { o.owning = false }

// Owning reports whether the owner has a tenure.
func (o *Owner) Owning() bool { return o.owning }

// Fence returns the fencing number of the last tenure.
func (o *Owner) Fence() uint64 { return o.tenure.Fence }

// Idle reports whether no grant of this owner is in use. An earlier owner releases its ownership once it is
// idle.
func (o *Owner) Idle() bool { return len(o.active) == 0 && o.expiredBound() == 0 }

// Clean reports whether no grant of this owner or an earlier one is in use.
func (o *Owner) Clean() bool {
	return o.Idle() && o.earlierCovered && o.inherited == 0 && len(o.departed) == 0 && len(o.tenure.Earlier) == 0
}

// Instance returns the instance that grants are issued for, and its state.
func (o *Owner) Instance() (string, State) { return o.instance, o.state }

// Outstanding returns the load of this owner's own grants that counts against the limit.
func (o *Owner) Outstanding() Load {
	if o.expiredBound() == 0 {
		return o.activeLoad
	}
	return o.activeLoad.Plus(largestLoad(slices.Collect(maps.Values(o.expired)), o.expiredRunning))
}

// expiredBound returns the maximum number of requests that are still running on expired grants.
func (o *Owner) expiredBound() int { return min(o.expiredRunning, len(o.expired)) }

func (o *Owner) limit() Load {
	if o.state == Warm {
		return o.limits.Warm
	}
	return o.limits.Cold.Min(o.limits.Warm)
}

// highestLimit returns the highest limit that an earlier owner may still apply.
func (o *Owner) highestLimit() Load { return o.ceiling.Warm.Max(o.ceiling.Cold) }

// foreignSendTime returns how long after a takeover or departure a request may still be sent on another owner's
// grant.
func (o *Owner) foreignSendTime() time.Duration {
	if o.state == Warm {
		return o.cfg.TTL + o.cfg.WarmSlack
	}
	return o.cfg.TTL + o.cfg.MaxSendDelay
}

// foreignLoad returns an upper bound on the load that runs on other owners' grants, now and later.
//
// Earlier owner i runs at most the maximum of reserve i and the load it had outstanding when its lease expired,
// because it grants from its reserve only while all its outstanding load is below the reserve. The inherited
// count bounds the sum of these outstanding loads. In the worst case, all of it belongs to the owner with the
// smallest reserve.
func (o *Owner) foreignLoad(now time.Time) Load {
	limit := o.limit()
	inherited := o.inheritedLoad(now, limit)
	depths := make([]int, 0, len(o.tenure.Earlier)+len(o.departed))
	for _, e := range o.tenure.Earlier {
		depths = append(depths, e.Depth)
	}
	for _, d := range o.departed {
		depths = append(depths, d.depth)
	}
	if len(depths) == 0 {
		return inherited
	}
	if !o.loweredAt.IsZero() {
		limit = o.highestLimit()
	}
	var sum Load
	for _, d := range depths {
		sum = sum.Plus(Reserve(limit, d))
	}
	smallestReserve := Reserve(limit, slices.Max(depths))
	return sum.Plus(inherited.Minus(smallestReserve))
}

// inheritedLoad returns the load that earlier owners had outstanding when their leases expired. Its tokens are
// unknown, so each request counts as MaxTokens, up to the limit in total.
func (o *Owner) inheritedLoad(now time.Time, limit Load) Load {
	n := o.inherited
	if o.state == Warm && now.Sub(o.inheritedAt) > o.cfg.MaxRun+o.cfg.TTL+o.cfg.MaxSendDelay {
		n = 0
	}
	if n == 0 {
		return Load{}
	}
	return Load{Requests: n, Tokens: min(limit.Tokens, n*o.cfg.MaxTokens)}
}

// Available returns the load that may be granted in addition to the outstanding load. valid is whether the
// lease is valid.
func (o *Owner) Available(now time.Time, valid bool) Load {
	limit := o.limit()
	pool := limit.Minus(o.foreignLoad(now))
	if !valid {
		pool = pool.Min(Reserve(limit, o.tenure.Depth))
	}
	if !valid && !o.settlingSince.IsZero() {
		// A later owner may have more outstanding than the lowered limit leaves beside the reserve.
		pool = Load{}
	}
	return pool.Minus(o.Outstanding())
}

// Ready returns Granted if grants may be issued as far as the limit allows, and otherwise the reason why not.
func (o *Owner) Ready(now time.Time) Status {
	switch {
	case !o.owning:
		return NotOwner
	case o.instance == "" || !o.reportInTenure || o.unknownInstance || !o.report.GroupComplete || now.Sub(o.reportMadeAt) > o.cfg.ReportAge:
		return Closed
	case !o.earlierCovered:
		return Waiting
	default:
		return Granted
	}
}

// Ask answers an ask. A duplicate of an ask gets the same grant.
func (o *Owner) Ask(now time.Time, valid bool, a Ask) Reply {
	rep := Reply{Key: a.Key, Status: o.Ready(now), Fence: o.tenure.Fence}
	if rep.Status != Granted {
		return rep
	}
	if _, duplicate := o.active[a.Key]; !duplicate {
		need := Load{Requests: 1, Tokens: a.Tokens}
		if _, late := o.expired[a.Key]; late || !need.Fits(o.Available(now, valid)) {
			rep.Status = Busy
			return rep
		}
		o.active[a.Key] = &grant{key: a.Key, tokens: a.Tokens, grantedAt: now}
		o.activeLoad = o.activeLoad.Plus(need)
	}
	rep.Instance, rep.TTL = o.instance, o.cfg.TTL
	return rep
}

// Release ends a grant. Releases of grants that are unknown, already ended, or of another instance have no
// effect on the grants.
func (o *Owner) Release(now time.Time, r Release) {
	o.applyAnswer(now, r.Instance, r.State)
	if g, ok := o.active[r.Key]; ok {
		if r.End == EndUnknown {
			g.unsure = true
			return
		}
		o.removeActive(g)
		return
	}
	if r.End != EndUnknown {
		// expiredRunning is capped but not decremented: the grant may have ended before the report that set it.
		delete(o.expired, r.Key)
		o.expiredRunning = o.expiredBound()
	}
}

func (o *Owner) removeActive(g *grant) {
	delete(o.active, g.key)
	o.activeLoad = o.activeLoad.Minus(Load{Requests: 1, Tokens: g.tokens})
}

// applyAnswer applies what an engine reported in an answer. The answer may be old, so it can only restrict the
// owner: it may lower the limit, and it stops grants if it names an unknown instance.
func (o *Owner) applyAnswer(now time.Time, instance string, s State) {
	if instance == "" || slices.Contains(o.replacedInstances, instance) {
		return
	}
	if instance != o.instance {
		o.unknownInstance = o.instance != ""
		return
	}
	if s == Cold {
		o.lastColdAt = now
		o.setState(now, Cold)
	}
}

// setState sets the state. A change from warm to cold or unknown lowers the limit, and earlier owners may learn
// of it later than this one.
func (o *Owner) setState(now time.Time, s State) {
	if o.state == Warm && s != Warm {
		o.loweredAt, o.settlingSince = now, now
		o.settlingTokenLimit = o.settlingTokenLimit || o.limits.Cold.Tokens < o.limits.Warm.Tokens
	}
	o.state = s
}

// Report applies a load report that was requested at sent and received at now.
func (o *Owner) Report(sent, now time.Time, r Report) {
	madeAt := sent.Add(-r.Age)
	if slices.Contains(o.replacedInstances, r.Instance) {
		return
	}
	if r.Instance != o.instance {
		o.replaceInstance(madeAt, r.Instance)
	}
	o.report, o.reportMadeAt, o.unknownInstance = r, madeAt, false
	o.reportInTenure = o.reportInTenure || madeAt.After(o.tenureStart)
	if r.State == Cold || madeAt.After(o.lastColdAt) {
		o.setState(now, r.State)
	}
	o.coverGrants(now, madeAt, r.Running)
	o.endSettling(madeAt, r.Running)
}

// endSettling allows grants from the reserve again after a limit or state was lowered. Once every grant issued
// under the higher limit has been sent, and all running requests fit beside the reserve, a later owner adds
// only what its own limit leaves.
func (o *Owner) endSettling(madeAt time.Time, running int) {
	if o.settlingSince.IsZero() || !madeAt.After(o.settlingSince.Add(o.cfg.PropagationTime+o.foreignSendTime())) {
		return
	}
	held := Load{Requests: running}
	if o.settlingTokenLimit {
		held.Tokens = running * o.cfg.MaxTokens
	}
	if held.Fits(o.limit().Minus(Reserve(o.limit(), o.tenure.Depth))) {
		o.settlingSince, o.settlingTokenLimit = time.Time{}, false
	}
}

// replaceInstance resets the accounting for a new instance. Grants for the old instance cannot reach the new
// one, because a holder sends only on a connection whose hello message named the grant's instance.
func (o *Owner) replaceInstance(madeAt time.Time, instance string) {
	if o.instance != "" {
		o.replacedInstances = append(o.replacedInstances, o.instance)
		o.replacedInstances = o.replacedInstances[max(0, len(o.replacedInstances)-maxReplacedInstances):]
	}
	// If the old instance was seen within the tenure, the new one started within it, and earlier owners have
	// only their reserves for it.
	o.startedInTenure = o.reportInTenure && o.instance != ""
	o.instance, o.state, o.lastColdAt = instance, Unknown, time.Time{}
	o.active, o.expired = make(map[Key]*grant), make(map[Key]*grant)
	o.expiredRunning, o.activeLoad = 0, Load{}
	o.inherited = 0
	o.earlierCovered = o.earlierCovered || o.startedInTenure
	o.reportMadeAt = madeAt
}

// coverGrants applies a report to all grants that can no longer be used to send a request.
func (o *Owner) coverGrants(now, madeAt time.Time, running int) {
	o.expiredRunning = o.expiredBound()
	for _, g := range o.active {
		if madeAt.After(g.grantedAt.Add(o.cfg.TTL + o.cfg.MaxSendDelay)) {
			o.removeActive(g)
			o.expired[g.key] = g
			o.expiredRunning++
		}
	}
	o.expiredRunning = min(o.expiredRunning, running)
	if o.expiredRunning == 0 {
		clear(o.expired)
	}
	if o.state == Warm {
		maps.DeleteFunc(o.expired, func(_ Key, g *grant) bool {
			return now.Sub(g.grantedAt) > o.cfg.MaxRun+o.cfg.TTL+o.cfg.MaxSendDelay
		})
	}
	o.coverForeignGrants(now, madeAt, running)
}

// coverForeignGrants applies a report to the grants of other owners. Once a report was made after the last time
// at which such a grant could be used, the number of running requests limits how many of them are in use.
func (o *Owner) coverForeignGrants(now, madeAt time.Time, running int) {
	sendTime := o.foreignSendTime()
	if !o.earlierCovered && madeAt.After(o.tenureStart.Add(sendTime)) {
		o.earlierCovered, o.inherited, o.inheritedAt = true, running, now
	}
	for id, d := range o.departed {
		if o.earlierCovered && madeAt.After(d.at.Add(sendTime)) {
			o.inherited += Reserve(o.highestLimit(), d.depth).Requests
			o.inheritedAt = now
			delete(o.departed, id)
		}
	}
	if !o.loweredAt.IsZero() && o.earlierCovered && madeAt.After(o.loweredAt.Add(o.cfg.PropagationTime+sendTime)) {
		for _, e := range o.tenure.Earlier {
			o.inherited += Reserve(o.highestLimit(), e.Depth).Requests
		}
		o.ceiling, o.loweredAt, o.inheritedAt = o.limits, time.Time{}, now
	}
	o.inherited = min(o.inherited, running)
}
