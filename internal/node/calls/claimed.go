package calls

import (
	"context"
	"strconv"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/node/caller"
	"geraniumhollow/internal/route/claim"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

// claimedCall is a call that runs under a claim.
type claimedCall struct {
	h       *Handler
	c       call
	key     string
	decider *claim.Decider
}

// serveClaimed handles a call on a route that is not repeatable. The actions that the claim protocol requires
// after the reply run as a task of the handler's group.
func (h *Handler) serveClaimed(rc *fasthttp.RequestCtx, c call) {
	cc := &claimedCall{
		h: h, c: c, key: claim.Key(c.account, c.key),
		decider: claim.New(claim.Call{
			Fingerprint: c.fingerprint(), Token: uuid.NewString(), Node: h.deps.Node, RequestID: c.id,
			Timeout: c.timeout(),
		}),
	}
	ctx := h.group.Context()
	act := cc.decider.Start(time.Now())
	for {
		switch v := act.(type) {
		case claim.Stop:
			caller.WriteFault(rc, c.id, fault.New(fault.Internal, fault.Unknown, "the request ended without an answer"))
			return
		case claim.Reply:
			reply(rc, c.id, v)
			cc.finish(cc.decider.Next(time.Now(), claim.Replied{}))
			return
		default:
			act = cc.decider.Next(time.Now(), cc.execute(ctx, act))
		}
	}
}

// headerRetention is the response header with the number of seconds for which an idempotency key prevents its
// call from running again.
const headerRetention = "X-Idempotency-Retention"

func reply(rc *fasthttp.RequestCtx, id string, r claim.Reply) {
	rc.Response.Header.Set(headerRetention, strconv.Itoa(int(claim.Retention.Seconds())))
	if r.Fault != nil {
		caller.WriteFault(rc, id, r.Fault)
		return
	}
	writeAnswer(rc, id, r.Answer.Status, r.Answer.ContentType, r.Answer.Body)
}

// finish runs the actions that remain after the reply as a task of the handler's group.
func (cc *claimedCall) finish(act claim.Action) {
	if _, ok := act.(claim.Stop); ok {
		return
	}
	cc.h.group.Go("finish claim", func(ctx context.Context) error {
		for {
			if _, ok := act.(claim.Stop); ok {
				return nil
			}
			act = cc.decider.Next(time.Now(), cc.executeAfterReply(ctx, act))
		}
	})
}

// executeAfterReply executes an action after the reply. Reads and writes are not cancelled by ctx, so that the final
// state is still written during a planned stop. Waits before another try are cancelled.
func (cc *claimedCall) executeAfterReply(ctx context.Context, act claim.Action) claim.Event {
	if _, ok := act.(claim.Wait); ok {
		return cc.execute(ctx, act)
	}
	return cc.execute(context.WithoutCancel(ctx), act)
}

// execute executes an action of the decider and returns the resulting event.
func (cc *claimedCall) execute(ctx context.Context, act claim.Action) claim.Event {
	switch v := act.(type) {
	case claim.Write:
		ev, err := cc.h.deps.Claims.Write(ctx, cc.key, v)
		cc.logError("writing the claim failed", err)
		return ev
	case claim.Read:
		ev, err := cc.h.deps.Claims.Read(ctx, cc.key, v)
		cc.logError("reading the claim failed", err)
		return ev
	case claim.Send:
		cc.h.deps.Claims.Sent(cc.key, v.Record)
		return cc.send(ctx, v)
	case claim.Wait:
		t := time.NewTimer(v.For)
		defer t.Stop()
		select {
		case <-ctx.Done():
			return claim.Cancelled{}
		case <-t.C:
			return claim.Elapsed{}
		}
	default:
		return claim.Replied{}
	}
}

// send sends the call to the backend servers. The result is NotRun only if it is proven that no server started
// the call.
func (cc *claimedCall) send(ctx context.Context, v claim.Send) claim.Event {
	ctx, cancel := context.WithDeadline(ctx, v.Until)
	defer cancel()
	ans, ferr := cc.h.send(ctx, cc.c)
	if ferr == nil {
		return claim.CallEnded{Result: claim.Answered, Answer: claim.Answer{
			Status: ans.Status, ContentType: ans.ContentType, Body: ans.Body,
		}}
	}
	if ferr.Outcome() == fault.NotRun {
		return claim.CallEnded{Result: claim.NotRun, Fault: ferr}
	}
	return claim.CallEnded{Result: claim.ResultUnknown, Fault: ferr}
}

func (cc *claimedCall) logError(msg string, err error) {
	if err != nil {
		cc.h.deps.Log.Info(msg, "request_id", cc.c.id, "error", err)
	}
}
