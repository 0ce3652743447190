package admin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"geraniumhollow/internal/conf/check"
	"geraniumhollow/internal/conf/delta"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
)

// entryData is the template data of the form of an entry.
type entryData struct {
	Part   part
	Edit   edit
	Fields []field
	Names  suggestions
	// Faults are the faults of the entry that belong to no field.
	Faults []string
	// Others are faults elsewhere in the document that the change causes.
	Others []check.Fault
}

// previewData is the template data of the preview page.
type previewData struct {
	Part    part
	Edit    edit
	Changes []delta.Change
	Faults  []check.Fault
	// NewKey is a bearer key that the change adds to a client account. It is shown only on this page.
	NewKey string
}

func (s *Server) newPage(v pageRequest, p part) {
	now, tree, pr := s.latestTree(v)
	if pr != nil {
		s.message(v, pr)
		return
	}
	e := edit{Part: p.Name, Op: opPut, Base: now.Version}
	s.showEntry(v, http.StatusOK, p, e, tree, nil, "")
}

func (s *Server) editPage(v pageRequest, p part) {
	if e, tree, ok := s.existingEntry(v, p); ok {
		s.showEntry(v, http.StatusOK, p, e, tree, nil, "")
	}
}

// existingEntry returns an edit with the requested entry as it is, and the document.
func (s *Server) existingEntry(v pageRequest, p part) (edit, map[string]any, bool) {
	now, tree, pr := s.latestTree(v)
	if pr != nil {
		s.message(v, pr)
		return edit{}, nil, false
	}
	id := arg(v.RequestCtx, "id")
	entry, ok := entryOf(tree, p, id)
	if !ok {
		s.message(v, problem(http.StatusNotFound, CodeNotFound, "there is no such entry", "Another operator may have removed it."))
		return edit{}, nil, false
	}
	return edit{Part: p.Name, Op: opPut, ID: id, Entry: entry, Base: now.Version}, tree, true
}

// showEntry renders the form of an entry, with the faults of the document that contains it.
func (s *Server) showEntry(v pageRequest, status int, p part, e edit, tree map[string]any, faults []check.Fault, add string) {
	d := entryData{Part: p, Edit: e, Names: entryNames(tree)}
	own, others := entryFaults(faults, e.applyTo(tree, p))
	d.Fields, d.Faults = render(p.Entry, e.Entry, own, add)
	d.Others = withEntryNames(others, tree)
	title := p.Label
	switch {
	case p.Single:
	case e.ID == "":
		title = "New " + singular(p.Name)
	default:
		title = label(singular(p.Name)) + " " + e.ID
	}
	s.show(v, status, "entry", title, d)
}

// maxSuggestedNames limits the names that a page suggests for each list.
const maxSuggestedNames = 500

// entryNames returns the names of the entries of each list of a document.
func entryNames(tree map[string]any) suggestions {
	out := make(suggestions, len(tree))
	for list, entries := range tree {
		l, _ := entries.([]any)
		for _, e := range l[:min(len(l), maxSuggestedNames)] {
			m, _ := e.(map[string]any)
			if name, ok := m["name"].(string); ok {
				out[list] = append(out[list], name)
			}
		}
	}
	return out
}

func (s *Server) removePage(v pageRequest, p part) {
	if e, _, ok := s.existingEntry(v, p); ok && !p.Single {
		e.Op, e.Entry = opRemove, nil
		s.preview(v, p, e, "")
	}
}

// switchPage previews taking an entry out of service or putting it back into service.
func (s *Server) switchPage(v pageRequest, p part) {
	name, has := serviceField(p.Entry)
	e, _, ok := s.existingEntry(v, p)
	if !ok {
		return
	}
	m, _ := e.Entry.(map[string]any)
	if !has || m == nil {
		s.message(v, notFoundProblem())
		return
	}
	set, _ := m[name].(bool)
	m[name] = !set
	s.preview(v, p, e, "")
}

func (s *Server) restorePage(v pageRequest) {
	version, p1 := numberArg(v.RequestCtx, "version", 0)
	now, p2 := s.latest(v.ctx)
	for _, p := range []*Problem{p1, p2} {
		if p != nil {
			s.message(v, p)
			return
		}
	}
	s.preview(v, part{}, edit{Op: opRestore, Version: version, Base: now.Version}, "")
}

// previewPost handles a submitted entry form.
func (s *Server) previewPost(v pageRequest, p part) {
	base, err := strconv.ParseUint(v.form("base"), 10, 64)
	if err != nil {
		s.message(v, badRequest("the form has no base version"))
		return
	}
	e := edit{Part: p.Name, Op: opPut, ID: v.form("id"), Base: base}
	e.Entry = decode(p.Entry, "", func(name string) (string, bool) {
		return v.form(name), v.PostArgs().Has(name)
	})
	if add := v.form("add"); add != "" {
		s.showEnteredValues(v, p, e, add)
		return
	}
	if v.form("action") == "new_key" {
		s.previewNewKey(v, p, e)
		return
	}
	s.preview(v, p, e, "")
}

// previewNewKey previews an edit of a client account that adds the hash of a new key. If the edit has
// faults, no key is added, since no preview is rendered that could show it.
func (s *Server) previewNewKey(v pageRequest, p part, e edit) {
	m, ok := e.Entry.(map[string]any)
	if !ok || p.Entry.property("key_hashes") == nil {
		s.message(v, badRequest("this entry has no keys"))
		return
	}
	_, raw, pr := s.applyEdit(v, p, e)
	if pr == nil {
		_, pr = s.validate(raw)
	}
	if pr != nil {
		s.showFaults(v, p, e, raw, pr)
		return
	}
	key, err := newAccountKey()
	if err != nil {
		s.message(v, s.internalProblem(err))
		return
	}
	hashes, _ := m["key_hashes"].([]any)
	m["key_hashes"] = append(hashes, view.HashKey(key))
	s.preview(v, p, e, key)
}

// showEnteredValues renders the form again with the values that were entered.
func (s *Server) showEnteredValues(v pageRequest, p part, e edit, add string) {
	tree, pr := s.versionTree(v, e.Base)
	if pr != nil {
		s.message(v, pr)
		return
	}
	s.showEntry(v, http.StatusOK, p, e, tree, nil, add)
}

func (s *Server) versionTree(v pageRequest, version uint64) (map[string]any, *Problem) {
	doc, p := s.document(v.ctx, version)
	if p != nil {
		return nil, p
	}
	tree, err := documentTree(doc)
	if err != nil {
		return nil, s.internalProblem(err)
	}
	return tree, nil
}

// editFromForm reads the edit from the hidden fields that pages write with the carry template.
func (s *Server) editFromForm(v pageRequest) (edit, part, *Problem) {
	e := edit{Part: v.form("part"), Op: v.form("op"), ID: v.form("id")}
	var err1, err2, err3 error
	e.Base, err1 = strconv.ParseUint(v.form("base"), 10, 64)
	e.Version, err2 = strconv.ParseUint(v.form("version"), 10, 64)
	e.Entry, err3 = decodeValue([]byte(v.form("entry")))
	p, known := s.part(e.Part)
	whole := e.Op == opRestore && e.Part == ""
	entry := known && (e.Op == opPut || e.Op == opRemove && !p.Single)
	if err1 != nil || err2 != nil || err3 != nil || !whole && !entry {
		return edit{}, part{}, badRequest("the form is not complete")
	}
	return e, p, nil
}

func (s *Server) previewAgain(v pageRequest) {
	e, p, pr := s.editFromForm(v)
	if pr != nil {
		s.message(v, pr)
		return
	}
	s.preview(v, p, e, "")
}

func (s *Server) editAgain(v pageRequest) {
	e, p, pr := s.editFromForm(v)
	if pr != nil || e.Op != opPut {
		s.message(v, badRequest("the form is not complete"))
		return
	}
	s.showEnteredValues(v, p, e, "")
}

// applyEdit returns the base document of an edit, and the JSON of the document after the edit.
func (s *Server) applyEdit(v pageRequest, p part, e edit) (*schema.Document, []byte, *Problem) {
	base, pr := s.document(v.ctx, e.Base)
	if pr != nil {
		return nil, nil, pr
	}
	var after any
	if e.Op == opRestore {
		if after, pr = s.document(v.ctx, e.Version); pr != nil {
			return nil, nil, pr
		}
	} else {
		tree, err := documentTree(base)
		if err != nil {
			return nil, nil, s.internalProblem(err)
		}
		e.applyTo(tree, p)
		after = tree
	}
	raw, err := json.Marshal(after)
	if err != nil {
		return nil, nil, s.internalProblem(err)
	}
	return base, raw, nil
}

// preview renders the changes that an edit makes, or its faults if it is invalid.
func (s *Server) preview(v pageRequest, p part, e edit, newKey string) {
	base, raw, pr := s.applyEdit(v, p, e)
	if pr != nil {
		s.message(v, pr)
		return
	}
	doc, pr := s.validate(raw)
	if pr != nil {
		s.showFaults(v, p, e, raw, pr)
		return
	}
	changes, err := delta.Documents(base, doc)
	if err != nil {
		s.message(v, s.internalProblem(err))
		return
	}
	s.show(v, http.StatusOK, "preview", "Preview", previewData{
		Part: p, Edit: e, Changes: changes, NewKey: newKey,
	})
}

// showFaults renders the faults of an edit, in its form if it has one.
func (s *Server) showFaults(v pageRequest, p part, e edit, raw []byte, pr *Problem) {
	value, _ := decodeValue(raw)
	after, _ := value.(map[string]any)
	if pr.Faults == nil {
		s.message(v, pr)
		return
	}
	if e.Op != opPut {
		s.show(v, pr.Status, "preview", "Not possible", previewData{Part: p, Edit: e, Faults: withEntryNames(pr.Faults, after)})
		return
	}
	tree, problem := s.versionTree(v, e.Base)
	if problem != nil {
		s.message(v, problem)
		return
	}
	s.showEntry(v, pr.Status, p, e, tree, pr.Faults, "")
}

// confirmPost commits an edit after its preview.
func (s *Server) confirmPost(v pageRequest) {
	e, p, pr := s.editFromForm(v)
	if pr != nil {
		s.message(v, pr)
		return
	}
	base, raw, pr := s.applyEdit(v, p, e)
	if pr != nil {
		s.show(v, pr.Status, "message", "Not done", messageData{Problem: pr, Retry: &e})
		return
	}
	entry, pr := s.submit(v.ctx, e.Base, v.session.Author, raw)
	switch {
	case pr == nil:
		redirect(v.RequestCtx, "/?accepted="+strconv.FormatUint(entry.Version, 10))
	case pr.Pending != nil:
		s.show(v, pr.Status, "outcome", "Outcome not known", outcomeData{Pending: *pr.Pending})
	case pr.Conflict != nil:
		s.conflictPage(v, p, e, base, raw, pr)
	case pr.Faults != nil:
		s.showFaults(v, p, e, raw, pr)
	default:
		s.show(v, pr.Status, "message", "Not done", messageData{Problem: pr, Retry: &e})
	}
}

// conflictData is the template data of the conflict page: both changes, and the operator's own edit on the
// current version.
type conflictData struct {
	Conflict
	Places []conflictRow
	// Redo is the operator's edit rebased to the current version, or nil if it could not be rebased.
	Redo *edit
}

// conflictRow is a row of the conflict page.
type conflictRow struct {
	Path         string
	Theirs, Mine *delta.Change
	Both         bool
	// Same is set if both set the same value.
	Same bool
}

func (s *Server) conflictPage(v pageRequest, p part, e edit, base *schema.Document, mine []byte, pr *Problem) {
	d := conflictData{Conflict: *pr.Conflict, Places: conflictRows(*pr.Conflict)}
	if d.Current > d.Base {
		redo, pr := s.rebaseEdit(v, p, e, base, mine, d.Current)
		if pr == nil {
			d.Redo = &redo
		}
	}
	s.show(v, http.StatusConflict, "conflict", "Another change came first", d)
}

// rebaseEdit rebases an edit to the current version. Where both changes affect the same path, the operator's
// own edit takes precedence.
func (s *Server) rebaseEdit(v pageRequest, p part, e edit, base *schema.Document, raw []byte, current uint64) (edit, *Problem) {
	if e.Op == opRestore {
		e.Base = current
		return e, nil
	}
	theirs, pr := s.document(v.ctx, current)
	if pr != nil {
		return edit{}, pr
	}
	mine, pr := s.validate(raw)
	if pr != nil {
		return edit{}, pr
	}
	merged, err := delta.Merge(base, mine, theirs)
	if err != nil {
		return edit{}, s.internalProblem(err)
	}
	theirTree, err1 := documentTree(theirs)
	mergedTree, err2 := documentTree(merged)
	if err1 != nil || err2 != nil {
		return edit{}, s.internalProblem(err1)
	}
	return e.rebase(current, theirTree, mergedTree, p), nil
}

// conflictRows pairs both changes by path.
func conflictRows(c Conflict) []conflictRow {
	both := make(map[string]bool)
	for _, o := range append(delta.Overlap(c.Theirs, c.Mine), c.Overlap...) {
		both[o.Path] = true
	}
	var out []conflictRow
	index := make(map[string]int)
	for i := range c.Theirs {
		t := &c.Theirs[i]
		index[t.Path] = len(out)
		out = append(out, conflictRow{Path: t.Path, Theirs: t, Both: both[t.Path]})
	}
	for i := range c.Mine {
		m := &c.Mine[i]
		if at, ok := index[m.Path]; ok {
			out[at].Mine, out[at].Same = m, m.To == out[at].Theirs.To
			continue
		}
		out = append(out, conflictRow{Path: m.Path, Mine: m, Both: both[m.Path]})
	}
	return out
}

// outcomeData is the template data for a commit whose reply was lost.
type outcomeData struct {
	Pending
	Checked  bool
	Accepted bool
	Absent   bool
}

// outcomePage checks whether a commit whose reply was lost has succeeded.
func (s *Server) outcomePage(v pageRequest) {
	version, p := numberArg(v.RequestCtx, "version", 0)
	if p != nil {
		s.message(v, p)
		return
	}
	d := outcomeData{Pending: Pending{Version: version, Token: arg(v.RequestCtx, "commit")}, Checked: true}
	e, p := s.entry(v.ctx, version)
	switch {
	case p != nil && p.Status == http.StatusNotFound:
		d.Absent = true
	case p != nil:
		s.message(v, p)
		return
	default:
		d.Accepted = e.Token == d.Token
	}
	s.show(v, http.StatusOK, "outcome", "Outcome of the change", d)
}
