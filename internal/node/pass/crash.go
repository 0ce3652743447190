package pass

import (
	"context"
	"strconv"
	"sync"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/route/crash"
	"github.com/hashicorp/go-hclog"
)

// maxCrashes is the number of crashed backend servers after which all nodes refuse a request.
const maxCrashes = 3

// deathCheckInterval is the minimum time between checks of a server whose connections break.
const deathCheckInterval = 300 * time.Millisecond

// CrashTrackerDeps are the dependencies of a CrashTracker. All are required.
type CrashTrackerDeps struct {
	// HasDied reports whether the process of a backend server has ended. It may block on the network.
	HasDied func(ctx context.Context, e *index.Entry) bool
	// Share sends changes of the suspected requests to all other nodes, which call Learn. It must not block.
	Share func(list []crash.Suspicion)
	// Group returns the task group that runs the checks of servers.
	Group func() *tasks.Group
	Log   hclog.Logger
}

// CrashTracker tracks requests that are suspected of crashing the backend servers that run them. It is safe for
// concurrent use.
type CrashTracker struct {
	deps CrashTrackerDeps

	mu          sync.Mutex
	tracker     *crash.Decider
	lastChecked map[string]time.Time
}

// NewCrashTracker returns a tracker without suspected requests.
func NewCrashTracker(d CrashTrackerDeps) *CrashTracker {
	return &CrashTracker{deps: d, tracker: crash.New(), lastChecked: make(map[string]time.Time)}
}

// Learn applies changes that another node has shared.
func (c *CrashTracker) Learn(node string, list []crash.Suspicion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, s := range list {
		c.tracker.Learn(now, node, s)
	}
}

// Refused reports whether a request has crashed too many servers, and how many.
func (c *CrashTracker) Refused(f crash.Fingerprint) (bool, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	suspected, n := c.tracker.Suspect(time.Now(), f)
	return suspected && n >= maxCrashes, n
}

// startRun records that a request is being sent to a server.
func (c *CrashTracker) startRun(f crash.Fingerprint, server string) crash.RunID {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Servers are not reserved for a single request here, so Start never refuses.
	id, _ := c.tracker.Start(f, server)
	return id
}

// endRun records the outcome of an attempt; connBroke is set unless the server sent a complete failure response.
func (c *CrashTracker) endRun(id crash.RunID, f crash.Fingerprint, e *index.Entry, o Outcome, connBroke bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case o == Served:
		if cleared := c.tracker.Complete(id, f); len(cleared) > 0 {
			c.deps.Share(cleared)
		}
	case o == Failed && connBroke:
		c.tracker.ConnectionLost(now, id)
		if now.Sub(c.lastChecked[e.ID]) >= deathCheckInterval {
			c.lastChecked[e.ID] = now
			c.deps.Group().Go("check for a crashed server", func(ctx context.Context) error {
				c.checkServer(ctx, e)
				return nil
			})
		}
	default:
		c.tracker.Abandon(id)
	}
}

// checkServer checks whether a server whose connection broke has died. If so, its requests become suspects.
func (c *CrashTracker) checkServer(ctx context.Context, e *index.Entry) {
	if !c.deps.HasDied(ctx, e) {
		return
	}
	c.mu.Lock()
	found := c.tracker.ServerDied(time.Now(), e.ID)
	if len(c.lastChecked) > maxCheckedServers {
		clear(c.lastChecked)
	}
	c.mu.Unlock()
	for _, s := range found {
		c.deps.Log.Info("request was running on a server that died", "fingerprint", s.Fingerprint, "server", e.ID,
			"change", s.Change, "crashes", s.Crashes)
	}
	if len(found) > 0 {
		c.deps.Share(found)
	}
}

// maxCheckedServers is the size of lastChecked above which a crash clears it.
const maxCheckedServers = 1024

// crashFingerprint returns the fingerprint of a call for the crash tracker.
func crashFingerprint(c *Call) crash.Fingerprint {
	return crash.Fingerprint(strconv.FormatUint(c.Fingerprint, 36))
}
