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

// attempt is one attempt to run a call under a claim.
type attempt struct {
	h       *Handler
	c       call
	key     string
	decider *claim.Decider
}

// claimed runs a call that may not be repeated. What the protocol does after the reply runs in the
// handler's group.
func (h *Handler) claimed(rc *fasthttp.RequestCtx, c call) {
	a := &attempt{
		h: h, c: c, key: claim.Key(c.account, c.key),
		decider: claim.New(claim.Call{
			Fingerprint: c.fingerprint(), Token: uuid.NewString(), Node: h.deps.Node, RequestID: c.id,
			Timeout: c.timeout(),
		}),
	}
	ctx := h.group.Context()
	act := a.decider.Start(time.Now())
	for {
		switch v := act.(type) {
		case claim.Stop:
			caller.WriteFault(rc, c.id, fault.New(fault.Internal, fault.Unknown, "the request ended without an answer"))
			return
		case claim.Reply:
			reply(rc, c.id, v)
			a.finish(a.decider.Next(time.Now(), claim.Replied{}))
			return
		default:
			act = a.decider.Next(time.Now(), a.carryOut(ctx, act))
		}
	}
}

// headerRetention tells callers for how many seconds a key keeps its call from running again.
const headerRetention = "X-Idempotency-Retention"

func reply(rc *fasthttp.RequestCtx, id string, r claim.Reply) {
	rc.Response.Header.Set(headerRetention, strconv.Itoa(int(claim.Retention.Seconds())))
	if r.Fault != nil {
		caller.WriteFault(rc, id, r.Fault)
		return
	}
	writeAnswer(rc, id, r.Answer.Status, r.Answer.ContentType, r.Answer.Body)
}

// finish carries out the actions after the reply.
func (a *attempt) finish(act claim.Action) {
	if _, ok := act.(claim.Stop); ok {
		return
	}
	a.h.group.Go("finish claim", func(ctx context.Context) error {
		for {
			if _, ok := act.(claim.Stop); ok {
				return nil
			}
			act = a.decider.Next(time.Now(), a.carryOutLater(ctx, act))
		}
	})
}

// carryOutLater is carryOut after the reply. Writes and reads outlive ctx, so that a planned stop still
// writes the final state; waits for another try do not.
func (a *attempt) carryOutLater(ctx context.Context, act claim.Action) claim.Event {
	if _, ok := act.(claim.Wait); ok {
		return a.carryOut(ctx, act)
	}
	return a.carryOut(context.WithoutCancel(ctx), act)
}

// carryOut does what the decider asks for.
func (a *attempt) carryOut(ctx context.Context, act claim.Action) claim.Event {
	switch v := act.(type) {
	case claim.Write:
		ev, err := a.h.deps.Claims.Write(ctx, a.key, v)
		a.logError("claim not written", err)
		return ev
	case claim.Read:
		ev, err := a.h.deps.Claims.Read(ctx, a.key, v)
		a.logError("claim not read", err)
		return ev
	case claim.Send:
		return a.send(ctx, v)
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

// send runs the call. Only proof that no backend server started it counts as not run.
func (a *attempt) send(ctx context.Context, v claim.Send) claim.Event {
	ctx, cancel := context.WithDeadline(ctx, v.Until)
	defer cancel()
	ans, ferr := a.h.send(ctx, a.c)
	if ferr == nil {
		return claim.CallEnded{Result: claim.Answered, Answer: claim.Answer{
			Status: ans.Status, ContentType: ans.ContentType, Body: ans.Body,
		}}
	}
	if ferr.Outcome() == fault.NotRun {
		return claim.CallEnded{Result: claim.NotRun, Fault: ferr}
	}
	return claim.CallEnded{Result: claim.Lost, Fault: ferr}
}

func (a *attempt) logError(msg string, err error) {
	if err != nil {
		a.h.deps.Log.Info(msg, "request_id", a.c.id, "error", err)
	}
}
