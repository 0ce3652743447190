package usage_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/fleet/usage"
	"geraniumhollow/internal/plat/cloud"
	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
)

// Parameters of the simulated system.
const (
	window   = 5 * time.Second
	lateness = 10 * time.Second
	lease    = 3 * time.Second
	thaw     = 300 * time.Millisecond
	step     = 50 * time.Millisecond
)

// simStore is a table that can be down, lose answers, and go back to an older copy.
type simStore struct {
	rows     map[string]table.Row
	copy     map[string]table.Row
	copied   uint64
	era, ver uint64
	// err is returned by all calls; a write takes effect before ErrUnknown is returned.
	err error
}

func newSimStore() *simStore { return &simStore{rows: make(map[string]table.Row), era: 1} }

func (s *simStore) backUp() { s.copy, s.copied = maps.Clone(s.rows), s.ver }

func (s *simStore) restore() {
	s.era++
	s.rows, s.ver = make(map[string]table.Row), s.copied
	for k, r := range s.copy {
		r.Revision.Era = s.era
		s.rows[k] = r
	}
}

func (s *simStore) get(key string) (table.Row, error) {
	if s.err != nil {
		return table.Row{}, table.ErrUnavailable
	}
	if r, ok := s.rows[key]; ok {
		return r, nil
	}
	return table.Row{Key: key}, table.ErrNotFound
}

func (s *simStore) commit(txn table.Txn) (table.Revision, error) {
	if errors.Is(s.err, table.ErrUnavailable) {
		return table.Absent, s.err
	}
	for _, c := range txn.Conditions {
		if s.rows[c.Key].Revision != c.Revision {
			return table.Absent, table.ErrConflict
		}
	}
	s.ver++
	rev := table.Revision{Era: s.era, Number: s.ver}
	for _, p := range txn.Puts {
		s.rows[p.Key] = table.Row{Key: p.Key, Value: p.Value, Revision: rev}
	}
	for _, k := range txn.Deletes {
		delete(s.rows, k)
	}
	return rev, s.err
}

// simPlatform checks the platform's rules.
type simPlatform struct {
	t          *testing.T
	reports    map[uint64]usage.Counts
	reportedAt map[uint64]time.Duration
	names      map[uint64]string
	highest    uint64
	calls      []simCall
	// err is returned by all calls; ErrUnknown after the call was executed.
	err error
}

type simCall struct {
	holder string
	at     time.Duration
}

func (p *simPlatform) report(now time.Duration, holder string, a usage.Action) error {
	if errors.Is(p.err, cloud.ErrUnavailable) {
		return p.err
	}
	if name, ok := p.names[a.Fence]; ok && name != holder {
		p.t.Errorf("%v: %s and %s send the fencing number %d", now, name, holder, a.Fence)
	}
	p.names[a.Fence] = holder
	if a.Fence < p.highest {
		p.t.Errorf("%v: %s sends %d after %d", now, holder, a.Fence, p.highest)
	}
	p.highest = max(p.highest, a.Fence)
	p.calls = append(p.calls, simCall{holder, now})
	other := false
	for _, c := range slices.Backward(p.calls) {
		if now-c.at >= lease {
			break
		}
		if other = other || c.holder != holder; other && c.holder == holder {
			p.t.Errorf("%v: the holder changes back to %s within the lease", now, holder)
			break
		}
	}
	if old, ok := p.reports[a.Window]; ok {
		if !maps.Equal(old, a.Counts) {
			p.t.Errorf("%v: window %d is reported as %v after %v", now, a.Window, a.Counts, old)
		}
		return p.err
	}
	p.reports[a.Window], p.reportedAt[a.Window] = a.Counts, now
	return p.err
}

// simNode is a node with its process.
type simNode struct {
	name    string
	inc     int
	up      bool
	frozen  time.Duration
	resumed time.Duration
	// cut is set while the node reaches neither the store nor other nodes.
	cut bool
	// deaf is set while it reaches the store but no other nodes.
	deaf    bool
	step    time.Duration
	decider *duty.Decider
	ledger  *usage.Ledger
	counter *usage.Counter
	fwd     *usage.Forwarder
	clock   *usage.TrueTime
	// jump is how far the wall clock is off.
	jump       time.Duration
	collecting bool
	fence      uint64
	tenureEnd  time.Duration
	holder     string
}

func (n *simNode) process() usage.Process {
	return usage.Process{Node: n.name, Incarnation: fmt.Sprint(n.inc)}
}

// sim is a system of nodes. True time begins at epoch.
type sim struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	nodes    []*simNode
	store    *simStore
	platform *simPlatform
	truth    map[uint64]usage.Counts
	events   []simEvent
	// apiDelay is how long a call of the API takes at most.
	apiDelay time.Duration
	// lossy has some reports be lost, so that holders have different counts.
	lossy bool
	// sent is called after each call of the API that was executed, before its answer.
	sent func(n *simNode, a usage.Action)
}

type simEvent struct {
	at time.Duration
	do func()
}

var epoch = time.Unix(1_700_000_000, 0)

func (s *sim) trueTime() time.Time { return epoch.Add(s.now) }

func newSim(t *testing.T, seed uint64, nodes int) *sim {
	t.Helper()
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), store: newSimStore(), truth: make(map[uint64]usage.Counts),
		platform: &simPlatform{t: t, reports: make(map[uint64]usage.Counts), reportedAt: make(map[uint64]time.Duration), names: make(map[uint64]string)},
		apiDelay: 100 * time.Millisecond,
	}
	for i := range nodes {
		n := &simNode{name: fmt.Sprintf("n%d", i)}
		s.nodes = append(s.nodes, n)
		s.boot(n)
	}
	return s
}

// boot starts a new process of a node.
func (s *sim) boot(n *simNode) {
	n.inc, n.up, n.frozen, n.collecting, n.fence = n.inc+1, true, 0, false, 0
	n.decider = duty.New(n.name+"/"+fmt.Sprint(n.inc), "duty/groups")
	n.clock = usage.NewTrueTime(s.now, s.trueTime().Add(n.jump))
	n.counter = usage.NewCounter(n.clock.Now(s.now), window)
	n.fwd = usage.NewForwarder(n.process(), window)
	n.ledger = usage.NewLedger(usage.LedgerConfig{Length: window, Lateness: lateness})
}

// later runs do after a delay, unless the process of n has ended then; a frozen process runs it when it resumes.
func (s *sim) later(n *simNode, delay time.Duration, do func()) {
	inc := n.inc
	s.events = append(s.events, simEvent{s.now + delay, func() {
		switch {
		case !n.up || n.inc != inc:
		case n.frozen > s.now:
			s.later(n, n.frozen-s.now, do)
		default:
			do()
		}
	}})
}

func (s *sim) delay(most time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(most)))
}

// run runs the system for a time.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += step
		due := slices.DeleteFunc(slices.Clone(s.events), func(e simEvent) bool { return e.at > s.now })
		s.events = slices.DeleteFunc(s.events, func(e simEvent) bool { return e.at <= s.now })
		for _, e := range due {
			e.do()
		}
		for _, n := range s.nodes {
			if n.up && n.frozen <= s.now {
				s.stepNode(n)
			}
		}
	}
}

func (s *sim) stepNode(n *simNode) {
	s.serve(n)
	s.stepDuty(n)
	tenure, holds := n.decider.Tenure(s.now)
	s.stepTenure(n, tenure, holds)
	if s.now-n.step >= 250*time.Millisecond {
		n.step = s.now
		s.stepReports(n, holds)
	}
	if !n.collecting {
		return
	}
	names := make([]string, 0, len(s.nodes))
	for _, m := range s.nodes {
		names = append(names, m.name)
	}
	actions, _ := n.ledger.Next(n.clock.Now(s.now), names, tenure.MayCall(s.now, lease))
	for _, a := range actions {
		s.execute(n, a)
	}
}

// serve counts some requests at a node.
func (s *sim) serve(n *simNode) {
	account := fmt.Sprintf("a%d", s.rng.IntN(3))
	k := usage.Window(s.trueTime(), window)
	if s.truth[k] == nil {
		s.truth[k] = make(usage.Counts)
	}
	s.truth[k][account]++
	n.counter.Began(n.clock.Now(s.now), account)
}

// stepDuty makes the call of the duty decider, and sends heartbeats of a holder.
func (s *sim) stepDuty(n *simNode) {
	n.decider.SetHasOtherPeers(!n.cut && !n.deaf)
	if fence, holds := n.decider.Holds(s.now); holds && s.now%duty.HeartbeatInterval < step {
		for _, m := range s.others(n) {
			s.later(m, s.delay(20*time.Millisecond), func() { m.decider.HeartbeatReceived(s.now, fence) })
		}
	}
	op, ok := n.decider.Next(s.now)
	if !ok {
		return
	}
	err := error(nil)
	row, rev := table.Row{Key: "duty/groups"}, table.Absent
	switch {
	case n.cut:
		err = table.ErrUnavailable
	case op.Read:
		row, err = s.store.get(row.Key)
	default:
		rev, err = s.store.commit(op.Txn)
	}
	s.later(n, s.delay(100*time.Millisecond), func() {
		if op.Read {
			n.decider.ReadDone(s.now, row, err)
			return
		}
		n.decider.CommitDone(s.now, op, rev, err)
	})
}

// others returns the nodes that receive messages of a node.
func (s *sim) others(n *simNode) []*simNode {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(m *simNode) bool {
		return m == n || m.cut || n.cut || m.deaf || n.deaf || !m.up
	})
}

func (s *sim) stepTenure(n *simNode, t duty.Tenure, holds bool) {
	if n.collecting && (!holds || t.Fence != n.fence) {
		n.collecting = false
	}
	if !holds {
		return
	}
	if !n.collecting {
		n.ledger.Start(n.clock.Now(s.now), t.Fence, n.fence > 0 && t.Follows(n.tenureEnd, lease))
		n.collecting, n.fence = true, t.Fence
		n.ledger.Merge(n.clock.Now(s.now), n.fwd.All())
	}
	n.tenureEnd = t.End
}

// stepReports sends the reports of a node to the holder that it knows, and its clock to all.
func (s *sim) stepReports(n *simNode, holds bool) {
	wall := s.trueTime().Add(n.jump)
	n.clock.ObserveOwn(s.now, wall)
	for _, m := range s.others(n) {
		estimate := n.clock.Now(s.now)
		s.later(m, s.delay(20*time.Millisecond), func() { m.clock.ObservePeer(s.now, n.name, wall, estimate) })
	}
	s.receive(n, []usage.Report{{Process: n.process(), Windows: n.counter.Reports(n.clock.Now(s.now))}})
	if h := n.decider.Holder(); h != n.holder {
		n.holder = h
		n.fwd.Resend()
	}
	address, _, _ := strings.Cut(n.holder, "/")
	for _, m := range s.others(n) {
		if m.name == address || holds {
			list := n.fwd.TakeOwn()
			if !holds {
				list = append(list, n.fwd.Take(n.clock.Now(s.now))...)
			}
			s.later(m, s.delay(20*time.Millisecond), func() { s.receive(m, list) })
		}
	}
}

func (s *sim) receive(n *simNode, list []usage.Report) {
	if s.lossy && s.rng.IntN(5) == 0 {
		return
	}
	news := n.fwd.Merge(s.now, list)
	if n.collecting {
		n.ledger.Merge(n.clock.Now(s.now), news)
	}
}

// execute makes a call of the ledger.
func (s *sim) execute(n *simNode, a usage.Action) {
	if a.Kind == usage.Send {
		s.later(n, s.delay(40*time.Millisecond), func() { s.send(n, a) })
		return
	}
	if n.cut {
		s.later(n, step, func() { s.finish(n, a, nil, table.Row{}, table.ErrUnavailable) })
		return
	}
	var rows []table.Row
	var row table.Row
	var err error
	switch a.Kind {
	case usage.ReadRows:
		if err = s.store.err; err == nil {
			for k, r := range s.store.rows {
				if strings.HasPrefix(k, usage.RowPrefix) {
					rows = append(rows, r)
				}
			}
		}
	case usage.ReadRow:
		row, err = s.store.get(a.Key)
	default:
		_, err = s.store.commit(a.Txn)
	}
	s.later(n, s.delay(150*time.Millisecond), func() { s.finish(n, a, rows, row, err) })
}

// send makes a call of the API, unless the tenure has ended meanwhile. Calls within thaw after a resumption are exempt from the rules,
// but these nodes do not need that.
func (s *sim) send(n *simNode, a usage.Action) {
	t, holds := n.decider.Tenure(s.now)
	if !holds || t.Fence != a.Fence || !t.MayCall(s.now, lease) || n.cut {
		s.finish(n, a, nil, table.Row{}, cloud.ErrUnavailable)
		return
	}
	err := s.platform.report(s.now, n.name, a)
	if s.sent != nil && !errors.Is(err, cloud.ErrUnavailable) {
		s.sent(n, a)
	}
	s.later(n, s.delay(s.apiDelay), func() { s.finish(n, a, nil, table.Row{}, err) })
}

func (s *sim) finish(n *simNode, a usage.Action, rows []table.Row, row table.Row, err error) {
	now := n.clock.Now(s.now)
	switch a.Kind {
	case usage.ReadRows:
		n.ledger.RowsRead(now, rows, err)
	case usage.ReadRow:
		n.ledger.RowRead(now, a, row, err)
	case usage.Store:
		n.ledger.Stored(now, a, err)
	default:
		n.ledger.Sent(now, a, err)
	}
}

// holder returns the node that holds the duty, or nil.
func (s *sim) holder() *simNode {
	for _, n := range s.nodes {
		if _, holds := n.decider.Holds(s.now); holds && n.up {
			return n
		}
	}
	return nil
}

// check checks that each window that ended from a time on, and long enough ago, was reported in time with an error of at most off.
func (s *sim) check(from time.Duration, off float64) {
	s.t.Helper()
	for k := usage.Window(epoch.Add(from), window); usage.WindowEnd(k, window).Add(lateness).Before(s.trueTime()); k++ {
		got, ok := s.platform.reports[k]
		if !ok {
			s.t.Errorf("window %d, which ended at %v, is not reported", k, usage.WindowEnd(k, window).Sub(epoch))
			continue
		}
		if late := s.platform.reportedAt[k] - usage.WindowEnd(k, window).Sub(epoch); late > lateness {
			s.t.Errorf("window %d is reported %v after its end", k, late)
		}
		for account, n := range s.truth[k] {
			if diff := float64(got[account]) - float64(n); diff > off*float64(n) || -diff > off*float64(n) {
				s.t.Errorf("window %d has %d requests of %s, want %d", k, got[account], account, n)
			}
		}
	}
}
