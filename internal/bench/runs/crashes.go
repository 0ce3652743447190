package runs

import (
	"fmt"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/route/crash"
)

// Size of one interleaving of crashes.
const (
	servers    = 2
	crashRuns  = 2
	crashSteps = 200
	requests   = 14
	// crashClock keeps an interleaving within the hour for which runs are counted.
	crashClock = 50 * time.Minute
	culprit    = crash.Fingerprint("x")
)

// Crashes is what came of interleavings of requests of which one crashes every server that runs it.
type Crashes struct {
	Interleavings int
	Requests      int
	// Deaths are the servers that died.
	Deaths int
	// Alone are the runs of suspects.
	Alone     int
	Completed int
	Refused   int

	// OverLimit are runs of a suspect past the limit of the fleet; runs that completed or did not
	// start are not counted.
	OverLimit int
	// NotAlone are runs of suspects beside another run of the same node.
	NotAlone int
	// Stuck are requests that had not ended when everything worked again.
	Stuck int
}

// Bad reports whether a promise was broken.
func (c Crashes) Bad() bool { return c.OverLimit+c.NotAlone+c.Stuck > 0 }

// Add returns the sum of two reports.
func (c Crashes) Add(o Crashes) Crashes {
	return Crashes{
		Interleavings: c.Interleavings + o.Interleavings, Requests: c.Requests + o.Requests, Deaths: c.Deaths + o.Deaths,
		Alone: c.Alone + o.Alone, Completed: c.Completed + o.Completed, Refused: c.Refused + o.Refused,
		OverLimit: c.OverLimit + o.OverLimit, NotAlone: c.NotAlone + o.NotAlone, Stuck: c.Stuck + o.Stuck,
	}
}

// stage is how far a request has come.
type stage int

const (
	arriving stage = iota
	waiting
	counting
	running
	endingCount
	ended
)

// job is one attempt of a request on a node.
type job struct {
	node        int
	f           crash.Fingerprint
	stage       stage
	id          crash.RunID
	server      int
	incarnation int
	alone       bool
	token       string
	counter     *crash.Counter
	action      crash.Action
	event       crash.Event
	op          *op[crash.RunCount]
}

// notice is something that a node is about to be told.
type notice struct {
	to     int
	from   string
	died   int
	shared []crash.Suspicion
}

// crashSim is one interleaving.
type crashSim struct {
	choose Chooser
	kinds  int
	// runSteps is the average number of steps of a run.
	runSteps int
	now      time.Time
	end      time.Time
	table    *faultyTable[crash.RunCount]
	nodes    [nodes]*crash.Decider
	// incarnations counts the restarts of each server.
	incarnations [servers]int
	jobs         []*job
	notices      []notice
	counts       map[crash.Fingerprint]int
	faults       bool
	out          Crashes
}

// RunCrashes plays one random interleaving of requests of which one fingerprint crashes every server
// that runs it, on nodes that die or pause, with a faulty table and notices that come late or never.
func RunCrashes(choose Chooser) Crashes {
	start := time.Unix(1_000_000, 0)
	s := &crashSim{
		choose: choose, kinds: stepKinds(choose), runSteps: []int{1, 2, 12}[choose(3)],
		now: start, end: start.Add(crashClock),
		table: newFaultyTable[crash.RunCount](choose), counts: make(map[crash.Fingerprint]int), faults: true,
	}
	for i := range s.nodes {
		s.nodes[i] = crash.New()
	}
	for range crashSteps {
		s.step()
	}
	s.faults, s.table.down = false, false
	for i := 0; i < drainSteps && s.open() != nil; i++ {
		s.advanceJob()
	}
	for _, j := range s.jobs {
		if j.stage != ended {
			s.out.Stuck++
		}
	}
	s.out.Interleavings = 1
	s.out.Requests = len(s.jobs)
	return s.out
}

func (s *crashSim) step() {
	s.now = s.now.Add(time.Duration(1+s.choose(200)) * time.Millisecond)
	switch s.choose(s.kinds) {
	case 0:
		s.table.down = !s.table.down
	case 1:
		s.dieNode(s.choose(nodes))
	case 2:
		if pause := time.Duration(s.choose(int(longestPause))); s.now.Add(pause).Before(s.end) {
			s.now = s.now.Add(pause)
		}
	case 3:
		s.table.applyLate()
	case 4, 5:
		s.deliverNotice()
	case 6, 7, 8, 9:
		s.arrive()
	default:
		s.advanceJob()
	}
}

// arrive lets a caller send a request; half of them crash servers.
func (s *crashSim) arrive() {
	if len(s.jobs) >= requests {
		return
	}
	f := []crash.Fingerprint{culprit, culprit, "a", "b"}[s.choose(4)]
	s.jobs = append(s.jobs, &job{node: s.choose(nodes), f: f, token: fmt.Sprintf("t%d", len(s.jobs))})
}

func (s *crashSim) dieNode(node int) {
	s.nodes[node] = crash.New()
	for _, j := range s.jobs {
		if j.node == node && j.stage != ended {
			j.stage = ended
			if j.op != nil {
				s.table.abandon(j.op)
			}
		}
	}
}

// deliverNotice delivers or drops one notice.
func (s *crashSim) deliverNotice() {
	if len(s.notices) == 0 {
		return
	}
	i := s.choose(len(s.notices))
	n := s.notices[i]
	s.notices = append(s.notices[:i], s.notices[i+1:]...)
	if s.choose.chance(8) {
		return
	}
	for _, x := range n.shared {
		s.nodes[n.to].Learn(s.now, n.from, x)
	}
	if n.shared == nil {
		s.share(n.to, s.nodes[n.to].ServerDied(s.now, serverName(n.died)))
	}
}

func (s *crashSim) share(from int, list []crash.Suspicion) {
	for to := range nodes {
		if to != from && len(list) > 0 {
			s.notices = append(s.notices, notice{to: to, from: fmt.Sprint(from), shared: list})
		}
	}
}

func (s *crashSim) open() []*job {
	var out []*job
	for _, j := range s.jobs {
		if j.stage != ended {
			out = append(out, j)
		}
	}
	return out
}

// advanceJob takes one step of one request; the others are paused meanwhile.
func (s *crashSim) advanceJob() {
	open := s.open()
	if len(open) == 0 {
		return
	}
	j := open[s.choose(len(open))]
	d := s.nodes[j.node]
	switch j.stage {
	case arriving:
		s.begin(j, d)
	case waiting:
		if d.Idle(j.id) {
			s.startCounter(j, counting, crash.CountRun(j.token, crashRuns))
		}
	case counting, endingCount:
		s.count(j, d)
	case running:
		s.run(j, d)
	case ended:
	}
}

func serverName(i int) string { return fmt.Sprint(i) }

// begin picks a server. Now and then it asks for one that internal/node/guard would not pick.
func (s *crashSim) begin(j *job, d *crash.Decider) {
	suspect, _ := d.Suspect(s.now, j.f)
	avoid := sets.New[string]()
	switch {
	case s.choose.chance(3):
	case suspect:
		avoid = d.Busy()
	default:
		avoid = d.Reserved()
	}
	server, ok := s.pick(avoid)
	if !ok {
		return
	}
	j.server, j.alone = server, suspect
	if suspect {
		if j.id, ok = d.Reserve(j.f, serverName(server)); ok {
			j.stage = waiting
		}
		return
	}
	if j.id, ok = d.Start(j.f, serverName(server)); ok {
		s.started(j)
	}
}

func (s *crashSim) pick(avoid sets.Set[string]) (int, bool) {
	var open []int
	for i := range servers {
		if !avoid.Has(serverName(i)) {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return 0, false
	}
	return open[s.choose(len(open))], true
}

// started checks that no suspect runs beside another request of its node.
func (s *crashSim) started(j *job) {
	j.stage, j.incarnation = running, s.incarnations[j.server]
	for _, o := range s.jobs {
		beside := o != j && o.stage == running && o.node == j.node && o.server == j.server && o.incarnation == j.incarnation
		if beside && (o.alone || j.alone) {
			s.out.NotAlone++
		}
	}
	if !j.alone {
		return
	}
	s.out.Alone++
	s.counts[j.f]++
	if s.counts[j.f] > crashRuns {
		s.out.OverLimit++
	}
}
