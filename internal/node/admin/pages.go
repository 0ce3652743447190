package admin

import (
	"bytes"
	"context"
	"embed"
	"fmt"
	"html/template"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"
)

//go:embed templates/*.html
var templateFiles embed.FS

//go:embed static/style.css
var styleSheet []byte

// stylePath contains a hash of the style sheet, so that browsers don't use a cached one after an upgrade.
var stylePath = fmt.Sprintf("/static/style.css?v=%x", xxh3.Hash(styleSheet))

// templates maps each page to a template set: the layout, the shared templates and the page itself.
var templates = parseTemplates("login", "setup", "start", "list", "entry", "preview", "conflict", "outcome", "message", "history", "changes", "explain", "burn")

func parseTemplates(pages ...string) map[string]*template.Template {
	funcs := template.FuncMap{
		"when":  func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") },
		"label": label,
		"under": func(path, prefix string) bool { return path == prefix || strings.HasPrefix(path, prefix+"/") },
		"style": func() string { return stylePath },
		"carry": func(token string, e any) any { return hiddenEdit{Token: token, Edit: e} },
		"dict": func(fields []field, names suggestions, action string) any {
			return fieldList{Fields: fields, Names: names, Action: action}
		},
		"singular": singular,
	}
	base := template.Must(template.New("layout").Funcs(funcs).ParseFS(templateFiles, "templates/layout.html", "templates/field.html"))
	out := make(map[string]*template.Template, len(pages))
	for _, p := range pages {
		out[p] = template.Must(template.Must(base.Clone()).ParseFS(templateFiles, "templates/"+p+".html"))
	}
	return out
}

// suggestions are the entry names that reference fields suggest, by list of the document.
type suggestions map[string][]string

// fieldList is the data of the fields template.
type fieldList struct {
	Fields []field
	Names  suggestions
	// Action is the URL path that the form is submitted to.
	Action string
}

// hiddenEdit is the data of the carry template, which writes an edit as hidden fields.
type hiddenEdit struct {
	Token string
	Edit  any
}

// page is the data of the layout template.
type page struct {
	Title string
	Node  string
	// Path is the request path. The navigation uses it to mark the current page.
	Path   string
	Author string
	Token  string
	Parts  []documentPart
	// Stale is set if the table service does not answer.
	Stale bool
	Data  any
}

// pageRequest is a request of a logged-in operator.
type pageRequest struct {
	*fasthttp.RequestCtx
	ctx     context.Context
	session session
}

// form returns a form value of a POST request.
func (req pageRequest) form(name string) string { return string(req.PostArgs().Peek(name)) }

func (s *Server) pageRoutes(rt *router.Router) {
	rt.GET("/static/style.css", func(rc *fasthttp.RequestCtx) {
		rc.SetContentType("text/css; charset=utf-8")
		rc.Response.Header.Set("Cache-Control", "max-age=86400")
		rc.SetBody(styleSheet)
	})
	rt.GET("/login", s.loginPage)
	rt.POST("/login", s.loginPost)
	rt.POST("/logout", s.post(func(req pageRequest) {
		s.auth.endSession(req.RequestCtx)
		redirect(req.RequestCtx, "/login")
	}))
	rt.GET("/", s.page(s.startPage))
	rt.GET("/parts/{part}", s.page(s.withPart(s.listPage)))
	rt.GET("/parts/{part}/new", s.page(s.withPart(s.newPage)))
	rt.GET("/parts/{part}/edit", s.page(s.withPart(s.editPage)))
	rt.GET("/parts/{part}/remove", s.page(s.withPart(s.removePage)))
	rt.GET("/parts/{part}/switch", s.page(s.withPart(s.switchPage)))
	rt.POST("/parts/{part}/preview", s.post(s.withPart(s.previewPost)))
	rt.POST("/changes/preview", s.post(s.previewAgain))
	rt.POST("/changes/edit", s.post(s.editAgain))
	rt.POST("/changes/confirm", s.post(s.confirmPost))
	rt.GET("/changes/outcome", s.page(s.outcomePage))
	rt.GET("/history", s.page(s.historyPage))
	rt.GET("/history/changes", s.page(s.changesPage))
	rt.GET("/history/restore", s.page(s.restorePage))
	rt.GET("/explain", s.page(s.explainPage))
	rt.GET("/burn", s.page(s.burnPage))
	rt.GET(pathPlot, s.page(s.burnPlot))
}

// page calls h for logged-in operators and redirects other clients to the login page.
func (s *Server) page(h func(req pageRequest)) fasthttp.RequestHandler {
	return func(rc *fasthttp.RequestCtx) {
		if !s.auth.configured() {
			s.render(rc, http.StatusForbidden, "setup", page{Title: "No operator key", Data: noKeyHelp})
			return
		}
		sess, ok := s.auth.session(&rc.Request.Header)
		if !ok {
			redirect(rc, "/login")
			return
		}
		ctx, cancel := s.callContext()
		defer cancel()
		h(pageRequest{RequestCtx: rc, ctx: ctx, session: sess})
	}
}

// post is like page, for form submissions. It rejects posts that are too large, or that do not come from a form
// that this node served in the same session.
func (s *Server) post(h func(req pageRequest)) fasthttp.RequestHandler {
	return s.page(func(req pageRequest) {
		if len(req.PostBody()) > maxFormBytes {
			s.message(req, tooLargeProblem())
			return
		}
		if !s.auth.verifyPost(req.RequestCtx, req.session) {
			s.message(req, problem(http.StatusForbidden, "cross_site", "the form was not served by this node in this session",
				"Nothing was changed. Open the page again and repeat the change."))
			return
		}
		h(req)
	})
}

// withPart calls h with the part of the document that the URL path names.
func (s *Server) withPart(h func(req pageRequest, p documentPart)) func(req pageRequest) {
	return func(req pageRequest) {
		name, _ := req.UserValue("part").(string)
		p, ok := s.partByName(name)
		if !ok {
			s.message(req, notFoundProblem())
			return
		}
		h(req, p)
	}
}

func (s *Server) partByName(name string) (documentPart, bool) {
	for _, p := range s.parts {
		if p.Name == name {
			return p, true
		}
	}
	return documentPart{}, false
}

func notFoundProblem() *Problem {
	return problem(http.StatusNotFound, CodeNotFound, "there is no such page", "")
}

func (s *Server) notFound(rc *fasthttp.RequestCtx) {
	if strings.HasPrefix(string(rc.Path()), "/api/") {
		writeProblem(rc, problem(http.StatusNotFound, CodeNotFound, "there is no such path", ""))
		return
	}
	s.page(func(req pageRequest) { s.message(req, notFoundProblem()) })(rc)
}

// show renders a page for a logged-in operator.
func (s *Server) show(req pageRequest, status int, name, title string, data any) {
	s.render(req.RequestCtx, status, name, page{
		Title: title, Author: req.session.Author, Token: s.auth.token(req.session), Data: data,
	})
}

// message renders a problem as a page.
func (s *Server) message(req pageRequest, p *Problem) {
	s.show(req, p.Status, "message", "Not done", messageData{Problem: p})
}

// messageData is a problem, with the edit to retry if there is one.
type messageData struct {
	*Problem
	Retry *configEdit
}

func (s *Server) render(rc *fasthttp.RequestCtx, status int, name string, p page) {
	p.Node, p.Parts, p.Path = s.Node.Status().Node, s.parts, string(rc.Path())
	var buf bytes.Buffer
	if err := templates[name].ExecuteTemplate(&buf, "layout", p); err != nil {
		s.Log.Error("failed to render page", "page", name, "error", err)
		rc.Error("the page could not be rendered", http.StatusInternalServerError)
		return
	}
	rc.SetStatusCode(status)
	rc.SetContentType("text/html; charset=utf-8")
	rc.SetBody(buf.Bytes())
}

// redirect redirects the browser to a path of this node, to be fetched with GET.
func redirect(rc *fasthttp.RequestCtx, path string) {
	rc.Response.Header.Set("Location", path)
	rc.SetStatusCode(http.StatusSeeOther)
}

// loginData is the state of the login form.
type loginData struct {
	Author string
	Fault  string
}

func (s *Server) loginPage(rc *fasthttp.RequestCtx) {
	if !s.auth.configured() {
		s.render(rc, http.StatusForbidden, "setup", page{Title: "No operator key", Data: noKeyHelp})
		return
	}
	s.renderLogin(rc, http.StatusOK, loginData{})
}

func (s *Server) renderLogin(rc *fasthttp.RequestCtx, status int, d loginData) {
	s.render(rc, status, "login", page{Title: "Log in", Token: s.auth.token(session{}), Data: d})
}

func (s *Server) loginPost(rc *fasthttp.RequestCtx) {
	author := strings.TrimSpace(string(rc.PostArgs().Peek("author")))
	switch {
	case !s.auth.verifyPost(rc, session{}):
		s.renderLogin(rc, http.StatusForbidden, loginData{Author: author, Fault: "The form was out of date. Please log in again."})
	case !s.auth.keyMatches(string(rc.PostArgs().Peek("key"))):
		s.renderLogin(rc, http.StatusUnauthorized, loginData{Author: author, Fault: "The operator key is wrong, or this node has another one."})
	case !validAuthor(author):
		s.renderLogin(rc, http.StatusUnprocessableEntity, loginData{Fault: "Your name must have 1 to 64 printable characters."})
	default:
		if err := s.auth.startSession(rc, author); err != nil {
			s.Log.Error("failed to start session", "error", err)
			rc.Error("the session could not be started", http.StatusInternalServerError)
			return
		}
		redirect(rc, "/")
	}
}

// internalProblem logs an error and returns a problem without its details.
func (s *Server) internalProblem(err error) *Problem {
	s.Log.Error("operator request failed", "error", errors.Newf("page: %w", err))
	return problem(http.StatusInternalServerError, CodeInternal, "the request failed with an internal error", "The log of the node has the reason.")
}
