package serve

import (
	"context"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/caller"
	"geraniumhollow/internal/node/calls"
	"geraniumhollow/internal/plat/object"
	"geraniumhollow/internal/route/claim"
	"geraniumhollow/internal/route/retry"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// services returns the handler for calls to plain services. Like completions, these calls count as running
// requests during a planned stop, and are refused while the node drains or is isolated.
func (n *Node) services(g *tasks.Group, coord *coordinator, obs observer) (caller.ServiceHandler, error) {
	claims, err := claim.NewStore(n.parts.Table, object.New(n.cfg.ObjectAddress))
	if err != nil {
		return nil, errors.Newf("build services: %w", err)
	}
	g.Go("claims", claims.Run)
	g.Go("sweep", func(ctx context.Context) error { return coord.sweep(ctx, claims) })
	h := calls.New(g, calls.Deps{
		Log: n.log.Named("calls"), Node: n.cfg.NodeName, View: n.view.Load, Claims: claims,
		Budget: retry.NewBudget(), OnAttempt: obs.callAttempted,
	})
	return func(rc *fasthttp.RequestCtx, requestID string, a schema.Account) {
		n.running.Add(1)
		defer n.running.Add(-1)
		if err := n.refusal(); err != nil {
			caller.WriteFault(rc, requestID, err)
			return
		}
		h.Serve(rc, requestID, a)
	}, nil
}
