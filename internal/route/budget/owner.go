package budget

import (
	"maps"
	"slices"
	"time"
)

// maxPast bounds the instances that an owner remembers as gone.
const maxPast = 16

// Owner decides about the budget of one backend server. It lives as long as its process, through
// all tenures, because its grants do. It is not safe for concurrent use.
type Owner struct {
	cfg    Config
	limits Limits

	owning  bool
	tenure  Tenure
	since   time.Time            // start of the tenure
	leaving map[string]departure // earlier owners that are gone, until a report covers their grants

	instance string
	state    State
	fresh    bool      // the instance started within the tenure
	suspect  bool      // an answer named an instance that no report has named
	past     []string  // instances that have been replaced
	coldAt   time.Time // when an answer last said that the instance is cold
	report   Report
	made     time.Time // earliest time at which the report can have been made
	tenured  bool      // a report of this tenure has been taken

	// recent are the grants that may still be used, or whose use no report covers.
	recent map[Key]*grant
	// old are the grants past their reclaim time. At most oldRunning of them are running.
	old        map[Key]*grant
	oldRunning int
	sumRecent  Load

	// ceiling are the highest limits that an earlier owner may still go by; lowered is when a limit
	// was last lowered, and zero when the ceiling is the limit itself.
	ceiling Limits
	lowered time.Time
	// settling is when a limit or the state was last lowered, until a report shows that what a later
	// owner gave before it learned of that leaves room for the reserve.
	settling       time.Time
	settlingTokens bool

	covered     bool // a report covers the grants of earlier owners
	inherited   int  // at most this many of their requests are running, besides their reserves
	inheritedAt time.Time
}

// departure is an earlier owner that has been confirmed gone or has left by consent.
type departure struct {
	depth int
	at    time.Time
}

// NewOwner returns an owner that owns nothing yet.
func NewOwner(cfg Config, limits Limits) *Owner {
	return &Owner{
		cfg: cfg, limits: limits, ceiling: limits, leaving: make(map[string]departure),
		recent: make(map[Key]*grant), old: make(map[Key]*grant),
	}
}

// SetLimits replaces the limits. Grants that are out stay out. Earlier owners may learn of it later,
// so their reserves are those of the higher limits until a report covers what they gave by them.
func (o *Owner) SetLimits(now time.Time, l Limits) {
	if !o.limits.Cold.Fits(l.Cold) || !o.limits.Warm.Fits(l.Warm) {
		o.lowered, o.settling = now, now
		o.settlingTokens = o.settlingTokens || l.Cold.Tokens < o.limits.Cold.Tokens || l.Warm.Tokens < o.limits.Warm.Tokens
	}
	if o.lowered.IsZero() {
		o.ceiling = l
	}
	o.ceiling = Limits{Cold: o.ceiling.Cold.Max(l.Cold), Warm: o.ceiling.Warm.Max(l.Warm)}
	o.limits = l
}

// Take starts a tenure.
func (o *Owner) Take(now time.Time, t Tenure) {
	again := o.tenure.Fence != 0 && t.Retaken && t.Fence == o.tenure.Fence+1
	o.owning = true
	if again {
		o.setEarlier(now, t.Earlier)
		o.tenure = t
		return
	}
	o.tenure = t
	o.since = now
	o.leaving = make(map[string]departure)
	o.fresh, o.tenured = false, false
	o.inherited, o.covered = 0, t.Clean && len(t.Earlier) == 0
	o.inheritedAt = now
}

// Update replaces the depth and the earlier owners of the running tenure.
func (o *Owner) Update(now time.Time, t Tenure) {
	o.setEarlier(now, t.Earlier)
	o.tenure.Depth = t.Depth
}

// setEarlier keeps the reserve of an owner that has left the list until a report covers the grants
// that it gave from it.
func (o *Owner) setEarlier(now time.Time, earlier []EarlierHolder) {
	for _, e := range o.tenure.Earlier {
		if !slices.Contains(earlier, e) {
			o.leaving[e.ID] = departure{depth: e.Depth, at: now}
		}
	}
	o.tenure.Earlier = earlier
}

// Lose ends the tenure: nothing more is granted. Grants that are out are kept until they end.
func (o *Owner) Lose() { o.owning = false }

// Owning reports whether a tenure runs.
func (o *Owner) Owning() bool { return o.owning }

// Fence returns the fencing number of the last tenure.
func (o *Owner) Fence() uint64 { return o.tenure.Fence }

// Idle reports whether no grant of this owner is in use. An earlier owner consents when it is.
func (o *Owner) Idle() bool { return len(o.recent) == 0 && o.oldBound() == 0 }

// Clean reports whether no grant of this or an earlier owner is in use.
func (o *Owner) Clean() bool {
	return o.Idle() && o.covered && o.inherited == 0 && len(o.leaving) == 0 && len(o.tenure.Earlier) == 0
}

// Instance returns the instance and the state that grants are given for.
func (o *Owner) Instance() (string, State) { return o.instance, o.state }

// Outstanding returns what this owner counts as its own.
func (o *Owner) Outstanding() Load {
	if o.oldBound() == 0 {
		return o.sumRecent
	}
	return o.sumRecent.Plus(largest(slices.Collect(maps.Values(o.old)), o.oldRunning))
}

func (o *Owner) oldBound() int { return min(o.oldRunning, len(o.old)) }

func (o *Owner) limit() Load {
	if o.state == Warm {
		return o.limits.Warm
	}
	return o.limits.Cold.Min(o.limits.Warm)
}

// highest returns the highest limit that an earlier owner may still go by.
func (o *Owner) highest() Load { return o.ceiling.Warm.Max(o.ceiling.Cold) }

// wait returns how long after a takeover or a departure a grant of another owner may still be sent.
func (o *Owner) wait() time.Duration {
	if o.state == Warm {
		return o.cfg.TTL + o.cfg.WarmSlack
	}
	return o.cfg.TTL + o.cfg.Hold
}

// foreign returns a bound on what runs of other owners' grants, now and later.
//
// Earlier owner i runs at most max(reserve i, what it had out at its lapse), because it grants from
// its reserve only while all that it has out is below it. The inherited count bounds the sum of
// what they had out, and the worst case puts all of it on the owner with the smallest reserve.
func (o *Owner) foreign(now time.Time) Load {
	limit := o.limit()
	inherited := o.inheritedLoad(now, limit)
	depths := make([]int, 0, len(o.tenure.Earlier)+len(o.leaving))
	for _, e := range o.tenure.Earlier {
		depths = append(depths, e.Depth)
	}
	for _, d := range o.leaving {
		depths = append(depths, d.depth)
	}
	if len(depths) == 0 {
		return inherited
	}
	if !o.lowered.IsZero() {
		limit = o.highest()
	}
	var sum Load
	for _, d := range depths {
		sum = sum.Plus(Reserve(limit, d))
	}
	least := Reserve(limit, slices.Max(depths))
	return sum.Plus(inherited.Minus(least))
}

// inheritedLoad returns the load that earlier owners had out at their lapse. Its tokens are unknown,
// so each request counts with the most that one may hold.
func (o *Owner) inheritedLoad(now time.Time, limit Load) Load {
	n := o.inherited
	if o.state == Warm && now.Sub(o.inheritedAt) > o.cfg.MaxRun+o.cfg.TTL+o.cfg.Hold {
		n = 0
	}
	if n == 0 {
		return Load{}
	}
	return Load{Requests: n, Tokens: min(limit.Tokens, n*o.cfg.MaxTokens)}
}

// Available returns what may be given out on top of what is out. valid says that the lease is valid.
func (o *Owner) Available(now time.Time, valid bool) Load {
	limit := o.limit()
	pool := limit.Minus(o.foreign(now))
	if !valid {
		pool = pool.Min(Reserve(limit, o.tenure.Depth))
	}
	if !valid && !o.settling.IsZero() {
		// A later owner may have more out than the lowered limit leaves beside the reserve.
		pool = Load{}
	}
	return pool.Minus(o.Outstanding())
}

// Ready returns Granted when grants may be given as far as the limit allows, or why not.
func (o *Owner) Ready(now time.Time) Status {
	switch {
	case !o.owning:
		return NotOwner
	case o.instance == "" || !o.tenured || o.suspect || !o.report.Open || now.Sub(o.made) > o.cfg.ReportAge:
		return Closed
	case !o.covered:
		return Waiting
	default:
		return Granted
	}
}

// Ask answers an ask. An ask that arrives twice gets the same grant.
func (o *Owner) Ask(now time.Time, valid bool, a Ask) Reply {
	rep := Reply{Key: a.Key, Status: o.Ready(now), Fence: o.tenure.Fence}
	if rep.Status != Granted {
		return rep
	}
	if _, again := o.recent[a.Key]; !again {
		need := Load{Requests: 1, Tokens: a.Tokens}
		if _, late := o.old[a.Key]; late || !need.Fits(o.Available(now, valid)) {
			rep.Status = Busy
			return rep
		}
		o.recent[a.Key] = &grant{key: a.Key, tokens: a.Tokens, given: now}
		o.sumRecent = o.sumRecent.Plus(need)
	}
	rep.Instance, rep.TTL = o.instance, o.cfg.TTL
	return rep
}

// Release ends a grant. One that is unknown, already ended, or of another instance changes nothing.
func (o *Owner) Release(now time.Time, r Release) {
	o.hear(now, r.Instance, r.State)
	if g, ok := o.recent[r.Key]; ok {
		if r.End == Unsure {
			g.unsure = true
			return
		}
		o.drop(g)
		return
	}
	if r.End != Unsure {
		// oldRunning stays: the grant may have ended before the report that set it.
		delete(o.old, r.Key)
		o.oldRunning = o.oldBound()
	}
}

func (o *Owner) drop(g *grant) {
	delete(o.recent, g.key)
	o.sumRecent = o.sumRecent.Minus(Load{Requests: 1, Tokens: g.tokens})
}

// hear takes what an engine answer said. Such an answer may be old, so it only makes the owner more
// careful: it may lower the limit, and it stops grants when it names an unknown instance.
func (o *Owner) hear(now time.Time, instance string, s State) {
	if instance == "" || slices.Contains(o.past, instance) {
		return
	}
	if instance != o.instance {
		o.suspect = o.instance != ""
		return
	}
	if s == Cold {
		o.coldAt = now
		o.setState(now, Cold)
	}
}

// setState takes a new state. A fall back to cold lowers the limit, and earlier owners may learn of
// it later than this one.
func (o *Owner) setState(now time.Time, s State) {
	if o.state == Warm && s != Warm {
		o.lowered, o.settling = now, now
		o.settlingTokens = o.settlingTokens || o.limits.Cold.Tokens < o.limits.Warm.Tokens
	}
	o.state = s
}

// Report takes a load report that was asked for at sent and received at now.
func (o *Owner) Report(sent, now time.Time, r Report) {
	made := sent.Add(-r.Age)
	if slices.Contains(o.past, r.Instance) {
		return
	}
	if r.Instance != o.instance {
		o.replace(made, r.Instance)
	}
	o.report, o.made, o.suspect = r, made, false
	o.tenured = o.tenured || made.After(o.since)
	if r.State == Cold || made.After(o.coldAt) {
		o.setState(now, r.State)
	}
	o.cover(now, made, r.Running)
	o.settle(made, r.Running)
}

// settle ends the pause of the reserve after a lowered limit or state. Once everything that was given
// by the higher limit has been sent, and all that runs fits beside the reserve, a later owner adds
// only what its own pool leaves.
func (o *Owner) settle(made time.Time, running int) {
	if o.settling.IsZero() || !made.After(o.settling.Add(o.cfg.Spread+o.wait())) {
		return
	}
	held := Load{Requests: running}
	if o.settlingTokens {
		held.Tokens = running * o.cfg.MaxTokens
	}
	if held.Fits(o.limit().Minus(Reserve(o.limit(), o.tenure.Depth))) {
		o.settling, o.settlingTokens = time.Time{}, false
	}
}

// replace starts the books of another instance. Grants for the old one can't reach the new one,
// because a holder sends only on a connection whose hello named the grant's instance.
func (o *Owner) replace(made time.Time, instance string) {
	if o.instance != "" {
		o.past = append(o.past, o.instance)
		o.past = o.past[max(0, len(o.past)-maxPast):]
	}
	// The old instance was seen within the tenure, so the new one started within it, and earlier
	// owners have only their reserves for it.
	o.fresh = o.tenured && o.instance != ""
	o.instance, o.state, o.coldAt = instance, Unknown, time.Time{}
	o.recent, o.old = make(map[Key]*grant), make(map[Key]*grant)
	o.oldRunning, o.sumRecent = 0, Load{}
	o.inherited = 0
	o.covered = o.covered || o.fresh
	o.made = made
}

// cover applies a report to everything that can't be sent any more.
func (o *Owner) cover(now, made time.Time, running int) {
	o.oldRunning = o.oldBound()
	for _, g := range o.recent {
		if made.After(g.given.Add(o.cfg.TTL + o.cfg.Hold)) {
			o.drop(g)
			o.old[g.key] = g
			o.oldRunning++
		}
	}
	o.oldRunning = min(o.oldRunning, running)
	if o.oldRunning == 0 {
		clear(o.old)
	}
	if o.state == Warm {
		maps.DeleteFunc(o.old, func(_ Key, g *grant) bool {
			return now.Sub(g.given) > o.cfg.MaxRun+o.cfg.TTL+o.cfg.Hold
		})
	}
	o.coverForeign(now, made, running)
}

func (o *Owner) coverForeign(now, made time.Time, running int) {
	wait := o.wait()
	if !o.covered && made.After(o.since.Add(wait)) {
		o.covered, o.inherited, o.inheritedAt = true, running, now
	}
	for id, d := range o.leaving {
		if o.covered && made.After(d.at.Add(wait)) {
			o.inherited += Reserve(o.highest(), d.depth).Requests
			o.inheritedAt = now
			delete(o.leaving, id)
		}
	}
	if !o.lowered.IsZero() && o.covered && made.After(o.lowered.Add(o.cfg.Spread+wait)) {
		for _, e := range o.tenure.Earlier {
			o.inherited += Reserve(o.highest(), e.Depth).Requests
		}
		o.ceiling, o.lowered, o.inheritedAt = o.limits, time.Time{}, now
	}
	o.inherited = min(o.inherited, running)
}
