// Package scaler runs the decider of package scale while this node holds the duty: it passes on the demand that nodes report and the
// state of the servers, has the groups follow the result, and returns the orders to send to the platform.
package scaler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/usage"
	"geraniumhollow/internal/node/duties"
	"geraniumhollow/internal/plan/group"
	"geraniumhollow/internal/plan/scale"
	"geraniumhollow/internal/plat/cloud"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/route/match"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// Config holds the dependencies of a Scaler. All are required.
type Config struct {
	// Service returns the service whose servers form groups, or nil while there is none.
	Service func() *match.Service
	View    func() *index.View
	// Objectives returns the objectives for the first byte of answers of the models of a service, as far as this node knows them.
	Objectives func(service string) map[string]time.Duration
	// SetTargets sets the number of groups of each model, or nil while it is not known.
	SetTargets func(t *group.Targets)
	Metrics    *metric.Set
	Log        hclog.Logger
}

// Times of steps and orders.
const (
	// stepInterval is the time between steps of the decider.
	stepInterval = 500 * time.Millisecond
	// repeatInterval is the time after which an order is sent again, in case that the platform has forgotten it.
	repeatInterval = 10 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay after a call that failed.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Scaler implements duties.Scaler.
type Scaler struct {
	cfg Config

	mu sync.Mutex
	// decider is nil while this node does not hold the duty, or the service does not ask for scaling.
	decider *scale.Decider
	// service is the name of the service that the decider is for. demand is what was reported since its last step, at steppedAt.
	service   string
	demand    scale.Demand
	steppedAt time.Time
	desired   map[string]int
	// groups holds the last numbers of groups by model, and heard is set once demand was reported.
	groups map[string]int
	heard  bool
	holds  bool
	// sent holds the orders that were sent in this tenure, by data centre. No call is made before retryAt.
	sent       map[string]sentOrder
	retryAt    time.Time
	retryDelay time.Duration
}

type sentOrder struct {
	desired int
	at      time.Time
}

var _ duties.Scaler = (*Scaler)(nil)

// New returns a Scaler that does nothing until Start.
func New(cfg Config) *Scaler {
	s := &Scaler{cfg: cfg}
	cfg.Metrics.Func("scaling_desired_servers", "Desired number of backend servers of all data centres, 0 if this node does not decide on it.", s.total)
	return s
}

// total returns the desired number of servers.
func (s *Scaler) total() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, n := range s.desired {
		sum += n
	}
	return float64(sum)
}

// Start implements duties.Scaler.
func (s *Scaler) Start(time.Time, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holds = true
	s.reset("")
}

// Stop implements duties.Scaler.
func (s *Scaler) Stop() {
	s.mu.Lock()
	s.holds = false
	s.reset("")
	s.mu.Unlock()
	s.cfg.SetTargets(nil)
}

// reset discards what was observed, and begins with a service, or "" for none. The lock must be held.
func (s *Scaler) reset(service string) {
	s.service, s.decider, s.demand, s.desired, s.groups, s.heard = service, nil, nil, nil, nil, false
	s.sent, s.steppedAt, s.retryAt, s.retryDelay = make(map[string]sentOrder), time.Time{}, time.Time{}, 0
	if service != "" {
		s.decider, s.demand = scale.New(), make(scale.Demand)
	}
}

// Observe implements duties.Scaler. It runs a step when one is due, because Next is not called during a call of the API.
func (s *Scaler) Observe(now time.Time, _ usage.Process, demand []usage.Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.decider == nil {
		s.update(now)
	}
	for _, d := range demand {
		if s.decider == nil || d.Service != s.service {
			continue
		}
		k := scale.Key{Model: d.Model, DataCentre: d.DataCentre}
		s.demand[k] = s.demand[k].Add(scale.Counts{
			Arrivals: float64(d.Arrivals), PromptTokens: float64(d.PromptTokens), AnswerTokens: float64(d.AnswerTokens),
			Refused: float64(d.Refused), Late: float64(d.Late),
		})
	}
	s.update(now)
}

// Next implements duties.Scaler. It returns at most one order, so that each one is current when it is sent.
func (s *Scaler) Next(now time.Time, mayCall bool) []duties.ScaleOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.update(now) {
		return nil
	}
	if !mayCall || now.Before(s.retryAt) {
		return nil
	}
	return s.due(now)
}

// update runs a step of the decider if one is due, and reports whether the service asks for scaling and its servers are known. The
// lock must be held.
func (s *Scaler) update(now time.Time) bool {
	svc, view := s.cfg.Service(), s.cfg.View()
	if !s.holds || svc == nil || svc.Scaling == nil || svc.Engine == nil {
		if s.decider != nil {
			s.reset("")
			s.cfg.SetTargets(nil)
		}
		return false
	}
	if svc.Name != s.service {
		s.reset(svc.Name)
	}
	if view.Read && now.Sub(s.steppedAt) >= stepInterval {
		s.steppedAt = now
		s.step(now, svc, view)
	}
	return view.Read
}

// step runs a step of the decider.
func (s *Scaler) step(now time.Time, svc *match.Service, view *index.View) {
	out := s.decider.Step(now, input(svc, view, s.demand, s.cfg.Objectives(svc.Name)))
	s.heard = s.heard || len(s.demand) > 0
	s.demand = make(scale.Demand)
	s.desired = out.Desired
	if out.Reason != "" || !maps.Equal(out.Groups, s.groups) {
		s.log(svc.Name, out)
	}
	s.groups = maps.Clone(out.Groups)
	if s.heard {
		// Until the size of demand is known, Groups is nil, and the numbers of groups are kept.
		s.cfg.SetTargets(&group.Targets{Groups: maps.Clone(out.Groups), Urgent: maps.Clone(out.Urgent), Late: maps.Clone(out.Late)})
	}
}

// log logs a decision and what it follows from.
func (s *Scaler) log(service string, out scale.Output) {
	s.cfg.Log.Info("decision on servers and groups", "service", service, "reason", cmp.Or(out.Reason, "groups"), "desired", out.Desired, "groups", out.Groups)
	for _, name := range slices.Sorted(maps.Keys(out.Models)) {
		m := out.Models[name]
		s.cfg.Log.Info("demand for model", "service", service, "model", name, "rate", round(m.Rate), "highest_rate", round(m.Highest),
			"prompt_tokens", round(m.Mix.PromptTokens), "answer_tokens", round(m.Mix.AnswerTokens), "group_capacity", round(m.Capacity),
			"utilisation", round(m.Utilisation), "failed_share", round(m.FailedShare), "needed", m.Needed, "groups", out.Groups[name],
			"urgent", out.Urgent[name])
	}
}

// round rounds a number for the log.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }

// input returns the input of a step of the decider.
func input(svc *match.Service, view *index.View, demand scale.Demand, objectives map[string]time.Duration) scale.Input {
	in := scale.Input{
		Demand: demand, Engine: svc.Engine, Objectives: objectives, DataCentres: make(map[string]scale.DataCentre), Open: make(map[string]int),
		Bounds: scale.Bounds{Min: svc.Scaling.Min, Max: svc.Scaling.Max, Boot: svc.Scaling.Boot},
	}
	for _, e := range view.Services[svc.Name] {
		z, ok := in.DataCentres[e.DataCentre]
		if !ok {
			z = scale.DataCentre{Domains: make(map[string]int), OutOfService: view.OutOfService.Has(e.DataCentre)}
		}
		if e.Draining {
			z.Draining++
		} else {
			z.Domains[e.Domain]++
		}
		in.DataCentres[e.DataCentre] = z
	}
	for k, groups := range view.OpenGroups {
		for _, g := range groups {
			if k.Service == svc.Name && view.Usable(g.Head) {
				in.Open[k.Model]++
			}
		}
	}
	return in
}

// due returns the next order to send: one that adds servers, else one that removes them, else one to repeat.
func (s *Scaler) due(now time.Time) []duties.ScaleOrder {
	best, bestRank := "", 3
	for _, dc := range slices.Sorted(maps.Keys(s.desired)) {
		last, ok := s.sent[dc]
		rank := 3
		switch {
		case s.desired[dc] > last.desired && ok:
			rank = 0
		case !ok || s.desired[dc] != last.desired:
			rank = 1
		case now.Sub(last.at) >= repeatInterval:
			rank = 2
		}
		if rank < bestRank {
			best, bestRank = dc, rank
		}
	}
	if bestRank == 3 {
		return nil
	}
	return []duties.ScaleOrder{{Service: s.service, DataCentre: best, Desired: s.desired[best]}}
}

// Done implements duties.Scaler. After an order whose outcome is unknown, the number in force is unknown as well, and is sent again even
// if it is changed back.
func (s *Scaler) Done(now time.Time, o duties.ScaleOrder, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Service != s.service {
		return
	}
	if err != nil {
		if errors.Is(err, cloud.ErrUnknown) {
			delete(s.sent, o.DataCentre)
		}
		s.retryDelay = min(max(2*s.retryDelay, minRetryDelay), maxRetryDelay)
		s.retryAt = now.Add(s.retryDelay)
		return
	}
	s.retryDelay = 0
	s.sent[o.DataCentre] = sentOrder{o.Desired, now}
}
