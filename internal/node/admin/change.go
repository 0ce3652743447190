package admin

import (
	"context"
	"net/http"

	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/check"
	"geraniumhollow/internal/conf/delta"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/report/reason"
	"github.com/cockroachdb/errors"
)

// Problem is the body of API responses that report a failure or an unknown outcome.
type Problem struct {
	Status int           `json:"-"`
	Error  ProblemDetail `json:"error"`
	// Faults are the validation errors of a document.
	Faults []check.Fault `json:"faults,omitempty"`
	// Conflict is set when another change was accepted first.
	Conflict *Conflict `json:"conflict,omitempty"`
	// Pending is set when it is not known whether a change was accepted.
	Pending *Pending `json:"pending,omitempty"`
}

// ProblemDetail describes a failure and how to proceed.
type ProblemDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Help    string `json:"help,omitempty"`
}

// Conflict holds both changes since the common base.
type Conflict struct {
	Base    uint64 `json:"base"`
	Current uint64 `json:"current"`
	// Author is the author of the current version.
	Author string         `json:"author"`
	Theirs []delta.Change `json:"theirs"`
	Mine   []delta.Change `json:"mine"`
	// Overlap lists the changes in Mine whose path overlaps with a change in Theirs.
	Overlap []delta.Change `json:"overlap"`
}

// Pending identifies a commit with an unknown outcome. It succeeded if the version has this token.
type Pending struct {
	Version uint64 `json:"version"`
	Token   string `json:"token"`
}

// Error codes of problems.
const (
	CodeInvalid     = "invalid_document"
	CodeConflict    = "conflict"
	CodeUnavailable = "store_unavailable"
	CodeIsolated    = "node_isolated"
	CodeUnknown     = "outcome_unknown"
	CodeNoKey       = "operator_key_not_set"
	CodeWrongKey    = "unauthorized"
	CodeNotFound    = "not_found"
	CodeBadRequest  = "bad_request"
	CodeTooLarge    = "body_too_large"
	CodeInternal    = "internal"
)

func problem(status int, code, message, help string) *Problem {
	return &Problem{Status: status, Error: ProblemDetail{Code: code, Message: message, Help: help}}
}

func badRequest(message string) *Problem {
	return problem(http.StatusBadRequest, CodeBadRequest, message, "")
}

// snapshot is a version of the configuration.
type snapshot struct {
	Version  uint64
	Document *schema.Document
	// Stale is set if the table service did not answer and this is the last version known to the node.
	Stale bool
}

// latest returns the newest version, or the version known to the node while the table service does not
// answer.
func (s *Server) latest(ctx context.Context) (snapshot, *Problem) {
	local := s.View()
	version, _, err := s.Configs.Version(ctx)
	switch {
	case err != nil:
		s.Log.Warn("failed to read the configuration version; using the last known one", "error", err)
		return snapshot{Version: local.Version, Document: local.Document(), Stale: true}, nil
	case version == local.Version:
		return snapshot{Version: version, Document: local.Document()}, nil
	}
	doc, p := s.document(ctx, version)
	return snapshot{Version: version, Document: doc}, p
}

// document returns the document of a version. Version 0 is the empty document.
func (s *Server) document(ctx context.Context, version uint64) (*schema.Document, *Problem) {
	if version == 0 {
		return &schema.Document{}, nil
	}
	if local := s.View(); local.Version == version {
		return local.Document(), nil
	}
	e, p := s.entry(ctx, version)
	return e.Document, p
}

func (s *Server) entry(ctx context.Context, version uint64) (apply.Entry, *Problem) {
	e, err := s.Configs.Entry(ctx, version)
	if err != nil {
		return apply.Entry{}, s.readProblem(err)
	}
	return e, nil
}

// readProblem converts an error from reading the table service into a problem.
func (s *Server) readProblem(err error) *Problem {
	if errors.Is(err, table.ErrNotFound) {
		return problem(http.StatusNotFound, CodeNotFound, "there is no such version", "The history lists the versions.")
	}
	s.Log.Warn("failed to read from the table service", "error", err)
	return unavailableProblem()
}

func unavailableProblem() *Problem {
	return problem(http.StatusServiceUnavailable, CodeUnavailable, "the table service does not answer",
		"Nothing was changed. Serving continues with the last configuration. Try again when the table is back.")
}

// validate parses a document, or returns a problem that lists all of its faults.
func (s *Server) validate(raw []byte) (*schema.Document, *Problem) {
	doc, err := s.checker.Parse(raw)
	if err == nil {
		return doc, nil
	}
	p := problem(http.StatusUnprocessableEntity, CodeInvalid, "the document has faults", "Nothing was changed. Fix every fault and send the document again.")
	var invalid *check.InvalidError
	if !errors.As(err, &invalid) {
		return nil, problem(http.StatusInternalServerError, CodeInternal, err.Error(), "")
	}
	p.Faults = invalid.Faults
	return nil, p
}

// submit validates a document and commits it as the version after base.
func (s *Server) submit(ctx context.Context, base uint64, author string, raw []byte) (apply.Entry, *Problem) {
	if !validAuthor(author) {
		return apply.Entry{}, badRequest("author must be a name of at most 64 printable characters")
	}
	doc, p := s.validate(raw)
	if p != nil {
		return apply.Entry{}, p
	}
	if err := s.Node.MayCommit(); err != nil {
		return apply.Entry{}, problem(http.StatusServiceUnavailable, CodeIsolated, "this node may not accept changes now: "+err.Error(),
			"Nothing was changed. Use another node, or try again when this node is in contact with its peers again.")
	}
	e, err := s.Configs.Commit(ctx, base, author, doc)
	switch {
	case err == nil:
		s.Log.Info("configuration accepted", "version", e.Version, "base", base)
		s.recordDecision("accepted", "committed by an operator", e.Version)
		s.Node.Accepted(e)
		return e, nil
	case errors.Is(err, apply.ErrConflict):
		s.recordDecision("refused", "another change was accepted first", base)
		return apply.Entry{}, s.conflict(ctx, base, doc)
	case errors.Is(err, table.ErrUnknown):
		s.recordDecision("unknown", "the answer of the table was lost", e.Version)
		p := problem(http.StatusAccepted, CodeUnknown, "it is not known whether the change was accepted",
			"Read the pending version: the change was accepted if it carries the pending token. Don't apply the change again before you know.")
		p.Pending = &Pending{Version: e.Version, Token: e.Token}
		return apply.Entry{}, p
	default:
		s.Log.Warn("failed to commit the configuration", "base", base, "error", err)
		return apply.Entry{}, unavailableProblem()
	}
}

func (s *Server) recordDecision(decision, why reason.Text, version uint64) {
	s.Reasons.Add(reason.Configuration, s.Node.Status().Node, decision, why, reason.Int("version", int(version)))
}

// conflict returns a problem with both changes since the base.
func (s *Server) conflict(ctx context.Context, base uint64, mine *schema.Document) *Problem {
	p := problem(http.StatusConflict, CodeConflict, "another change was accepted first",
		"Nothing was changed. Look at both changes, and make yours again on the current version.")
	p.Conflict = &Conflict{Base: base, Theirs: []delta.Change{}, Mine: []delta.Change{}, Overlap: []delta.Change{}}
	version, _, err := s.Configs.Version(ctx)
	if err != nil {
		return p
	}
	current, currentProblem := s.entry(ctx, version)
	from, baseProblem := s.document(ctx, base)
	if currentProblem != nil || baseProblem != nil || base > version {
		p.Conflict.Current = version
		return p
	}
	theirChanges, err1 := delta.Compare(from, current.Document)
	myChanges, err2 := delta.Compare(from, mine)
	if err := errors.Join(err1, err2); err != nil {
		s.Log.Error("failed to compare versions", "error", err)
		return p
	}
	p.Conflict = &Conflict{
		Base: base, Current: version, Author: current.Author,
		Theirs: nonNil(theirChanges), Mine: nonNil(myChanges), Overlap: nonNil(delta.Conflicts(myChanges, theirChanges)),
	}
	return p
}

// nonNil replaces a nil list by an empty one, which JSON encodes as [] instead of null.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
