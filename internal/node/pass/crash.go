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

// CrashDeps are the dependencies of Crashes. All are required.
type CrashDeps struct {
	// Dead reports whether the process of a backend server has ended. It may block on the network.
	Dead func(ctx context.Context, e *index.Entry) bool
	// Share sends changes of the suspected requests to all other nodes, which call Learn. It must not block.
	Share func(list []crash.Suspicion)
	// Group returns the task group that runs the checks of servers.
	Group func() *tasks.Group
	Log   hclog.Logger
}

// Crashes tracks requests that are suspected of crashing the backend servers that run them. It is safe for
// concurrent use.
type Crashes struct {
	deps CrashDeps

	mu          sync.Mutex
	tracker     *crash.Decider
	lastChecked map[string]time.Time
}

// NewCrashes returns a tracker without suspected requests.
func NewCrashes(d CrashDeps) *Crashes {
	return &Crashes{deps: d, tracker: crash.New(), lastChecked: make(map[string]time.Time)}
}

// Learn applies changes that another node has shared.
func (k *Crashes) Learn(node string, list []crash.Suspicion) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for _, s := range list {
		k.tracker.Learn(now, node, s)
	}
}

// Refused reports whether a request has crashed too many servers, and how many.
func (k *Crashes) Refused(f crash.Fingerprint) (bool, int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	suspected, n := k.tracker.Suspect(time.Now(), f)
	return suspected && n >= maxCrashes, n
}

// startRun records that a request is being sent to a server.
func (k *Crashes) startRun(f crash.Fingerprint, server string) crash.RunID {
	k.mu.Lock()
	defer k.mu.Unlock()
	// Servers are not reserved for a single request here, so Start never refuses.
	id, _ := k.tracker.Start(f, server)
	return id
}

// endRun records the outcome of an attempt; connBroke is set if there was no complete failure response.
func (k *Crashes) endRun(id crash.RunID, f crash.Fingerprint, e *index.Entry, o Outcome, connBroke bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	switch {
	case o == Served:
		if cleared := k.tracker.Complete(id, f); len(cleared) > 0 {
			k.deps.Share(cleared)
		}
	case o == Failed && connBroke:
		k.tracker.Break(now, id)
		if now.Sub(k.lastChecked[e.ID]) >= deathCheckInterval {
			k.lastChecked[e.ID] = now
			k.deps.Group().Go("check for a crashed server", func(ctx context.Context) error {
				k.checkServer(ctx, e)
				return nil
			})
		}
	default:
		k.tracker.Abandon(id)
	}
}

// checkServer checks whether a server whose connection broke has died. If so, its requests become suspects.
func (k *Crashes) checkServer(ctx context.Context, e *index.Entry) {
	if !k.deps.Dead(ctx, e) {
		return
	}
	k.mu.Lock()
	found := k.tracker.Died(time.Now(), e.ID)
	if len(k.lastChecked) > maxCheckedServers {
		clear(k.lastChecked)
	}
	k.mu.Unlock()
	for _, s := range found {
		k.deps.Log.Info("request was running on a server that died", "fingerprint", s.Fingerprint, "server", e.ID,
			"change", s.Change, "crashes", s.Crashes)
	}
	if len(found) > 0 {
		k.deps.Share(found)
	}
}

// maxCheckedServers is the size of lastChecked above which a crash clears it.
const maxCheckedServers = 1024

// crashFingerprint returns the fingerprint of a call for the crash tracker.
func crashFingerprint(c *Call) crash.Fingerprint {
	return crash.Fingerprint(strconv.FormatUint(c.Fingerprint, 36))
}
