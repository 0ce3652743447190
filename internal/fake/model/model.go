// Package model is a stand-in for a model engine. Its answers are a pure function of the prompt, so
// that a test can check every token of an answer whichever engine gave it.
package model

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"geraniumhollow/internal/core/httpd"
	"geraniumhollow/internal/plat/engine"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"
)

// Config shapes an engine.
type Config struct {
	Group      string
	Generation uint64
	Hosts      []string
	Model      string
	Version    string
	Adapters   []string
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// FirstToken is the time to the first token, after queueing.
	FirstToken time.Duration
	// ColdRequests is what the engine bears while cold; more crash it. 0 bears anything.
	ColdRequests int
	// WarmTokens is how many tokens the engine holds before it runs out of memory; 0 is no limit.
	WarmTokens int
	// ReportLag is how old a load report is.
	ReportLag time.Duration
}

// Stats counts what an engine has seen.
type Stats struct {
	Started   int
	Completed int
	// Cancelled counts the cancels that ended a run.
	Cancelled int
	// Resumed counts the attempts that started past offset 0, and ResumedAlone those without text.
	Resumed      int
	ResumedAlone int
	MaxColdHeld  int
	Crashes      int
	LastStart    time.Time
	RunsOfPrompt map[uint64]int
	// PromptTokens are the tokens of all prompts, CachedTokens those of them that were in the cache.
	PromptTokens int
	CachedTokens int
}

// Engine is one model engine. It is safe for concurrent use.
type Engine struct {
	cfg Config

	mu       sync.Mutex
	instance string
	state    engine.State
	running  map[string]*run
	// known are the requests that the instance can resume by itself, oldest first in knownIDs.
	known    map[string]known
	knownIDs []string
	// conns are the open connections with the instance that accepted each.
	conns    map[net.Conn]string
	members  []engine.Member
	stats    Stats
	faults   Faults
	cache    *blockCache
	kill     context.CancelFunc
	alive    context.Context
	lagged   engine.Report
	laggedAt time.Time
	orders   Orders
	memory   memory
}

// run is one attempt that the engine is working on.
type run struct {
	cancel context.CancelFunc
	tokens int
	// done is closed when the attempt has ended.
	done chan struct{}
}

// known is a request that an instance has run.
type known struct {
	account string
	prompt  string
	tokens  int
}

// Faults are what an engine does wrong. The zero value does nothing wrong.
type Faults struct {
	// CutAfterTokens ends each stream after this many tokens without a last frame.
	CutAfterTokens int
	// RepeatFrames sends every frame twice.
	RepeatFrames bool
	// SwapFrames sends each pair of frames in the wrong order.
	SwapFrames bool
	// AlienFrames puts frames of another attempt between the right ones.
	AlienFrames bool
	// CrashOnPrompt kills the engine when it runs a prompt with this text.
	CrashOnPrompt string
	// CrashOnPrefix kills the engine when it runs a prompt that begins with this text.
	CrashOnPrefix string
	// Stall stops the tokens of every stream.
	Stall bool
	// StallAfterTokens stops each stream after this many tokens and leaves it open.
	StallAfterTokens int
	// CrashAfterTokens kills the engine when a stream has had this many tokens.
	CrashAfterTokens int
	// DropToken leaves out every token whose offset is a multiple of it.
	DropToken int
	// Garbage sends a frame that cannot be decoded after this many tokens.
	Garbage int
	// Refuse answers 503 and states that the request did not start.
	Refuse bool
	// Fail answers 500 and states nothing.
	Fail bool
}

// New returns an engine in the given state with a fresh instance id.
func New(cfg Config, state engine.State) *Engine {
	e := &Engine{
		cfg: cfg, stats: Stats{RunsOfPrompt: make(map[uint64]int)}, conns: make(map[net.Conn]string),
	}
	e.restart(state)
	return e
}

// Restart gives the engine empty memory and a new instance id; its streams end.
func (e *Engine) Restart(state engine.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kill()
	e.restart(state)
}

func (e *Engine) restart(state engine.State) {
	e.instance = uuid.NewString()
	for nc := range e.conns {
		_ = nc.Close()
	}
	e.known, e.knownIDs = make(map[string]known), nil
	e.state = state
	e.running = make(map[string]*run)
	e.cache = newBlockCache()
	e.memory = memory{}
	e.laggedAt = time.Time{}
	e.members = e.members[:0]
	for _, h := range e.cfg.Hosts {
		e.members = append(e.members, engine.Member{Host: h, Group: e.cfg.Group, Generation: e.cfg.Generation})
	}
	e.alive, e.kill = context.WithCancel(context.Background())
}

// SetState changes the state without a restart.
func (e *Engine) SetState(state engine.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = state
}

// SetFaults replaces the faults of the engine.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetMembers replaces what the hosts of the group report.
func (e *Engine) SetMembers(members []engine.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.members = slices.Clone(members)
}

// Instance returns the id of the instance that runs now.
func (e *Engine) Instance() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance
}

// Running returns the number of attempts that run now.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// Stats returns a copy of the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.RunsOfPrompt = make(map[uint64]int, len(e.stats.RunsOfPrompt))
	for k, v := range e.stats.RunsOfPrompt {
		s.RunsOfPrompt[k] = v
	}
	return s
}

// Serve answers the engine protocol on ln until ctx ends.
func (e *Engine) Serve(ctx context.Context, ln net.Listener) error {
	srv := &fasthttp.Server{
		Handler: e.handle, Concurrency: maxConcurrency, CloseOnShutdown: true, ConnState: e.connState,
	}
	stop := context.AfterFunc(ctx, func() {
		e.mu.Lock()
		e.kill()
		e.mu.Unlock()
	})
	defer stop()
	if err := httpd.Serve(ctx, srv, ln); err != nil {
		return errors.Newf("serve engine stand-in: %w", err)
	}
	return nil
}

// maxConcurrency bounds the connections of one engine.
const maxConcurrency = 4096

// connState keeps the open connections, which break when the engine restarts.
func (e *Engine) connState(nc net.Conn, state fasthttp.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		e.conns[nc] = e.instance
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(e.conns, nc)
	default:
	}
}

func (e *Engine) handle(rc *fasthttp.RequestCtx) {
	e.mu.Lock()
	rc.Response.Header.Set(engine.HeaderInstance, e.instance)
	rc.Response.Header.Set(engine.HeaderState, string(e.state))
	e.mu.Unlock()
	switch string(rc.Path()) {
	case engine.PathLoad:
		e.serveLoad(rc)
	case engine.PathCompletions:
		e.serveCompletion(rc)
	case engine.PathCancel:
		e.serveCancel(rc)
	case engine.PathOrders:
		e.serveOrder(rc)
	default:
		rc.SetStatusCode(http.StatusNotFound)
	}
}

func (e *Engine) serveLoad(rc *fasthttp.RequestCtx) {
	e.mu.Lock()
	r := e.report()
	e.mu.Unlock()
	body, err := json.Marshal(r)
	if err != nil {
		rc.SetStatusCode(http.StatusInternalServerError)
		return
	}
	rc.SetContentType("application/json")
	rc.SetBody(body)
}

// report returns the load report, which is up to ReportLag old.
func (e *Engine) report() engine.Report {
	now := time.Now()
	e.carryOut(now)
	if e.laggedAt.IsZero() || now.Sub(e.laggedAt) >= e.cfg.ReportLag {
		e.lagged = e.freshReport()
		e.laggedAt = now
	}
	r := e.lagged
	r.AgeMs = now.Sub(e.laggedAt).Milliseconds()
	return r
}

func (e *Engine) freshReport() engine.Report {
	return engine.Report{
		Instance:      e.instance,
		State:         e.state,
		Running:       len(e.running),
		TokensHeld:    e.tokensHeld(),
		TokenCapacity: e.cfg.WarmTokens,
		Model:         e.cfg.Model,
		Version:       e.cfg.Version,
		Adapters:      e.cfg.Adapters,
		Loaded:        slices.Clone(e.memory.loaded),
		Members:       e.reportedMembers(),
		CacheEvents:   slices.Clone(e.cache.events),
	}
}

func (e *Engine) tokensHeld() int {
	n := 0
	for _, r := range e.running {
		n += r.tokens
	}
	return n
}

func (e *Engine) serveCancel(rc *fasthttp.RequestCtx) {
	key := runKey(string(rc.Request.Header.Peek(engine.HeaderRequestID)), string(rc.Request.Header.Peek(engine.HeaderAttempt)))
	e.mu.Lock()
	r, ok := e.running[key]
	if ok {
		e.stats.Cancelled++
		r.cancel()
	}
	e.mu.Unlock()
	if !ok {
		return
	}
	// The answer tells the sender that the attempt no longer runs.
	select {
	case <-r.done:
	case <-time.After(cancelWait):
		rc.SetStatusCode(http.StatusServiceUnavailable)
	}
}

// cancelWait bounds the wait for the end of a cancelled attempt.
const cancelWait = time.Second

func runKey(id, attempt string) string { return id + "/" + attempt }

// Token returns token i of the answer to a prompt.
func Token(prompt string, i int) string {
	h := xxh3.HashString(prompt + "#" + strconv.Itoa(i))
	return fmt.Sprintf("w%04x ", h&0xffff)
}

// tokenBytes is the length of a token.
const tokenBytes = len("w0000 ")

// Answer returns the first n tokens of the answer to a prompt.
func Answer(prompt string, n int) string {
	b := make([]byte, 0, n*tokenBytes)
	for i := range n {
		b = append(b, Token(prompt, i)...)
	}
	return string(b)
}

// PromptHash returns the key under which Stats counts the runs of a prompt.
func PromptHash(prompt string) uint64 { return xxh3.HashString(prompt) }
