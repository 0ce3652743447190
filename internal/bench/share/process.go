package share

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"geraniumhollow/internal/fleet/lease"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/route/budget"
)

// The duties of a world. Only the first has a backend server; the second exercises leases that are
// lost through another duty.
const (
	duty      = "s"
	otherDuty = "t"
)

// host is a machine with one process at a time and a clock of its own.
type host struct {
	w           *world
	index       int
	starts      int
	rate        float64
	offset      time.Duration
	pausedUntil time.Duration
	downSince   time.Duration
	proc        *process
	version     int // of the limits; it only goes up
}

func (h *host) name() string { return fmt.Sprintf("n%d", h.index) }

func (h *host) clock() time.Time {
	return time.Unix(0, 0).Add(h.offset + time.Duration(float64(h.w.now)*h.rate))
}

func (h *host) boot() {
	if h.proc != nil {
		return
	}
	h.starts++
	h.version = len(h.w.limits) - 1
	inc := fmt.Sprintf("%s-%d", h.name(), h.starts)
	h.proc = &process{
		w: h.w, host: h, inc: inc,
		dec:     lease.New(lease.DefaultConfig(h.name(), inc, []string{duty, otherDuty})),
		own:     budget.NewOwner(budget.DefaultConfig(maxRun, reqTokens), h.w.limits[h.version].limits),
		hold:    budget.NewHolder(inc, budget.DefaultTTL),
		unacked: make(map[uint64]*budget.PendingRelease),
	}
	h.proc.tick()
	h.proc.later(h.w.dur(tick), h.proc.ask)
}

func (h *host) kill() {
	if h.proc == nil {
		return
	}
	h.proc.ended = true
	h.w.eng.orphan(h.proc)
	h.proc, h.pausedUntil, h.downSince = nil, 0, h.w.now
}

// configure puts a version of the limits in force, unless a newer one is.
func (h *host) configure(version int) {
	if version <= h.version {
		return
	}
	h.version = version
	if h.proc != nil {
		h.proc.own.SetLimits(h.clock(), h.w.limits[version].limits)
	}
}

// process is one run of a node.
type process struct {
	w       *world
	host    *host
	inc     string
	ended   bool
	dec     *lease.Decider
	own     *budget.Owner
	hold    *budget.Holder
	busy    bool
	listAt  time.Duration
	unacked map[uint64]*budget.PendingRelease
}

// later runs f in the process after a delay, or when it wakes, unless the process has ended.
func (p *process) later(delay time.Duration, f func()) {
	p.w.at(delay, func() {
		switch {
		case p.ended:
		case p.w.now < p.host.pausedUntil:
			p.later(p.host.pausedUntil-p.w.now+p.w.dur(time.Millisecond), f)
		default:
			f()
		}
	})
}

func (p *process) tick() {
	p.later(tick-p.w.dur(tick/5), p.tick)
	p.readList()
	p.next()
	p.sync()
	p.poll()
	for _, r := range p.hold.Expire(p.host.clock()) {
		p.release(r)
	}
	for _, id := range slices.Sorted(maps.Keys(p.unacked)) {
		p.deliver(p.unacked[id])
	}
	if d, ok := p.dec.DueToMove(p.host.clock(), ""); ok {
		if d == duty {
			p.own.EndTenure()
		}
		p.dec.ReleaseDuty(d, d != duty || p.own.Clean())
	}
}

// readList reads the platform's list, which keeps a dead host for a while.
func (p *process) readList() {
	if p.w.now-p.listAt < 5*time.Second || p.tableCut() {
		return
	}
	p.listAt = p.w.now
	var names []string
	for _, h := range p.w.nodes {
		if h.proc != nil || p.w.now-h.downSince < listLag {
			names = append(names, h.name())
		}
	}
	p.dec.SetHosts(p.host.clock(), names)
}

func (p *process) tableCut() bool {
	return p.w.during(func(f Fault) bool {
		return f.Kind == TableDown || f.Kind == CutTable && f.Node == p.host.index
	})
}

// next starts the next operation on the table.
func (p *process) next() {
	if p.busy {
		return
	}
	op, ok := p.dec.Next(p.host.clock())
	if !ok {
		return
	}
	p.busy = true
	answered := false
	answer := func(res lease.Result) {
		if answered {
			return
		}
		answered, p.busy = true, false
		p.dec.Done(p.host.clock(), op, res)
		p.sync()
		p.next()
	}
	if p.tableCut() {
		p.later(p.w.dur(time.Second), func() { answer(lease.Result{Err: table.ErrUnavailable}) })
		return
	}
	p.later(callLimit, func() { answer(lease.Result{Err: table.ErrUnknown}) })
	lossy := p.w.during(func(f Fault) bool { return f.Kind == TableLossy })
	delay := p.w.dur(hop)
	if lossy && p.w.chance(300) {
		delay = p.w.dur(lateWrite)
	}
	p.w.at(delay, func() {
		res := p.call(op)
		if lossy && p.w.chance(300) {
			return
		}
		p.later(p.w.dur(hop), func() { answer(res) })
	})
}

func (p *process) call(op lease.Op) lease.Result {
	ctx := context.Background()
	if op.Kind != lease.ReadAll {
		rev, err := p.w.st.Commit(ctx, op.Txn)
		return lease.Result{Revision: rev, Err: err}
	}
	leases, err := p.w.st.Scan(ctx, lease.NodePrefix, "", 100)
	if err != nil {
		return lease.Result{Err: err}
	}
	duties, err := p.w.st.Scan(ctx, lease.DutyPrefix, "", 100)
	return lease.Result{Leases: leases, Duties: duties, Err: err}
}

// sync brings the owner in line with the lease.
func (p *process) sync() {
	now := p.host.clock()
	for _, t := range p.dec.Tenures() {
		if t.Duty != duty {
			if t.Lost {
				p.dec.ConfirmUnused(t.Duty)
			}
			continue
		}
		if t.Lost {
			p.own.EndTenure()
			if p.own.Idle() {
				p.dec.ConfirmUnused(duty)
			}
			return
		}
		bt := budget.Tenure{Fence: t.Fence, Depth: t.Depth, Continued: t.Continued, Previous: t.Previous, Clean: t.Clean}
		for _, e := range t.Earlier {
			bt.Earlier = append(bt.Earlier, budget.EarlierOwner{ID: e.Incarnation, Depth: e.Depth})
		}
		if p.own.Fence() != t.Fence {
			p.own.StartTenure(now, bt)
		} else {
			p.own.Update(now, bt)
		}
		return
	}
	p.own.EndTenure()
}

func (p *process) poll() {
	if !p.own.Owning() && p.own.Idle() {
		return
	}
	sent := p.host.clock()
	if p.w.eng.cut(CutSend, p.host.index) {
		return
	}
	p.w.at(p.w.dur(hop), func() {
		r := p.w.eng.report()
		if p.w.eng.cut(CutAnswer, p.host.index) {
			return
		}
		// Polls do not overlap: one whose answer takes longer than a tick is dropped.
		p.later(p.w.dur(hop), func() {
			if now := p.host.clock(); now.Sub(sent) < tick/2 {
				p.own.Report(sent, now, r)
			}
		})
	})
}

// ask asks the owner for a grant and starts the next ask.
func (p *process) ask() {
	p.later(50*time.Millisecond+p.w.dur(500*time.Millisecond), p.ask)
	owner := slices.IndexFunc(p.w.nodes, func(h *host) bool { return h.name() == p.dec.Holder(duty) })
	if owner < 0 || p.w.chance(50) {
		owner = p.w.rng.IntN(len(p.w.nodes))
	}
	tokens := 1 + p.w.rng.IntN(reqTokens)
	a := p.hold.Ask(p.host.clock(), p.w.nodes[owner].name(), duty, tokens)
	from := p.host.index
	p.w.send(from, owner, func(q *process) {
		rep := q.answer(a)
		p.w.send(owner, from, func(back *process) {
			if back == p {
				p.reply(owner, rep, tokens)
			}
		})
	})
}

// answer is the owner's side of an ask.
func (p *process) answer(a budget.Ask) budget.Reply {
	rep := p.own.Ask(p.host.clock(), p.dec.Holds(p.host.clock(), duty, p.own.Fence()), a)
	if rep.Status != budget.Granted {
		return rep
	}
	if _, again := p.w.given[a.Key]; !again {
		p.w.res.Grants++
		_, state := p.own.Instance()
		p.w.given[a.Key] = givenGrant{
			at: p.w.now, asWarm: state == budget.Warm, wasWarm: p.w.eng.warm, owner: p.inc,
		}
		if p.w.now > p.w.quiet && p.w.res.Dark < 0 {
			p.w.res.Dark = p.w.now - p.w.quiet
			p.w.at(30*time.Second, func() { p.w.done = true })
		}
	}
	return rep
}

// reply takes the owner's answer and sends the request.
func (p *process) reply(owner int, rep budget.Reply, tokens int) {
	ok, back := p.hold.Reply(p.host.clock(), p.w.nodes[owner].name(), duty, rep)
	if back != nil {
		p.release(back)
	}
	if !ok {
		return
	}
	// The time until the connection is ready: most are ready at once.
	wait := p.w.dur(hop)
	if p.w.chance(50) {
		wait = p.w.dur(3 * time.Second)
	}
	p.later(wait, func() { p.use(rep, tokens) })
}

func (p *process) use(rep budget.Reply, tokens int) {
	if !p.hold.Use(p.host.clock(), rep.Key.ID, p.w.eng.instance()) {
		if r := p.hold.End(p.host.clock(), rep.Key.ID, budget.Release{End: budget.EndNotStarted}); r != nil {
			p.release(r)
		}
		return
	}
	r := &request{key: rep.Key, tokens: tokens, from: p, checked: p.w.now, given: p.w.given[rep.Key]}
	gap := p.w.dur(time.Millisecond)
	switch {
	case p.w.chance(2):
		gap = p.w.dur(2 * budget.DefaultMaxSendDelay)
	case p.w.chance(p.w.plan.Slow):
		gap = p.w.dur(budget.DefaultMaxSendDelay / 2)
	}
	p.later(gap, func() { p.write(r, rep.Instance) })
	p.later(maxRun+gap+time.Second, func() { p.finish(r, budget.Release{End: budget.EndUnknown}) })
}

// write puts a request on the wire. Packets that a partition holds up may arrive when it ends.
func (p *process) write(r *request, instance string) {
	delay := p.w.dur(hop)
	if p.w.eng.cut(CutSend, p.host.index) {
		delay = p.w.dur(lateSend)
		if p.w.chance(500) {
			return
		}
	}
	p.w.at(delay, func() { p.w.eng.arrive(r, instance) })
}

// finish ends a grant once.
func (p *process) finish(r *request, rel budget.Release) {
	if back := p.hold.End(p.host.clock(), r.key.ID, rel); back != nil {
		p.release(back)
	}
}

func (p *process) release(r *budget.PendingRelease) {
	p.unacked[r.Release.Key.ID] = r
	p.deliver(r)
}

// deliver sends a release to the owner that gave the grant. It is sent again until it is acknowledged.
func (p *process) deliver(r *budget.PendingRelease) {
	owner := slices.IndexFunc(p.w.nodes, func(h *host) bool { return h.name() == r.Owner })
	from := p.host.index
	p.w.send(from, owner, func(q *process) {
		q.own.Release(q.host.clock(), r.Release)
		p.w.send(owner, from, func(back *process) {
			if back == p && p.unacked[r.Release.Key.ID] == r {
				delete(p.unacked, r.Release.Key.ID)
			}
		})
	})
}
