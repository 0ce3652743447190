package pass

import (
	"context"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/route/crash"
	"github.com/cockroachdb/errors"
)

// Values of Retry-After for requests with a quarantined part. Until the next trial they are certain to be refused.
const (
	minRetryAfterQuarantine = time.Second
	maxRetryAfterQuarantine = 30 * time.Second
)

// claimRetryDelay is the minimum time between attempts of this node to claim the trial of a part.
const claimRetryDelay = time.Second

// errQuarantined is the cancellation cause of an attempt when a part of its prompt has been quarantined.
var errQuarantined = errors.New("a part of the prompt has been quarantined")

// Quarantines returns the quarantined parts.
func (c *CrashTracker) Quarantines() []crash.Quarantine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parts.Quarantines(time.Now())
}

// LearnStored applies stored quarantines, which may be older than what this node knows, and returns those that it did not
// know.
func (c *CrashTracker) LearnStored(list []crash.Quarantine) []crash.Quarantine {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var learned []crash.Quarantine
	var parts []crash.Part
	for _, q := range list {
		if c.parts.LearnStored(now, q) {
			learned, parts = append(learned, q), append(parts, q.Part)
		}
	}
	c.cancelWaiting(parts)
	c.logQuarantined(parts, "store")
	return learned
}

// Check returns the reason for refusing a request with the given shared parts, or nil. It reports whether the request
// would be the trial of a quarantined part; Admit claims the trial.
func (c *CrashTracker) Check(parts []crash.Part) (bool, *fault.Error) {
	if len(parts) == 0 {
		return false, nil
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p, wait := c.parts.Check(now, parts)
	switch {
	case p == "":
		return false, nil
	case c.mayClaim(now, p, wait):
		return true, nil
	default:
		return false, refuseQuarantined(p, wait)
	}
}

// mayClaim reports whether this node may claim the trial of a part that is due after wait. The lock must be held.
func (c *CrashTracker) mayClaim(now time.Time, p crash.Part, wait time.Duration) bool {
	return wait == 0 && !c.claiming.Has(p) && !now.Before(c.claimAt[p])
}

// Admit returns the reason for refusing a request with the given shared parts that is about to be sent, or nil. If the
// trial of a quarantined part is due, it claims the trial for the request, which may block on the store.
func (c *CrashTracker) Admit(ctx context.Context, request string, parts []crash.Part) *fault.Error {
	p, wait, number := c.beginClaim(parts)
	if p == "" {
		return nil
	}
	if number == 0 {
		return refuseQuarantined(p, wait)
	}
	claimed := c.deps.ClaimTrial(ctx, p, number)
	now := time.Now()
	c.mu.Lock()
	c.claiming.Remove(p)
	if claimed {
		c.parts.TrialStarted(now, p, number)
	}
	_, wait = c.parts.Check(now, parts)
	c.mu.Unlock()
	c.deps.Log.Info("trial of a quarantined prompt part", "request", request, "part", p, "trial", number, "claimed", claimed)
	if !claimed {
		return refuseQuarantined(p, wait)
	}
	c.deps.Share(crash.Findings{Quarantines: []crash.Quarantine{{Part: p, Trials: number}}})
	return nil
}

// beginClaim returns the quarantined part of a prompt, "" if there is none, and the time until its next trial. If the
// trial is due and this node may claim it, it also returns the number of the trial, and the caller must claim it.
func (c *CrashTracker) beginClaim(parts []crash.Part) (crash.Part, time.Duration, int) {
	if len(parts) == 0 {
		return "", 0, 0
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p, wait := c.parts.Check(now, parts)
	if p == "" || !c.mayClaim(now, p, wait) {
		return p, wait, 0
	}
	for q, at := range c.claimAt {
		if now.After(at) {
			delete(c.claimAt, q)
		}
	}
	c.claiming.Add(p)
	c.claimAt[p] = now.Add(claimRetryDelay)
	return p, 0, c.parts.Trials(p) + 1
}

func refuseQuarantined(p crash.Part, wait time.Duration) *fault.Error {
	return fault.New(fault.PromptQuarantined, fault.NotRun, "a part of the prompt has crashed backend servers").
		WithRetryAfter(min(max(wait, minRetryAfterQuarantine), maxRetryAfterQuarantine)).WithCause(errors.Newf("part %s", p))
}

// cancelWaiting cancels the attempts with a part that was just quarantined whose servers have not begun to answer. The
// lock must be held.
func (c *CrashTracker) cancelWaiting(parts []crash.Part) {
	for _, p := range parts {
		for _, id := range c.tracker.Waiting(p) {
			if cancel, ok := c.cancels[id]; ok {
				cancel(errQuarantined)
			}
		}
	}
}

func (c *CrashTracker) logQuarantined(parts []crash.Part, from string) {
	for _, p := range parts {
		c.deps.Log.Warn("quarantined a prompt part that crashes servers", "part", p, "from", from)
	}
}
