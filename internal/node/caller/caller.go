// Package caller is the HTTP interface for callers: completions, models, plain services and the
// outcome of requests.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/route/stream"
	"geraniumhollow/internal/wire/event"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

// Bounds of the HTTP server.
const (
	maxHeaderBytes = 8 << 10
	maxBodyBytes   = 64 << 20
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	concurrency    = 16 << 10
)

// defaultMaxTokens is the length of an answer whose request sets none.
const defaultMaxTokens = 256

// Server answers callers.
type Server struct {
	ctx   context.Context
	log   hclog.Logger
	node  string
	view  func() *view.View
	relay *relay.Relay
	srv   *fasthttp.Server
}

// New returns a server whose requests end with ctx. node is the name that request ids carry.
func New(ctx context.Context, log hclog.Logger, node string, current func() *view.View, rl *relay.Relay) *Server {
	s := &Server{ctx: ctx, log: log, node: node, view: current, relay: rl}
	rt := router.New()
	rt.GET("/healthz", func(rc *fasthttp.RequestCtx) { rc.SetStatusCode(http.StatusOK) })
	rt.GET("/v1/models", s.withAccount(s.models))
	rt.POST("/v1/completions", s.withAccount(s.completion(completionShape{})))
	rt.POST("/v1/chat/completions", s.withAccount(s.completion(chatShape{})))
	rt.NotFound = func(rc *fasthttp.RequestCtx) {
		writeFault(rc, "", fault.New(fault.NotFound, fault.NotRun, "no such path"))
	}
	s.srv = &fasthttp.Server{
		Handler:               rt.Handler,
		ReadBufferSize:        maxHeaderBytes,
		MaxRequestBodySize:    maxBodyBytes,
		ReadTimeout:           headerTimeout,
		IdleTimeout:           idleTimeout,
		Concurrency:           concurrency,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return s
}

// Serve answers callers on ln until the context of the server ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.srv.Shutdown() })
	defer stop()
	if err := s.srv.Serve(ln); err != nil {
		return errors.Newf("serve callers: %w", err)
	}
	return nil
}

// handler answers a request of an authenticated account.
type handler func(rc *fasthttp.RequestCtx, id string, a schema.Account)

// withAccount authenticates a request by its bearer key.
func (s *Server) withAccount(h handler) fasthttp.RequestHandler {
	return func(rc *fasthttp.RequestCtx) {
		id := s.node + "-" + uuid.NewString()
		key, ok := strings.CutPrefix(string(rc.Request.Header.Peek("Authorization")), "Bearer ")
		if !ok {
			writeFault(rc, id, fault.New(fault.Unauthorized, fault.NotRun, "a bearer key is required"))
			return
		}
		a, ok := s.view().AccountByKey(key)
		if !ok {
			writeFault(rc, id, fault.New(fault.Unauthorized, fault.NotRun, "the bearer key is not known"))
			return
		}
		h(rc, id, a)
	}
}

// modelEntry is one entry of the model list.
type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func (s *Server) models(rc *fasthttp.RequestCtx, _ string, _ schema.Account) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range s.view().Document().Models {
		list.Data = append(list.Data, modelEntry{ID: m.Name, Object: "model"})
	}
	writeJSON(rc, http.StatusOK, list)
}

// completionBody is the JSON body of a completion or a chat completion.
type completionBody struct {
	Model     string          `json:"model"`
	Prompt    string          `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Seed      int64           `json:"seed"`
}

func (s *Server) completion(sh shape) handler {
	return func(rc *fasthttp.RequestCtx, id string, a schema.Account) {
		var body completionBody
		if err := json.Unmarshal(rc.PostBody(), &body); err != nil {
			writeFault(rc, id, fault.New(fault.BadRequest, fault.NotRun, "the body is not valid JSON"))
			return
		}
		if _, ok := s.view().Model(body.Model); !ok {
			writeFault(rc, id, fault.New(fault.ModelNotFound, fault.NotRun, "the model is not known"))
			return
		}
		c := relay.Completion{
			ID: id, Account: a, Model: body.Model, Prompt: body.Prompt, Messages: bytes.Clone(body.Messages),
			MaxTokens: body.MaxTokens, Seed: body.Seed, Priority: a.Priority,
		}
		if c.MaxTokens == 0 {
			c.MaxTokens = defaultMaxTokens
		}
		if body.Stream {
			s.streamed(rc, c, sh)
			return
		}
		s.whole(rc, c, sh)
	}
}

// whole answers with one JSON body.
func (s *Server) whole(rc *fasthttp.RequestCtx, c relay.Completion, sh shape) {
	var text []byte
	var finish string
	err := s.relay.Complete(s.ctx, c, func(f stream.Frame) error {
		text = append(text, f.Text...)
		finish = f.Finish
		return nil
	})
	if err != nil {
		writeFault(rc, c.ID, err)
		return
	}
	rc.Response.Header.Set("X-Request-Id", c.ID)
	writeJSON(rc, http.StatusOK, sh.whole(c, string(text), finish))
}

// streamed answers with server-sent events whose ids are <request id>:<offset>.
func (s *Server) streamed(rc *fasthttp.RequestCtx, c relay.Completion, sh shape) {
	rc.Response.Header.Set("X-Request-Id", c.ID)
	rc.SetContentType("text/event-stream")
	rc.Response.Header.Set("Cache-Control", "no-store")
	rc.SetBodyStreamWriter(func(w *bufio.Writer) {
		var buf []byte
		err := s.relay.Complete(s.ctx, c, func(f stream.Frame) error {
			id := c.ID + ":" + strconv.Itoa(f.Offset)
			buf = event.Append(buf[:0], event.Event{ID: id, Data: encode(sh.chunk(c, f))})
			if _, err := w.Write(buf); err != nil {
				return errors.Newf("write event: %w", err)
			}
			if err := w.Flush(); err != nil {
				return errors.Newf("flush event: %w", err)
			}
			return nil
		})
		if err != nil {
			_, _ = w.Write(event.Append(nil, event.Event{Data: encode(faultBody(c.ID, err))}))
			return
		}
		_, _ = w.Write(event.Append(nil, event.Event{Data: []byte("[DONE]")}))
	})
}
