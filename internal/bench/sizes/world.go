// Package sizes measures the scaling of a simulated deployment by demand: what its servers cost, and how many requests find no group
// with room. It joins the deciders of packages scale and group with servers that load weights, are terminated at random, and stay for a
// while when they are draining.
package sizes

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/plan/group"
	"geraniumhollow/internal/plan/scale"
	"geraniumhollow/internal/route/batch"
)

// Shape of the deployment: two models with the same configured share of the work, and demand of which one has seven eighths.
const (
	domains       = 2
	domainSize    = 27
	minServers    = 26
	maxServers    = 60
	bootTime      = 8 * time.Second
	wavePeriod    = 11 * time.Second
	waveAmplitude = 0.2
	// drainTime is how long a draining server stays at most, idleDrainTime how long if its group serves nothing.
	drainTime     = 10 * time.Second
	idleDrainTime = 2 * time.Second
	// closeTime is how long the requests of a closing group take to end, joinTime a join without a load. earlyLoadTime is the time
	// of a load before callers are served.
	closeTime     = 1500 * time.Millisecond
	joinTime      = 200 * time.Millisecond
	earlyLoadTime = 1500 * time.Millisecond
	// stepTime is the time between steps of the groups, serveSteps the number of them between steps of scaling. Reports take reportLag
	// of the latter.
	stepTime   = 100 * time.Millisecond
	serveSteps = 5
	reportLag  = 2
	// warmUp is the time before demand begins.
	warmUp    = 8 * time.Second
	stallTime = 5 * time.Second
	lostTime  = 20 * time.Second
	service   = "llm"
)

var dataCentres = []string{"dc0", "dc1", "dc2"}

// kind is a kind of requests.
type kind struct {
	model                string
	rate, prompt, answer float64
}

var kinds = []kind{{"small", 314, 674, 150}, {"large", 29, 1420, 150}, {"large", 18, 1960, 25}}

// limits are the requests per second that a group serves at most, with all slots in use.
var limits = map[string]float64{"small": 34, "large": 18.5}

var objectives = map[string]time.Duration{"small": 300 * time.Millisecond, "large": 400 * time.Millisecond}

func newEngine(o Options) *batch.Engine {
	return &batch.Engine{
		Models: []batch.Model{
			{Name: "large", Hosts: 12, TimeFactor: 1, WorkFraction: 0.5, ColdLoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
			{Name: "small", Hosts: 6, TimeFactor: 0.6, WorkFraction: 0.5, ColdLoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
		},
		MaxRequests: 48, TokenCapacity: 2_470_000, StepsPerPass: 5, StepBase: 6450 * time.Microsecond, StepPerRequest: 96700 * time.Nanosecond,
		StepPerThousandTokens: 2930 * time.Nanosecond, PrefillRate: 56_100, PrefillChunk: 2048, MeanPromptTokens: 800, MeanAnswerTokens: 140,
		LoadsPerSecond: o.LoadsPerSecond, LoadsAtOnce: o.LoadsAtOnce, StagedModels: 1,
	}
}

// Options configure a run.
type Options struct {
	Seed uint64
	// Scales is unset for a fixed number of servers.
	Scales bool
	// Time is how long there is demand. Demand begins at a phase of its wave that depends on the seed.
	Time time.Duration
	// LostAt is when a data centre is lost for lostTime, or 0 for never.
	LostAt         time.Duration
	LoadsPerSecond float64
	LoadsAtOnce    int
}

// Result is the result of a run.
type Result struct {
	// ServerSeconds is the sum of the times of all servers while there was demand.
	ServerSeconds float64
	// Arrived and Lost count requests by model. A request is lost if the open groups are full.
	Arrived, Lost map[string]float64
	// Servers and Open are the numbers of servers, and of open groups by model, at the end.
	Servers int
	Open    map[string]int
	// Events describes what happened.
	Events []string
}

// LostShare returns the share of all requests that were lost.
func (r Result) LostShare() float64 {
	arrived, lost := 0.0, 0.0
	for model, n := range r.Arrived {
		arrived, lost = arrived+n, lost+r.Lost[model]
	}
	return lost / max(1, arrived)
}

// world is the simulated deployment.
type world struct {
	Result
	opts    Options
	rnd     *rand.Rand
	engine  *batch.Engine
	scale   *scale.Decider
	groups  *group.Decider
	index   *index.Index
	now     time.Time
	servers map[string]*host
	next    int
	desired map[string]int
	booting map[string][]time.Time
	begun   time.Time
	phase   time.Duration
	reports []scale.Demand
	beat    uint64
}

type host struct {
	server.Info
	seen uint64
	// readyAt is when a join is done, closedAt when the requests of a closing head have ended, stagedAt when a load is done.
	readyAt, closedAt, stagedAt, drainingAt time.Time
	staging                                 string
}

func newWorld(o Options) *world {
	w := &world{
		opts: o, rnd: rand.New(rand.NewPCG(o.Seed, 7)), engine: newEngine(o), scale: scale.New(), index: index.New(), now: time.Unix(1000, 0),
		servers: make(map[string]*host), desired: make(map[string]int), booting: make(map[string][]time.Time),
		Result: Result{Arrived: make(map[string]float64), Lost: make(map[string]float64)}, phase: time.Duration(o.Seed) * 1700 * time.Millisecond,
	}
	w.groups = group.New(group.Config{Service: service, Engine: w.engine, StallTime: stallTime, HeartbeatInterval: time.Second}, group.Plan{})
	for _, dc := range dataCentres {
		for d := range domains {
			for range domainSize {
				w.add(dc, domainName(dc, d))
			}
		}
	}
	return w
}

func domainName(dc string, d int) string { return fmt.Sprintf("%s-d%d", dc, d) }

func (w *world) add(dc, domain string) {
	w.next++
	id := fmt.Sprintf("s%04d", w.next)
	w.servers[id] = &host{Info: server.Info{ID: id, Service: service, Address: id, DataCentre: dc, Domain: domain, StartedAt: w.now}}
}

func (w *world) ids() []string { return slices.Sorted(maps.Keys(w.servers)) }

// domains counts the servers that are not draining by domain of a data centre.
func (w *world) domains(dc string) map[string]int {
	out := make(map[string]int)
	for _, h := range w.servers {
		if h.DataCentre == dc && !h.Draining {
			out[h.Domain]++
		}
	}
	return out
}

// platform carries out the orders.
func (w *world) platform() {
	for _, dc := range dataCentres {
		if want, ok := w.desired[dc]; ok && !w.isLost(dc) {
			w.adjust(dc, want)
		}
	}
	maps.DeleteFunc(w.servers, func(_ string, h *host) bool { return w.isLost(h.DataCentre) })
	for id, h := range w.servers {
		stayed := w.now.Sub(h.drainingAt)
		if h.Draining && (stayed >= drainTime || stayed >= idleDrainTime && !w.serves(h)) {
			delete(w.servers, id)
		}
	}
}

// isLost reports whether a data centre is lost.
func (w *world) isLost(dc string) bool {
	since := w.now.Sub(w.begun) - w.opts.LostAt
	return w.opts.LostAt > 0 && !w.begun.IsZero() && dc == dataCentres[1] && since >= 0 && since < lostTime
}

// adjust starts and terminates servers of a data centre.
func (w *world) adjust(dc string, want int) {
	w.booting[dc] = slices.DeleteFunc(w.booting[dc], func(at time.Time) bool {
		if w.now.Before(at) {
			return false
		}
		d, sizes := 0, w.domains(dc)
		for sizes[domainName(dc, d)] >= domainSize {
			d++
		}
		w.add(dc, domainName(dc, d))
		return true
	})
	var usable []*host
	for _, id := range w.ids() {
		if h := w.servers[id]; h.DataCentre == dc && !h.Draining {
			usable = append(usable, h)
		}
	}
	for n := len(usable) + len(w.booting[dc]); n < want; n++ {
		w.booting[dc] = append(w.booting[dc], w.now.Add(bootTime))
	}
	for len(usable)+len(w.booting[dc]) > want && len(usable) > 0 {
		i := w.rnd.IntN(len(usable))
		usable[i].Draining, usable[i].drainingAt = true, w.now
		usable = slices.Delete(usable, i, i+1)
	}
}

// serves reports whether the head of the group of a server serves.
func (w *world) serves(h *host) bool {
	for _, o := range w.servers {
		if h.Member.InGroup() && o.Member.InFormation(h.Member.Group, h.Member.Epoch) && o.Member.Rank == 0 {
			return o.Member.State == server.Open || o.Member.State == server.Closing
		}
	}
	return false
}

// advance ends what has taken its time.
func (w *world) advance() {
	for _, h := range w.servers {
		if h.Member.State == server.Joining && !w.now.Before(h.readyAt) {
			h.Member.State = server.Ready
			h.StagedModels = []string{h.Model}
		}
		if h.Member.State == server.Closing && !w.now.Before(h.closedAt) {
			h.Member.State = server.Ready
		}
		if h.staging != "" && !w.now.Before(h.stagedAt) {
			h.StagedModels, h.staging = []string{h.staging}, ""
		}
	}
}

func (w *world) execute(o group.Order) group.Outcome {
	h, ok := w.servers[o.Server]
	if !ok {
		return group.Unknown
	}
	switch o.Kind {
	case group.Join:
		if o.Epoch < h.seen {
			return group.Rejected
		}
		if h.seen = o.Epoch; !h.Member.InFormation(o.Group, o.Epoch) {
			h.readyAt = w.now.Add(w.joinDuration(h, o.Model))
			h.Model = o.Model
			h.Member = server.Member{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, o.Server), State: server.Joining}
		}
	case group.Open:
		h.Member.State = server.Open
	case group.Close:
		h.Member.State, h.closedAt = server.Closing, w.now.Add(closeTime)
	case group.Leave:
		h.Member = server.Member{}
	case group.Stage:
		if h.staging == "" {
			h.staging, h.stagedAt = o.Model, w.now.Add(w.loadTime(o.Model))
		}
	}
	return group.Accepted
}

// loadTime returns the time of a load of weights.
func (w *world) loadTime(model string) time.Duration {
	m, _ := w.engine.Model(model)
	if w.begun.IsZero() {
		return min(earlyLoadTime, m.ColdLoadTime)
	}
	return m.ColdLoadTime
}

// joinDuration returns the time that a server takes to join a group of a model.
func (w *world) joinDuration(h *host, model string) time.Duration {
	m, _ := w.engine.Model(model)
	switch {
	case h.Model == model:
		return joinTime
	case h.HasStaged(model):
		return m.WarmLoadTime
	case h.staging == model:
		return h.stagedAt.Sub(w.now) + m.WarmLoadTime
	default:
		return w.loadTime(model) + m.WarmLoadTime
	}
}

// open counts the open groups whose members are all there, by model.
func (w *world) open() map[string]int {
	out := make(map[string]int)
	for _, h := range w.servers {
		if h.Member.Rank != 0 || h.Member.State != server.Open {
			continue
		}
		members := 0
		for _, o := range w.servers {
			if o.Member.InFormation(h.Member.Group, h.Member.Epoch) {
				members++
			}
		}
		if m, _ := w.engine.Model(h.Model); members == m.Hosts && !h.Draining {
			out[h.Model]++
		}
	}
	return out
}

// eventf records an event.
func (w *world) eventf(format string, args ...any) {
	if !w.begun.IsZero() {
		w.Events = append(w.Events, fmt.Sprintf("%5.1f ", w.now.Sub(w.begun).Seconds())+fmt.Sprintf(format, args...))
	}
}

// step runs a step of the groups, and those of serving and scaling from time to time.
func (w *world) step(i int) {
	w.platform()
	w.advance()
	c := index.Change{Full: true}
	w.beat++
	beats := make(map[string]uint64)
	for _, id := range w.ids() {
		c.Put = append(c.Put, w.servers[id].Info)
		beats[id] = w.beat
	}
	w.index.Apply(w.now, c)
	w.groups.ApplyHeartbeats(w.now, beats)
	if !w.begun.IsZero() && i%serveSteps == 0 {
		open, demand := w.open(), w.demand(serveSteps*stepTime)
		w.serve(open, demand, serveSteps*stepTime)
		w.scaleTo(open, demand)
	}
	w.groups.ApplyView(w.now, w.index.View())
	a := w.groups.Step(w.now)
	if a.Commit != nil {
		w.groups.Committed()
	}
	for _, n := range a.Decisions {
		w.eventf("%s %s %s", n.Decision, n.Group, n.Reason)
	}
	for _, o := range a.Orders {
		w.groups.OrderDone(w.now, o, w.execute(o))
	}
	for _, q := range a.Probes {
		if h, ok := w.servers[q.Server]; ok {
			w.groups.ProbeAnswered(w.now, q.Server, server.Report{Info: h.Info, Slowdown: 1})
		} else {
			w.groups.ProbeFailed(q.Server, true)
		}
	}
	for _, q := range a.PeerProbes {
		w.groups.PeerProbesDone(q.Server, len(dataCentres), 0)
	}
	w.now = w.now.Add(stepTime)
}

// demand returns the requests that arrive in a time.
func (w *world) demand(d time.Duration) scale.Demand {
	out := make(scale.Demand)
	wave := 1 + waveAmplitude*math.Sin(2*math.Pi*(w.now.Sub(w.begun)+w.phase).Seconds()/wavePeriod.Seconds())
	for _, k := range kinds {
		mean := k.rate * wave * d.Seconds()
		n := max(0, math.Round(mean+math.Sqrt(mean)*w.rnd.NormFloat64()))
		for i, dc := range dataCentres {
			part := math.Floor((n + float64(i)) / float64(len(dataCentres)))
			key := scale.Key{Model: k.model, DataCentre: dc}
			out[key] = out[key].Add(scale.Counts{Arrivals: part, PromptTokens: part * k.prompt, AnswerTokens: part * k.answer})
		}
	}
	return out
}

// serve has the open groups serve the requests of a time, and adds those that are refused to the demand.
func (w *world) serve(open map[string]int, demand scale.Demand, d time.Duration) {
	arrived := make(map[string]float64)
	for k, c := range demand {
		arrived[k.Model] += c.Arrivals
	}
	for model, limit := range limits {
		lost := max(0, arrived[model]-limit*float64(open[model])*d.Seconds())
		w.Arrived[model] += arrived[model]
		w.Lost[model] += lost
		for k, c := range demand {
			if share := c.Arrivals / max(1, arrived[model]); k.Model == model {
				c.AnswerTokens -= c.AnswerTokens / max(1, c.Arrivals) * lost * share
				c.Refused += lost * share
				demand[k] = c
			}
		}
	}
	w.ServerSeconds += float64(len(w.servers)) * d.Seconds()
}

// scaleTo runs a step of scaling with a report of demand that is on its way for a while.
func (w *world) scaleTo(open map[string]int, demand scale.Demand) {
	w.reports = append(w.reports, demand)
	if len(w.reports) <= reportLag || !w.opts.Scales {
		return
	}
	centres := make(map[string]scale.DataCentre)
	for _, dc := range dataCentres {
		if sizes := w.domains(dc); len(sizes) > 0 {
			centres[dc] = scale.DataCentre{Domains: sizes}
		}
	}
	out := w.scale.Step(w.now, scale.Input{
		Demand: w.reports[0], Engine: w.engine, Objectives: objectives, DataCentres: centres, Open: open,
		Bounds: scale.Bounds{Min: minServers, Max: maxServers, Boot: bootTime},
	})
	w.reports = w.reports[1:]
	if out.Reason != "" {
		w.eventf("order %v, groups %v: %s", out.Desired, out.Groups, out.Reason)
	}
	w.desired = out.Desired
	if out.Groups != nil {
		w.groups.FollowDemand(true, &group.Targets{Groups: out.Groups, Urgent: out.Urgent})
	}
}

// Run runs a deployment.
func Run(o Options) Result {
	w := newWorld(o)
	w.groups.FollowDemand(o.Scales, nil)
	for i := range int(warmUp / stepTime) {
		w.step(i)
	}
	w.begun = w.now
	w.groups.TrafficStarted()
	for i := range int(o.Time / stepTime) {
		w.step(i)
		if i%(4*serveSteps) == 0 {
			w.eventf("%d servers, open groups %v", len(w.servers), w.open())
		}
	}
	w.Servers, w.Open = len(w.servers), w.open()
	return w.Result
}
