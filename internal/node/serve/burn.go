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
	// burnInterval is the time between snapshots; a node that is killed loses at most one interval.
	burnInterval = 10 * time.Second
	// burnTimeout bounds a write, so that a store outage does not hold up a planned stop.
	burnTimeout = 2 * time.Second
)

// burns counts finished requests against the objectives and writes the counts to the object store.
type burns struct {
	node     *Node
	store    object.Store
	recorder *burn.Recorder

	mu      sync.Mutex
	archive *burn.Archive
	// failing is set from a failed write to the next one that succeeds.
	failing bool
}

func newBurns(n *Node) *burns {
	r := burn.New()
	store := object.New(n.cfg.ObjectAddress)
	return &burns{node: n, store: store, recorder: r, archive: burn.NewArchive(store, r, n.cfg.NodeName, n.incarnation)}
}

// finished counts a completion.
func (b *burns) finished(f relay.Finished) {
	if f.CallerGone || ownMistake(f.Code) {
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
	case f.Outcome == fault.NotRun && !failure(f.Code):
		req.Refused = true
	default:
		req.Failed = true
	}
	b.recorder.Add(b.node.now(), b.node.view.Load().Document().Objectives, req)
}

// ownMistake reports whether an error is the caller's own. That includes requests beyond the rate of the
// client account: otherwise one account could spend its error budget, and raise alerts, by itself.
func ownMistake(c fault.Code) bool {
	switch c {
	case fault.BadRequest, fault.Unauthorized, fault.NotFound, fault.ModelNotFound, fault.MethodNotAllowed,
		fault.BodyTooLarge, fault.HeaderTooLarge, fault.HeaderTimeout, fault.RateLimited:
		return true
	default:
		return false
	}
}

// failure reports whether an error follows attempts, or a fault of the node, rather than a decision to
// refuse.
func failure(c fault.Code) bool {
	return c == fault.BackendFailed || c == fault.Timeout || c == fault.Internal
}

// run writes snapshots until ctx ends.
func (b *burns) run(ctx context.Context) error {
	return tasks.Every(ctx, burnInterval, b.write)
}

// write writes a snapshot. An outage of the store is logged when it begins and when it ends.
func (b *burns) write(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	b.mu.Lock()
	defer b.mu.Unlock()
	err := b.archive.Write(ctx, b.node.now())
	switch {
	case err != nil && !b.failing:
		b.node.log.Warn("burn snapshots cannot be written", "error", err)
	case err == nil && b.failing:
		b.node.log.Info("burn snapshots are written again")
	}
	b.failing = err != nil
}

// load reads the snapshots of all nodes.
func (b *burns) load(ctx context.Context) (burn.Snapshots, error) {
	return burn.Load(ctx, b.store, b.node.now())
}
