package serve

import (
	"context"
	"sync"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/plat/object"
	"geraniumhollow/internal/report/burn"
)

const (
	// burnInterval is the time between snapshots of the counts. A node that is killed loses at most one interval.
	burnInterval = 10 * time.Second
	// burnTimeout limits a write, so that an outage of the object store does not delay a planned stop.
	burnTimeout = 2 * time.Second
)

// burnReporter counts finished requests against the service level objectives and writes the counts to the
// object store. Reports compute from them how fast the error budgets burn.
type burnReporter struct {
	node     *Node
	store    object.Store
	recorder *burn.Recorder

	mu      sync.Mutex
	archive *burn.Archive
	// failing is true after a failed write until the next successful one.
	failing bool
}

func newBurnReporter(n *Node) *burnReporter {
	r := burn.New()
	store := object.New(n.cfg.ObjectAddress)
	return &burnReporter{node: n, store: store, recorder: r, archive: burn.NewArchive(store, r, n.cfg.NodeName, n.incarnation)}
}

// finished counts a finished completion. It ignores requests that the caller abandoned or resumed elsewhere, and
// those that failed because of an error of the caller.
func (b *burnReporter) finished(f relay.CompletionResult) {
	if f.CallerDisconnected || isCallerError(f.Code) {
		return
	}
	req := burn.Request{
		Account: f.Account, Model: f.Model, DataCentre: f.DataCentre,
		FirstToken: f.FirstToken, BetweenTokens: f.BetweenTokens,
	}
	if req.DataCentre == "" {
		req.DataCentre = b.node.cfg.DataCentre
	}
	switch {
	case f.Code == "":
	case f.Code == fault.OutcomeUnknown:
		req.Unknown = true
	case f.Outcome == fault.NotRun && !isFailure(f.Code):
		req.Refused = true
	default:
		req.Failed = true
	}
	b.recorder.Add(b.node.now(), b.node.view.Load().Document().Objectives, req)
}

// isCallerError reports whether the caller caused an error. This includes exceeding the rate limit of the
// client account: otherwise an account could use up its own error budget and raise alerts.
func isCallerError(c fault.Code) bool {
	switch c {
	case fault.BadRequest, fault.Unauthorized, fault.NotFound, fault.ModelNotFound, fault.MethodNotAllowed,
		fault.BodyTooLarge, fault.HeaderTooLarge, fault.HeaderTimeout, fault.RateLimited:
		return true
	default:
		return false
	}
}

// isFailure reports whether an error is a failed request rather than a refusal: attempts failed, the request
// timed out, or the node itself had an internal error.
func isFailure(c fault.Code) bool {
	return c == fault.BackendFailed || c == fault.Timeout || c == fault.Internal
}

// run writes snapshots until ctx ends.
func (b *burnReporter) run(ctx context.Context) error {
	return tasks.Every(ctx, burnInterval, b.write)
}

// write writes a snapshot. An outage of the object store is logged only when it begins and when it ends.
func (b *burnReporter) write(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	b.mu.Lock()
	defer b.mu.Unlock()
	err := b.archive.Write(ctx, b.node.now())
	switch {
	case err != nil && !b.failing:
		b.node.log.Warn("writing burn snapshots failed; retrying at every interval", "error", err)
	case err == nil && b.failing:
		b.node.log.Info("writing burn snapshots succeeded again")
	}
	b.failing = err != nil
}

// load reads the snapshots of all nodes.
func (b *burnReporter) load(ctx context.Context) (burn.Snapshots, error) {
	return burn.Load(ctx, b.store, b.node.now())
}
