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

// maxCrashes is how many backend servers a request may crash before it is refused in the whole fleet.
const maxCrashes = 3

// deathCheck is the least time between two looks at a server whose connections break.
const deathCheck = 300 * time.Millisecond

// CrashDeps are what the suspicion of requests that crash backend servers works with. All are required.
type CrashDeps struct {
	// Dead reports whether the process of a backend server has ended. It may wait for an answer.
	Dead func(ctx context.Context, e *index.Entry) bool
	// Share passes what this node has found out to all other nodes, which call Learn. It must not block.
	Share func(list []crash.Suspicion)
	// Group runs the looks at servers.
	Group func() *tasks.Group
	Log   hclog.Logger
}

// Crashes keeps the suspicion of requests that crash the backend servers that run them. It is safe for
// concurrent use.
type Crashes struct {
	deps CrashDeps

	mu      sync.Mutex
	decider *crash.Decider
	looked  map[string]time.Time
}

// NewCrashes returns a suspicion that knows nothing.
func NewCrashes(d CrashDeps) *Crashes {
	return &Crashes{deps: d, decider: crash.New(), looked: make(map[string]time.Time)}
}

// Learn takes what the node origin has found out.
func (k *Crashes) Learn(origin string, list []crash.Suspicion) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for _, s := range list {
		k.decider.Learn(now, origin, s)
	}
}

// Refused reports whether a request has crashed too many servers, and how many.
func (k *Crashes) Refused(f crash.Fingerprint) (bool, int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	suspected, n := k.decider.Suspect(time.Now(), f)
	return suspected && n >= maxCrashes, n
}

// begin notes that a request is sent to a server.
func (k *Crashes) begin(f crash.Fingerprint, server string) crash.RunID {
	k.mu.Lock()
	defer k.mu.Unlock()
	// No server is held for one request here, so a run can always start.
	id, _ := k.decider.Start(f, server)
	return id
}

// end notes how an attempt ended; broke says that its connection broke.
func (k *Crashes) end(id crash.RunID, f crash.Fingerprint, e *index.Entry, o Outcome, broke bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	switch {
	case o == Served:
		if cleared := k.decider.Complete(id, f); len(cleared) > 0 {
			k.deps.Share(cleared)
		}
	case o == Failed && broke:
		k.decider.Break(now, id)
		if now.Sub(k.looked[e.ID]) >= deathCheck {
			k.looked[e.ID] = now
			k.deps.Group().Go("look at a server", func(ctx context.Context) error {
				k.look(ctx, e)
				return nil
			})
		}
	default:
		k.decider.Abandon(id)
	}
}

// look finds out whether a server whose connection broke has died, and makes suspects of its requests.
func (k *Crashes) look(ctx context.Context, e *index.Entry) {
	if !k.deps.Dead(ctx, e) {
		return
	}
	k.mu.Lock()
	found := k.decider.Died(time.Now(), e.ID)
	if len(k.looked) > maxLooked {
		clear(k.looked)
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

// maxLooked bounds the servers that are remembered.
const maxLooked = 1024

// printOf returns the fingerprint of a call.
func printOf(c *Call) crash.Fingerprint {
	return crash.Fingerprint(strconv.FormatUint(c.Fingerprint, 36))
}
