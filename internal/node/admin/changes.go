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
	Part   documentPart
	Edit   configEdit
	Fields []field
	Names  suggestions
	// Faults are the faults of the entry that belong to no field.
	Faults []string
	// Others are faults elsewhere in the document that the change causes.
	Others []check.Fault
}

// previewData is the template data of the preview page.
type previewData struct {
	Part    documentPart
	Edit    configEdit
	Changes []delta.Change
	Faults  []check.Fault
	// NewKey is a bearer key that the change adds to a client account. It is shown only on this page.
	NewKey string
}

func (s *Server) newPage(req pageRequest, p documentPart) {
	snap, tree, prob := s.latestTree(req)
	if prob != nil {
		s.message(req, prob)
		return
	}
	e := configEdit{Part: p.Name, Op: opPut, Base: snap.Version}
	s.showEntry(req, http.StatusOK, p, e, tree, nil, "")
}

func (s *Server) editPage(req pageRequest, p documentPart) {
	if e, tree, ok := s.existingEntry(req, p); ok {
		s.showEntry(req, http.StatusOK, p, e, tree, nil, "")
	}
}

// existingEntry returns an edit that contains the requested entry unchanged, and the tree of its document. If it
// returns false, it has rendered the reason.
func (s *Server) existingEntry(req pageRequest, p documentPart) (configEdit, map[string]any, bool) {
	snap, tree, prob := s.latestTree(req)
	if prob != nil {
		s.message(req, prob)
		return configEdit{}, nil, false
	}
	id := queryArg(req.RequestCtx, "id")
	entry, ok := entryOf(tree, p, id)
	if !ok {
		s.message(req, problem(http.StatusNotFound, CodeNotFound, "there is no such entry", "Another operator may have removed it."))
		return configEdit{}, nil, false
	}
	return configEdit{Part: p.Name, Op: opPut, ID: id, Entry: entry, Base: snap.Version}, tree, true
}

// showEntry renders the form of an entry, with the faults of the document that contains it. If add is not empty,
// it is the path of the list in the form that gets a blank row.
func (s *Server) showEntry(req pageRequest, status int, p documentPart, e configEdit, tree map[string]any, faults []check.Fault, add string) {
	d := entryData{Part: p, Edit: e, Names: entryNames(tree)}
	byPath, others := entryFaults(faults, e.applyTo(tree, p))
	d.Fields, d.Faults = render(p.Entry, e.Entry, byPath, add)
	d.Others = withEntryNames(others, tree)
	title := p.Label
	switch {
	case p.Single:
	case e.ID == "":
		title = "New " + singular(p.Name)
	default:
		title = label(singular(p.Name)) + " " + e.ID
	}
	s.show(req, status, "entry", title, d)
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

func (s *Server) removePage(req pageRequest, p documentPart) {
	if e, _, ok := s.existingEntry(req, p); ok && !p.Single {
		e.Op, e.Entry = opRemove, nil
		s.preview(req, p, e, "")
	}
}

// switchPage previews taking an entry out of service or putting it back into service.
func (s *Server) switchPage(req pageRequest, p documentPart) {
	name, has := serviceField(p.Entry)
	e, _, ok := s.existingEntry(req, p)
	if !ok {
		return
	}
	m, _ := e.Entry.(map[string]any)
	if !has || m == nil {
		s.message(req, notFoundProblem())
		return
	}
	set, _ := m[name].(bool)
	m[name] = !set
	s.preview(req, p, e, "")
}

func (s *Server) restorePage(req pageRequest) {
	version, versionProblem := uintQueryArg(req.RequestCtx, "version", 0)
	snap, latestProblem := s.latest(req.ctx)
	for _, p := range []*Problem{versionProblem, latestProblem} {
		if p != nil {
			s.message(req, p)
			return
		}
	}
	s.preview(req, documentPart{}, configEdit{Op: opRestore, Version: version, Base: snap.Version}, "")
}

// previewPost handles a submitted entry form.
func (s *Server) previewPost(req pageRequest, p documentPart) {
	base, err := strconv.ParseUint(req.form("base"), 10, 64)
	if err != nil {
		s.message(req, badRequest("the form has no base version"))
		return
	}
	e := configEdit{Part: p.Name, Op: opPut, ID: req.form("id"), Base: base}
	e.Entry = decode(p.Entry, "", func(name string) (string, bool) {
		return req.form(name), req.PostArgs().Has(name)
	})
	if add := req.form("add"); add != "" {
		s.showEnteredValues(req, p, e, add)
		return
	}
	if req.form("action") == "new_key" {
		s.previewNewKey(req, p, e)
		return
	}
	s.preview(req, p, e, "")
}

// previewNewKey previews an edit of a client account that adds the hash of a new key. If the edit has
// faults, no key is added, since no preview is rendered that could show it.
func (s *Server) previewNewKey(req pageRequest, p documentPart, e configEdit) {
	m, ok := e.Entry.(map[string]any)
	if !ok || p.Entry.property("key_hashes") == nil {
		s.message(req, badRequest("this entry has no keys"))
		return
	}
	_, raw, prob := s.applyEdit(req, p, e)
	if prob == nil {
		_, prob = s.validate(raw)
	}
	if prob != nil {
		s.showFaults(req, p, e, raw, prob)
		return
	}
	key, err := newAccountKey()
	if err != nil {
		s.message(req, s.internalProblem(err))
		return
	}
	hashes, _ := m["key_hashes"].([]any)
	m["key_hashes"] = append(hashes, view.HashKey(key))
	s.preview(req, p, e, key)
}

// showEnteredValues renders the form again with the values that were entered. add has the same meaning as in
// showEntry.
func (s *Server) showEnteredValues(req pageRequest, p documentPart, e configEdit, add string) {
	tree, prob := s.versionTree(req, e.Base)
	if prob != nil {
		s.message(req, prob)
		return
	}
	s.showEntry(req, http.StatusOK, p, e, tree, nil, add)
}

// versionTree returns the document of a version as generic JSON values.
func (s *Server) versionTree(req pageRequest, version uint64) (map[string]any, *Problem) {
	doc, p := s.document(req.ctx, version)
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
func (s *Server) editFromForm(req pageRequest) (configEdit, documentPart, *Problem) {
	e := configEdit{Part: req.form("part"), Op: req.form("op"), ID: req.form("id")}
	var err1, err2, err3 error
	e.Base, err1 = strconv.ParseUint(req.form("base"), 10, 64)
	e.Version, err2 = strconv.ParseUint(req.form("version"), 10, 64)
	e.Entry, err3 = decodeValue([]byte(req.form("entry")))
	p, known := s.partByName(e.Part)
	restoresDocument := e.Op == opRestore && e.Part == ""
	changesEntry := known && (e.Op == opPut || e.Op == opRemove && !p.Single)
	if err1 != nil || err2 != nil || err3 != nil || !restoresDocument && !changesEntry {
		return configEdit{}, documentPart{}, badRequest("the form is not complete")
	}
	return e, p, nil
}

// previewAgain previews an edit from hidden fields, after a conflict or to retry a failed commit.
func (s *Server) previewAgain(req pageRequest) {
	e, p, prob := s.editFromForm(req)
	if prob != nil {
		s.message(req, prob)
		return
	}
	s.preview(req, p, e, "")
}

// editAgain returns from the preview of an edit to its form.
func (s *Server) editAgain(req pageRequest) {
	e, p, prob := s.editFromForm(req)
	if prob != nil || e.Op != opPut {
		s.message(req, badRequest("the form is not complete"))
		return
	}
	s.showEnteredValues(req, p, e, "")
}

// applyEdit returns the base document of an edit, and the JSON of the document after the edit.
func (s *Server) applyEdit(req pageRequest, p documentPart, e configEdit) (*schema.Document, []byte, *Problem) {
	base, prob := s.document(req.ctx, e.Base)
	if prob != nil {
		return nil, nil, prob
	}
	var after any
	if e.Op == opRestore {
		if after, prob = s.document(req.ctx, e.Version); prob != nil {
			return nil, nil, prob
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
func (s *Server) preview(req pageRequest, p documentPart, e configEdit, newKey string) {
	base, raw, prob := s.applyEdit(req, p, e)
	if prob != nil {
		s.message(req, prob)
		return
	}
	doc, prob := s.validate(raw)
	if prob != nil {
		s.showFaults(req, p, e, raw, prob)
		return
	}
	changes, err := delta.Compare(base, doc)
	if err != nil {
		s.message(req, s.internalProblem(err))
		return
	}
	s.show(req, http.StatusOK, "preview", "Preview", previewData{
		Part: p, Edit: e, Changes: changes, NewKey: newKey,
	})
}

// showFaults renders the faults of an edit, in its form if it has one.
func (s *Server) showFaults(req pageRequest, p documentPart, e configEdit, raw []byte, prob *Problem) {
	value, _ := decodeValue(raw)
	after, _ := value.(map[string]any)
	if prob.Faults == nil {
		s.message(req, prob)
		return
	}
	if e.Op != opPut {
		s.show(req, prob.Status, "preview", "Not possible", previewData{Part: p, Edit: e, Faults: withEntryNames(prob.Faults, after)})
		return
	}
	tree, treeProblem := s.versionTree(req, e.Base)
	if treeProblem != nil {
		s.message(req, treeProblem)
		return
	}
	s.showEntry(req, prob.Status, p, e, tree, prob.Faults, "")
}

// confirmPost commits an edit after its preview.
func (s *Server) confirmPost(req pageRequest) {
	e, p, prob := s.editFromForm(req)
	if prob != nil {
		s.message(req, prob)
		return
	}
	base, raw, prob := s.applyEdit(req, p, e)
	if prob != nil {
		s.show(req, prob.Status, "message", "Not done", messageData{Problem: prob, Retry: &e})
		return
	}
	entry, prob := s.submit(req.ctx, e.Base, req.session.Author, raw)
	switch {
	case prob == nil:
		redirect(req.RequestCtx, "/?accepted="+strconv.FormatUint(entry.Version, 10))
	case prob.Pending != nil:
		s.show(req, prob.Status, "outcome", "Outcome not known", outcomeData{Pending: *prob.Pending})
	case prob.Conflict != nil:
		s.conflictPage(req, p, e, base, raw, prob)
	case prob.Faults != nil:
		s.showFaults(req, p, e, raw, prob)
	default:
		s.show(req, prob.Status, "message", "Not done", messageData{Problem: prob, Retry: &e})
	}
}

// conflictData is the template data of the conflict page.
type conflictData struct {
	Conflict
	Rows []conflictRow
	// Rebased is the operator's edit rebased to the current version, or nil if it could not be rebased.
	Rebased *configEdit
}

// conflictRow is a row of the conflict page.
type conflictRow struct {
	Path         string
	Theirs, Mine *delta.Change
	// Both is set if both changes affect this path or a path below or above it.
	Both bool
	// Same is set if both changes set the same value.
	Same bool
}

func (s *Server) conflictPage(req pageRequest, p documentPart, e configEdit, base *schema.Document, mine []byte, prob *Problem) {
	d := conflictData{Conflict: *prob.Conflict, Rows: conflictRows(*prob.Conflict)}
	if d.Current > d.Base {
		rebased, prob := s.rebaseEdit(req, p, e, base, mine, d.Current)
		if prob == nil {
			d.Rebased = &rebased
		}
	}
	s.show(req, http.StatusConflict, "conflict", "Another change came first", d)
}

// rebaseEdit rebases an edit to the current version. Where both changes overlap, the operator's own edit
// takes precedence.
func (s *Server) rebaseEdit(req pageRequest, p documentPart, e configEdit, base *schema.Document, raw []byte, current uint64) (configEdit, *Problem) {
	if e.Op == opRestore {
		e.Base = current
		return e, nil
	}
	theirs, prob := s.document(req.ctx, current)
	if prob != nil {
		return configEdit{}, prob
	}
	mine, prob := s.validate(raw)
	if prob != nil {
		return configEdit{}, prob
	}
	merged, err := delta.Merge(base, mine, theirs)
	if err != nil {
		return configEdit{}, s.internalProblem(err)
	}
	theirTree, err1 := documentTree(theirs)
	mergedTree, err2 := documentTree(merged)
	if err1 != nil || err2 != nil {
		return configEdit{}, s.internalProblem(err1)
	}
	return e.rebase(current, theirTree, mergedTree, p), nil
}

// conflictRows returns one row per changed path, with what each of the two changes does there.
func conflictRows(c Conflict) []conflictRow {
	both := make(map[string]bool)
	for _, o := range append(delta.Conflicts(c.Theirs, c.Mine), c.Overlap...) {
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
	// Checked is set if the table service was asked for the outcome. Otherwise Accepted and Absent are not set.
	Checked  bool
	Accepted bool
	// Absent is set if the version does not exist yet.
	Absent bool
}

// outcomePage checks whether a commit whose reply was lost has succeeded.
func (s *Server) outcomePage(req pageRequest) {
	version, p := uintQueryArg(req.RequestCtx, "version", 0)
	if p != nil {
		s.message(req, p)
		return
	}
	d := outcomeData{Pending: Pending{Version: version, Token: queryArg(req.RequestCtx, "commit")}, Checked: true}
	e, p := s.entry(req.ctx, version)
	switch {
	case p != nil && p.Status == http.StatusNotFound:
		d.Absent = true
	case p != nil:
		s.message(req, p)
		return
	default:
		d.Accepted = e.Token == d.Token
	}
	s.show(req, http.StatusOK, "outcome", "Outcome of the change", d)
}
