package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/delta"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/report/reason"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// Paths of the API.
const (
	PathConfig   = "/api/config"
	PathHistory  = "/api/config/history"
	PathVersions = "/api/config/versions/"
	PathDiff     = "/api/config/diff"
	PathValidate = "/api/config/validate"
	PathApply    = "/api/config/apply"
	PathStatus   = "/api/status"
	PathFleet    = "/api/fleet"
	PathExplain  = "/api/explain"
	PathBurn     = "/api/burn"
)

// Default and maximum lengths of lists.
const (
	defaultHistoryEntries = 20
	defaultExplainEntries = 100
	maxListEntries        = 1000
)

// CurrentReply is the current configuration.
type CurrentReply struct {
	Version uint64 `json:"version"`
	// Stale is set if the table service does not answer and this is the last version known to the node.
	Stale    bool             `json:"stale,omitempty"`
	Document *schema.Document `json:"document"`
}

// VersionSummary is an entry of the version history.
type VersionSummary struct {
	Version uint64    `json:"version"`
	Base    uint64    `json:"base"`
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
}

// DiffReply lists the differences between two versions.
type DiffReply struct {
	From    uint64         `json:"from"`
	To      uint64         `json:"to"`
	Changes []delta.Change `json:"changes"`
}

// ApplyBody is a request to commit a document as the version after base.
type ApplyBody struct {
	Base     *uint64         `json:"base"`
	Author   string          `json:"author"`
	Document json.RawMessage `json:"document"`
}

// ApplyReply is the response to an accepted change.
type ApplyReply struct {
	Version uint64 `json:"version"`
}

// ValidReply is the response to a valid document.
type ValidReply struct {
	Valid bool `json:"valid"`
}

// apiHandler handles an API call and returns the response value or a problem.
type apiHandler func(ctx context.Context, rc *fasthttp.RequestCtx) (any, *Problem)

func (s *Server) apiRoutes(rt *router.Router) {
	rt.GET(PathConfig, s.api(s.apiCurrent))
	rt.GET(PathHistory, s.api(s.apiHistory))
	rt.GET(PathVersions+"{version}", s.api(s.apiVersion))
	rt.GET(PathDiff, s.api(s.apiDiff))
	rt.POST(PathValidate, s.api(s.apiValidate))
	rt.POST(PathApply, s.api(s.apiApply))
	rt.GET(PathStatus, s.api(s.apiStatus))
	rt.GET(PathFleet, s.api(s.apiFleet))
	rt.GET(PathExplain, s.api(s.apiExplain))
	rt.GET(PathBurn, s.api(s.apiBurn))
}

// api requires the operator key as a bearer token. Session cookies are not accepted, so that pages of other
// sites cannot call the API.
func (s *Server) api(h apiHandler) fasthttp.RequestHandler {
	return func(rc *fasthttp.RequestCtx) {
		if p := s.checkKey(rc); p != nil {
			writeProblem(rc, p)
			return
		}
		ctx, cancel := s.callContext()
		defer cancel()
		v, p := h(ctx, rc)
		if p != nil {
			writeProblem(rc, p)
			return
		}
		writeJSON(rc, http.StatusOK, v)
	}
}

// noKeyHelp explains how to set the operator key.
const noKeyHelp = "Make a key, start the node with GERANIUMHOLLOW_OPERATOR_KEY_HASH set to its SHA-256 " +
	"(printf %s \"$KEY\" | sha256sum), and use the key itself as the operator key."

func (s *Server) checkKey(rc *fasthttp.RequestCtx) *Problem {
	if !s.auth.configured() {
		return problem(http.StatusForbidden, CodeNoKey, "this node has no operator key", noKeyHelp)
	}
	if !s.auth.bearer(&rc.Request.Header) {
		return problem(http.StatusUnauthorized, CodeWrongKey, "the operator key is missing or wrong",
			"Send the operator key as Authorization: Bearer.")
	}
	return nil
}

func (s *Server) apiCurrent(ctx context.Context, _ *fasthttp.RequestCtx) (any, *Problem) {
	snap, p := s.latest(ctx)
	return CurrentReply{Version: snap.Version, Stale: snap.Stale, Document: snap.Document}, p
}

func (s *Server) apiHistory(ctx context.Context, rc *fasthttp.RequestCtx) (any, *Problem) {
	limit, p := uintQueryArg(rc, "limit", defaultHistoryEntries)
	if p != nil {
		return nil, p
	}
	before, p := uintQueryArg(rc, "before", 0)
	if p != nil {
		return nil, p
	}
	return s.history(ctx, before, int(min(limit, maxListEntries)))
}

func (s *Server) history(ctx context.Context, before uint64, limit int) ([]VersionSummary, *Problem) {
	entries, err := s.Configs.History(ctx, before, limit)
	if err != nil {
		return nil, s.readProblem(err)
	}
	out := make([]VersionSummary, 0, len(entries))
	for _, e := range entries {
		out = append(out, VersionSummary{Version: e.Version, Base: e.Base, Author: e.Author, At: e.At})
	}
	return out, nil
}

func (s *Server) apiVersion(ctx context.Context, rc *fasthttp.RequestCtx) (any, *Problem) {
	text, _ := rc.UserValue("version").(string)
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, badRequest("version must be a number")
	}
	return s.entry(ctx, n)
}

func (s *Server) apiDiff(ctx context.Context, rc *fasthttp.RequestCtx) (any, *Problem) {
	from, p := uintQueryArg(rc, "from", 0)
	if p != nil {
		return nil, p
	}
	to, p := uintQueryArg(rc, "to", 0)
	if p != nil {
		return nil, p
	}
	return s.diff(ctx, from, to)
}

func (s *Server) diff(ctx context.Context, from, to uint64) (DiffReply, *Problem) {
	a, p := s.document(ctx, from)
	if p != nil {
		return DiffReply{}, p
	}
	b, p := s.document(ctx, to)
	if p != nil {
		return DiffReply{}, p
	}
	changes, err := delta.Compare(a, b)
	if err != nil {
		return DiffReply{}, problem(http.StatusInternalServerError, CodeInternal, err.Error(), "")
	}
	return DiffReply{From: from, To: to, Changes: nonNil(changes)}, nil
}

func (s *Server) apiValidate(_ context.Context, rc *fasthttp.RequestCtx) (any, *Problem) {
	_, p := s.validate(rc.PostBody())
	return ValidReply{Valid: true}, p
}

func (s *Server) apiApply(ctx context.Context, rc *fasthttp.RequestCtx) (any, *Problem) {
	var body ApplyBody
	if err := json.Unmarshal(rc.PostBody(), &body); err != nil {
		return nil, badRequest("the body is not valid JSON with base, author and document")
	}
	if body.Base == nil || len(body.Document) == 0 {
		return nil, badRequest("the body needs base, the version that the document was made from, and document")
	}
	e, p := s.submit(ctx, *body.Base, body.Author, body.Document)
	return ApplyReply{Version: e.Version}, p
}

func (s *Server) apiStatus(context.Context, *fasthttp.RequestCtx) (any, *Problem) {
	return s.Node.Status(), nil
}

func (s *Server) apiFleet(ctx context.Context, _ *fasthttp.RequestCtx) (any, *Problem) {
	return nonNil(s.Node.Fleet(ctx)), nil
}

func (s *Server) apiExplain(_ context.Context, rc *fasthttp.RequestCtx) (any, *Problem) {
	limit, p := uintQueryArg(rc, "limit", defaultExplainEntries)
	if p != nil {
		return nil, p
	}
	return s.Reasons.Search(reason.Query{
		Subject: queryArg(rc, "subject"), Kind: reason.Kind(queryArg(rc, "kind")), Limit: int(min(limit, maxListEntries)),
	}), nil
}

func queryArg(rc *fasthttp.RequestCtx, name string) string { return string(rc.QueryArgs().Peek(name)) }

// uintQueryArg returns a numeric query parameter, or def if it is absent.
func uintQueryArg(rc *fasthttp.RequestCtx, name string, def uint64) (uint64, *Problem) {
	text := queryArg(rc, name)
	if text == "" {
		return def, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, badRequest(name + " must be a number")
	}
	return n, nil
}

func tooLargeProblem() *Problem {
	return problem(http.StatusRequestEntityTooLarge, CodeTooLarge, "the body is too large",
		"A form may have 1 MiB; a document that is sent to the API with the operator key may have 16 MiB.")
}

func writeProblem(rc *fasthttp.RequestCtx, p *Problem) { writeJSON(rc, p.Status, p) }

func writeJSON(rc *fasthttp.RequestCtx, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		status, raw = http.StatusInternalServerError, []byte(`{"error":{"code":"internal","message":"the answer could not be encoded"}}`)
	}
	rc.SetStatusCode(status)
	rc.SetContentType("application/json")
	rc.SetBody(append(raw, '\n'))
}

var _ Configs = (*apply.Store)(nil)
