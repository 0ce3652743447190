package pass

import (
	"context"
	"strconv"
	"sync"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/route/crash"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// maxCrashes is the number of crashed backend servers after which all nodes refuse a request.
const maxCrashes = 3

// Checks of a server whose connections break.
const (
	// deathCheckInterval is the minimum time between the beginnings of two checks.
	deathCheckInterval = 300 * time.Millisecond
	// deathRecheckDelay is the delay after the first probe without a result. It doubles with each further one. A server
	// that has crashed may be back only after some seconds.
	deathRecheckDelay = 500 * time.Millisecond
	maxDeathProbes    = 5
	// deathWindow is the time after an attempt broke within which the death of its server is attributed to it. It covers
	// all probes of a check.
	deathWindow = 10 * time.Second
)

// Liveness is what is known of a server process.
type Liveness int

// States of a server process.
const (
	// LivenessUnknown means that the server did not answer.
	LivenessUnknown Liveness = iota
	Alive
	Dead
)

// CrashTrackerDeps are the dependencies of a CrashTracker. All are required.
type CrashTrackerDeps struct {
	// Probe reports whether the process of a backend server still runs. It may block on the network.
	Probe func(ctx context.Context, e *index.Entry) Liveness
	// Confirm reports whether this node reaches servers, so that a refused connection shows the death of one. It may block
	// on the network.
	Confirm func(ctx context.Context) bool
	// Share sends findings to all other nodes, which call Learn. It must not block.
	Share func(f crash.Findings)
	// ClaimTrial claims the trial of a quarantined part for this node, among all nodes. It may block on the store. The
	// number of the first trial is 1.
	ClaimTrial func(ctx context.Context, p crash.Part, number int) bool
	// Group returns the task group that runs the checks of servers.
	Group func() *tasks.Group
	Log   hclog.Logger
}

// CrashTracker tracks requests, and parts of their prompts, that are suspected of crashing the backend servers that run
// them. It is safe for concurrent use.
type CrashTracker struct {
	deps CrashTrackerDeps

	mu          sync.Mutex
	tracker     *crash.Decider
	parts       *crash.PartTracker
	lastChecked map[string]time.Time
	// checking are the server processes that are being checked.
	checking sets.Set[string]
	// cancels cancel the attempts whose prompts have shared parts.
	cancels map[crash.RunID]context.CancelCauseFunc
	// claiming are the parts whose trial this node is claiming, claimAt is when it may claim that of a part again.
	claiming sets.Set[crash.Part]
	claimAt  map[crash.Part]time.Time
}

// NewCrashTracker returns a tracker without suspected requests.
func NewCrashTracker(d CrashTrackerDeps) (*CrashTracker, error) {
	parts, err := crash.NewPartTracker()
	if err != nil {
		return nil, errors.Newf("new crash tracker: %w", err)
	}
	return &CrashTracker{
		deps: d, tracker: crash.New().WithDeathWindow(deathWindow), parts: parts, lastChecked: make(map[string]time.Time), checking: sets.New[string](),
		cancels: make(map[crash.RunID]context.CancelCauseFunc), claiming: sets.New[crash.Part](), claimAt: make(map[crash.Part]time.Time),
	}, nil
}

// Learn applies findings that another node has shared.
func (c *CrashTracker) Learn(node string, f crash.Findings) {
	now := time.Now()
	c.mu.Lock()
	for _, s := range f.Suspicions {
		c.tracker.Learn(now, node, s)
	}
	var quarantined []crash.Part
	for _, d := range f.Deaths {
		quarantined = append(quarantined, c.parts.RecordDeath(now, d, false)...)
	}
	decided := c.quarantinesOf(now, quarantined)
	for _, q := range f.Quarantines {
		if c.parts.LearnQuarantine(now, q) {
			quarantined = append(quarantined, q.Part)
		}
	}
	c.cancelWaiting(quarantined)
	c.mu.Unlock()
	c.logQuarantined(quarantined, node)
	for _, p := range f.Safe {
		c.learnSafe(now, p, node)
	}
	if len(decided) > 0 {
		c.deps.Share(crash.Findings{Quarantines: decided})
	}
}

func (c *CrashTracker) learnSafe(now time.Time, p crash.Part, node string) {
	c.mu.Lock()
	released := c.parts.LearnSafe(now, p)
	c.mu.Unlock()
	if released {
		c.deps.Log.Info("released a prompt part", "part", p, "from", node)
	}
}

// quarantinesOf returns the quarantines of parts that are quarantined. The lock must be held.
func (c *CrashTracker) quarantinesOf(now time.Time, parts []crash.Part) []crash.Quarantine {
	if len(parts) == 0 {
		return nil
	}
	wanted := sets.New(parts...)
	var out []crash.Quarantine
	for _, q := range c.parts.Quarantines(now) {
		if wanted.Has(q.Part) {
			out = append(out, q)
		}
	}
	return out
}

// Refused reports whether a request has crashed too many servers, and how many.
func (c *CrashTracker) Refused(f crash.Fingerprint) (bool, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	suspected, n := c.tracker.Suspect(time.Now(), f)
	return suspected && n >= maxCrashes, n
}

// startRun records that a request is being sent to a server. cancel cancels the attempt.
func (c *CrashTracker) startRun(f crash.Fingerprint, parts []crash.Part, e *index.Entry, cancel context.CancelCauseFunc) crash.RunID {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Servers are not reserved for a single request here, so Start never refuses.
	id, _ := c.tracker.Start(f, processOf(e))
	if len(parts) > 0 {
		c.tracker.SetParts(id, parts)
		c.cancels[id] = cancel
	}
	return id
}

// answerBegan records that the server of a run has begun to answer.
func (c *CrashTracker) answerBegan(id crash.RunID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.AnswerBegan(id)
}

// partsSafe records that the server of a run has written part of the answer and lives.
func (c *CrashTracker) partsSafe(id crash.RunID) {
	now := time.Now()
	c.mu.Lock()
	var quarantined []crash.Part
	parts := c.tracker.PartsSafe(id)
	for _, p := range parts {
		if q, _ := c.parts.Check(now, []crash.Part{p}); q != "" {
			quarantined = append(quarantined, p)
		}
	}
	safe := c.parts.Safe(now, parts)
	c.mu.Unlock()
	for _, p := range quarantined {
		c.deps.Log.Info("released a prompt part", "part", p, "from", "")
	}
	if len(safe) > 0 {
		c.deps.Share(crash.Findings{Safe: safe})
	}
}

// endRun records the outcome of an attempt; connBroke is set unless the server sent a complete failure response. A server
// whose connection broke or that stalled may have died.
func (c *CrashTracker) endRun(id crash.RunID, f crash.Fingerprint, e *index.Entry, o Outcome, connBroke bool) {
	if o == Served {
		c.partsSafe(id)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cancels, id)
	now := time.Now()
	switch {
	case o == Served:
		if cleared := c.tracker.Complete(id, f); len(cleared) > 0 {
			c.deps.Share(crash.Findings{Suspicions: cleared})
		}
	case o == Failed && connBroke || o == Stalled:
		c.tracker.ConnectionLost(now, id)
		if process := processOf(e); now.Sub(c.lastChecked[process]) >= deathCheckInterval && c.checking.Add(process) {
			c.lastChecked[process] = now
			c.deps.Group().Go("check for a crashed server", func(ctx context.Context) error {
				c.checkServer(ctx, e)
				return nil
			})
		}
	default:
		c.tracker.Abandon(id)
	}
}

// checkServer checks whether a server has died. If so, its requests become suspects, and their parts evidence.
func (c *CrashTracker) checkServer(ctx context.Context, e *index.Entry) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.checking.Remove(processOf(e))
	}()
	delay := deathRecheckDelay
	for range maxDeathProbes {
		liveness := c.deps.Probe(ctx, e)
		if liveness == Dead && !c.deps.Confirm(ctx) {
			liveness = LivenessUnknown
		}
		switch liveness {
		case Dead:
			c.recordDeath(e)
			return
		case Alive:
			c.mu.Lock()
			c.tracker.Survived(processOf(e))
			c.mu.Unlock()
			return
		case LivenessUnknown:
		}
		if !tasks.Sleep(ctx, delay) {
			return
		}
		delay *= 2
	}
}

// recordDeath records the death of a server and shares what follows from it.
func (c *CrashTracker) recordDeath(e *index.Entry) {
	now := time.Now()
	c.mu.Lock()
	var f crash.Findings
	var quarantined []crash.Part
	if runs := c.tracker.PromptRuns(now, processOf(e)); len(runs) > 0 {
		d := crash.Death{Process: e.ID + "@" + strconv.FormatInt(e.StartedAt.UnixMilli(), 10), Runs: runs}
		f.Deaths = []crash.Death{d}
		quarantined = c.parts.RecordDeath(now, d, true)
		f.Quarantines = c.quarantinesOf(now, quarantined)
		c.cancelWaiting(quarantined)
	}
	f.Suspicions = c.tracker.ServerDied(now, processOf(e))
	if len(c.lastChecked) > maxCheckedServers {
		clear(c.lastChecked)
	}
	c.mu.Unlock()
	for _, s := range f.Suspicions {
		c.deps.Log.Info("request was running on a server that died", "fingerprint", s.Fingerprint, "server", e.ID,
			"change", s.Change, "crashes", s.Crashes)
	}
	c.logQuarantined(quarantined, "")
	if !f.Empty() {
		c.deps.Share(f)
	}
}

// processOf returns the key of a server process. Another process may have the same ID later.
func processOf(e *index.Entry) string {
	if e.StartedAt.IsZero() {
		return e.ID
	}
	return e.ID + "@" + strconv.FormatInt(e.StartedAt.UnixMilli(), 10)
}

// maxCheckedServers is the size of lastChecked above which a crash clears it.
const maxCheckedServers = 1024

// crashFingerprint returns the fingerprint of a call for the crash tracker.
func crashFingerprint(c *Call) crash.Fingerprint {
	return crash.Fingerprint(strconv.FormatUint(c.Fingerprint, 36))
}

// promptParts returns the shared parts of a call's prompt for the crash tracker.
func promptParts(c *Call) []crash.Part {
	out := make([]crash.Part, 0, len(c.SharedParts))
	for _, id := range c.SharedParts {
		out = append(out, crash.NewPart(c.Service.Name, id))
	}
	return out
}
