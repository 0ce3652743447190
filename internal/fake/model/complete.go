package model

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/wire/event"
	"github.com/valyala/fasthttp"
)

// defaultMaxTokens is the length of an answer whose request sets none.
const defaultMaxTokens = 16

// bytesPerToken is the rough size of a prompt token.
const bytesPerToken = 4

// attempt is one completion that the engine runs.
type attempt struct {
	key     string
	id      string
	number  int
	offset  int
	prompt  string
	tokens  int
	faults  Faults
	started time.Time
}

func (e *Engine) serveCompletion(rc *fasthttp.RequestCtx) {
	a, err := parseAttempt(rc)
	if err != nil {
		rc.Response.Header.Set(engine.HeaderNotStarted, "1")
		rc.Error(err.Error(), http.StatusBadRequest)
		return
	}
	ctx, ok := e.start(&a)
	if !ok {
		_ = rc.Conn().Close()
		return
	}
	rc.SetContentType("text/event-stream")
	rc.SetBodyStreamWriter(func(w *bufio.Writer) { e.stream(ctx, w, a) })
}

func parseAttempt(rc *fasthttp.RequestCtx) (attempt, error) {
	var body engine.Body
	if err := json.Unmarshal(rc.PostBody(), &body); err != nil {
		return attempt{}, err //nolint:wrapcheck // The text goes to the peer as it is.
	}
	h := &rc.Request.Header
	a := attempt{id: string(h.Peek(engine.HeaderRequestID)), prompt: body.Prompt, tokens: body.MaxTokens}
	if a.prompt == "" {
		a.prompt = string(body.Messages)
	}
	if a.tokens == 0 {
		a.tokens = defaultMaxTokens
	}
	a.number, _ = strconv.Atoi(string(h.Peek(engine.HeaderAttempt)))
	a.offset, _ = strconv.Atoi(string(h.Peek(engine.HeaderResumeOffset)))
	a.key = runKey(a.id, strconv.Itoa(a.number))
	return a, nil
}

// start books the attempt. It returns false when the attempt crashed the engine.
func (e *Engine) start(a *attempt) (context.Context, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Started++
	e.stats.LastStart = time.Now()
	e.stats.RunsOfPrompt[PromptHash(a.prompt)]++
	ctx, cancel := context.WithCancel(e.alive)
	e.running[a.key] = &run{cancel: cancel, tokens: len(a.prompt)/bytesPerToken + a.tokens}
	a.faults = e.faults
	a.started = time.Now()
	e.seq++
	e.cache = append(e.cache, engine.CacheEvent{Seq: e.seq, Hash: PromptHash(a.prompt), Stored: true})
	if len(e.cache) > maxCacheEvents {
		e.cache = e.cache[len(e.cache)-maxCacheEvents:]
	}
	if e.state == engine.Cold {
		e.stats.MaxColdHeld = max(e.stats.MaxColdHeld, len(e.running))
	}
	if e.overloaded() || (e.faults.CrashOnPrompt != "" && a.prompt == e.faults.CrashOnPrompt) {
		e.stats.Crashes++
		e.kill()
		e.restart(engine.Cold)
		return ctx, false
	}
	return ctx, true
}

// maxCacheEvents is how many cache events a report carries; older ones are lost.
const maxCacheEvents = 64

func (e *Engine) overloaded() bool {
	if e.state == engine.Cold && e.cfg.ColdRequests > 0 && len(e.running) > e.cfg.ColdRequests {
		return true
	}
	return e.cfg.WarmTokens > 0 && e.tokensHeld() > e.cfg.WarmTokens
}

func (e *Engine) finish(a attempt, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r, ok := e.running[a.key]; ok {
		r.cancel()
		delete(e.running, a.key)
	}
	if completed {
		e.stats.Completed++
	}
}

// stream writes the frames of an attempt until its end, a fault, a cancel or a dead connection.
func (e *Engine) stream(ctx context.Context, w *bufio.Writer, a attempt) {
	completed := false
	defer func() { e.finish(a, completed) }()
	if !pause(ctx, e.cfg.FirstToken) {
		return
	}
	var held []byte
	for i := a.offset; i < a.tokens; i++ {
		if a.faults.CutAfterTokens > 0 && i-a.offset >= a.faults.CutAfterTokens {
			return
		}
		if a.faults.Stall {
			<-ctx.Done()
			return
		}
		frames := a.frames(i)
		if a.faults.SwapFrames && held == nil && i+1 < a.tokens {
			held = frames
			continue
		}
		if _, err := w.Write(append(frames, held...)); err != nil || w.Flush() != nil {
			return
		}
		held = nil
		if !pause(ctx, e.cfg.TokenInterval) {
			return
		}
	}
	last := engine.Frame{FinishReason: "length", PromptTokens: len(a.prompt) / bytesPerToken}
	_, _ = w.Write(append(held, a.encode(a.number, a.tokens, last)...))
	completed = w.Flush() == nil
}

// frames returns the wire form of token i, with the faults of the engine.
func (a attempt) frames(i int) []byte {
	f := engine.Frame{Text: Token(a.prompt, i)}
	b := a.encode(a.number, i, f)
	if a.faults.RepeatFrames {
		b = append(b, a.encode(a.number, i, f)...)
	}
	if a.faults.AlienFrames {
		b = append(b, a.encode(a.number+1, i, engine.Frame{Text: "alien "})...)
	}
	return b
}

func (attempt) encode(number, offset int, f engine.Frame) []byte {
	data, err := json.Marshal(f)
	if err != nil {
		return nil
	}
	return event.Append(nil, event.Event{ID: strconv.Itoa(number) + ":" + strconv.Itoa(offset), Data: data})
}

// pause waits for d and reports whether ctx is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
