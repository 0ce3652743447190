package model

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"geraniumhollow/internal/core/tasks"
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
	account string
	resume  string
	conn    net.Conn
	number  int
	offset  int
	prompt  string
	adapter string
	tokens  int
	cached  int
	faults  Faults
	started time.Time
}

func (e *Engine) serveCompletion(rc *fasthttp.RequestCtx) {
	a, err := parseAttempt(rc)
	if err != nil {
		refuse(rc, http.StatusBadRequest)
		return
	}
	ctx, status := e.start(&a)
	switch status {
	case http.StatusOK:
	case statusCrashed:
		_ = rc.Conn().Close()
		return
	case http.StatusInternalServerError:
		rc.SetStatusCode(status)
		return
	default:
		refuse(rc, status)
		return
	}
	rc.SetContentType("text/event-stream")
	rc.SetBodyStreamWriter(func(w *bufio.Writer) { e.stream(ctx, w, a) })
}

// refuse states that the request did not start.
func refuse(rc *fasthttp.RequestCtx, status int) {
	rc.Response.Header.Set(engine.HeaderNotStarted, "1")
	rc.SetStatusCode(status)
}

func parseAttempt(rc *fasthttp.RequestCtx) (attempt, error) {
	var body engine.Body
	if err := json.Unmarshal(rc.PostBody(), &body); err != nil {
		return attempt{}, err //nolint:wrapcheck // The text goes to the peer as it is.
	}
	h := &rc.Request.Header
	a := attempt{
		id: string(h.Peek(engine.HeaderRequestID)), account: string(h.Peek(engine.HeaderAccount)),
		prompt: body.Prompt, adapter: body.Adapter, tokens: body.MaxTokens, resume: body.ResumeText, conn: rc.Conn(),
	}
	if a.prompt == "" {
		a.prompt = string(body.Messages)
	}
	if a.tokens == 0 && a.prompt != "" {
		a.tokens = defaultMaxTokens
	}
	a.number, _ = strconv.Atoi(string(h.Peek(engine.HeaderAttempt)))
	a.offset, _ = strconv.Atoi(string(h.Peek(engine.HeaderResumeOffset)))
	a.key = runKey(a.id, strconv.Itoa(a.number))
	return a, nil
}

// statusCrashed stands for an attempt that gets no answer because it crashed the engine.
const statusCrashed = 0

// start books the attempt and returns the HTTP status of its answer, or statusCrashed.
func (e *Engine) start(a *attempt) (context.Context, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.conns[a.conn] != e.instance:
		return nil, statusCrashed // The connection belongs to an instance that has ended.
	case e.faults.Refuse:
		return nil, http.StatusServiceUnavailable
	case e.faults.Fail:
		e.stats.Started++
		return nil, http.StatusInternalServerError
	case !e.canResume(a):
		return nil, http.StatusConflict
	}
	e.book(a)
	ctx, cancel := context.WithCancel(e.alive)
	e.running[a.key] = &run{cancel: cancel, done: make(chan struct{}), tokens: len(a.prompt)/bytesPerToken + a.tokens}
	if e.state == engine.Cold {
		e.stats.MaxColdHeld = max(e.stats.MaxColdHeld, len(e.running))
	}
	if e.overloaded() || e.crashesOn(a.prompt) {
		e.crash()
		return ctx, statusCrashed
	}
	return ctx, http.StatusOK
}

// crashesOn reports whether a prompt kills the engine.
func (e *Engine) crashesOn(prompt string) bool {
	f := e.faults
	return f.CrashOnPrompt != "" && prompt == f.CrashOnPrompt || f.CrashOnPrefix != "" && strings.HasPrefix(prompt, f.CrashOnPrefix)
}

// canResume completes an attempt past offset 0 from what the instance knows. Without the text of the
// answer so far, only a request that this instance has run can be resumed.
func (e *Engine) canResume(a *attempt) bool {
	if a.offset == 0 {
		return a.prompt != ""
	}
	k, ok := e.known[a.id]
	if ok && k.account == a.account {
		a.prompt, a.tokens = k.prompt, k.tokens
		return a.resume == "" || a.resume == Answer(a.prompt, a.offset)
	}
	return a.prompt != "" && a.resume == Answer(a.prompt, a.offset)
}

// maxKnown bounds the requests that an instance can resume by itself.
const maxKnown = 4096

// book counts an attempt that starts.
func (e *Engine) book(a *attempt) {
	a.faults = e.faults
	a.started = time.Now()
	e.stats.Started++
	e.stats.LastStart = a.started
	e.stats.RunsOfPrompt[PromptHash(a.prompt)]++
	if a.offset > 0 {
		e.stats.Resumed++
		if a.resume == "" {
			e.stats.ResumedAlone++
		}
	}
	if _, ok := e.known[a.id]; !ok {
		e.knownIDs = append(e.knownIDs, a.id)
	}
	e.known[a.id] = known{account: a.account, prompt: a.prompt, tokens: a.tokens}
	if len(e.knownIDs) > maxKnown {
		delete(e.known, e.knownIDs[0])
		e.knownIDs = e.knownIDs[1:]
	}
	a.cached = e.cache.use(e.cfg.Model, e.cfg.Version, a.adapter, a.prompt)
	e.stats.PromptTokens += len(a.prompt) / bytesPerToken
	e.stats.CachedTokens += a.cached
}

// crash ends the instance. The engine is locked.
func (e *Engine) crash() {
	e.stats.Crashes++
	e.kill()
	e.restart(engine.Cold)
}

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
		close(r.done)
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
	if !tasks.Sleep(ctx, e.cfg.FirstToken) {
		return
	}
	var held []byte
	for i := a.offset; i < a.tokens; i++ {
		if !e.misbehave(ctx, w, a, i-a.offset) {
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
		if !tasks.Sleep(ctx, e.cfg.TokenInterval) {
			return
		}
	}
	last := engine.Frame{
		FinishReason: "length", PromptTokens: len(a.prompt) / bytesPerToken, CachedTokens: a.cached,
	}
	_, _ = w.Write(append(held, a.encode(a.number, a.tokens, last)...))
	completed = w.Flush() == nil
}

// misbehave does what the faults demand after n tokens of an attempt and reports whether its stream goes
// on.
func (e *Engine) misbehave(ctx context.Context, w *bufio.Writer, a attempt, n int) bool {
	f := a.faults
	switch {
	case f.CutAfterTokens > 0 && n >= f.CutAfterTokens:
		return false
	case f.Stall || (f.StallAfterTokens > 0 && n >= f.StallAfterTokens):
		<-ctx.Done()
		return false
	case f.CrashAfterTokens > 0 && n >= f.CrashAfterTokens:
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.conns[a.conn] == e.instance {
			e.crash()
		}
		return false
	case f.Garbage > 0 && n == f.Garbage:
		_, err := w.WriteString("id: x\ndata: {\n\n")
		return err == nil
	}
	return true
}

// frames returns the wire form of token i, with the faults of the engine.
func (a attempt) frames(i int) []byte {
	if a.faults.DropToken > 0 && i%a.faults.DropToken == 0 {
		return nil
	}
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
