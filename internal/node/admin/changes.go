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

// entryData is what the form of an entry shows.
type entryData struct {
	Part   part
	Edit   edit
	Fields []field
	Names  suggestions
	// Faults belong to no field.
	Faults []string
	// Others are faults elsewhere in the document that the change causes.
	Others []check.Fault
}

// previewData is what the preview shows.
type previewData struct {
	Part    part
	Edit    edit
	Changes []delta.Change
	Faults  []check.Fault
	// NewKey is a bearer key that the change adds to a client account; it is shown only here.
	NewKey string
}

func (s *Server) newPage(v visit, p part) {
	now, tree, pr := s.latestTree(v)
	if pr != nil {
		s.message(v, pr)
		return
	}
	e := edit{Part: p.Name, Op: opPut, Base: now.Version}
	s.showEntry(v, http.StatusOK, p, e, tree, nil, "")
}

func (s *Server) editPage(v visit, p part) {
	if e, tree, ok := s.existing(v, p); ok {
		s.showEntry(v, http.StatusOK, p, e, tree, nil, "")
	}
}

// existing returns the edit of the entry that the request names, unchanged, and the document.
func (s *Server) existing(v visit, p part) (edit, map[string]any, bool) {
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

// showEntry shows the form of an entry, with the faults of a document in which it stands.
func (s *Server) showEntry(v visit, status int, p part, e edit, tree map[string]any, faults []check.Fault, add string) {
	d := entryData{Part: p, Edit: e, Names: namesOf(tree)}
	own, others := entryFaults(faults, e.applyTo(tree, p))
	d.Fields, d.Faults = render(p.Entry, e.Entry, own, add)
	d.Others = withNames(others, tree)
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

// maxSuggestions bounds the names that one page lists.
const maxSuggestions = 500

// namesOf returns the names of each list of a document.
func namesOf(tree map[string]any) suggestions {
	out := make(suggestions, len(tree))
	for list, entries := range tree {
		l, _ := entries.([]any)
		for _, e := range l[:min(len(l), maxSuggestions)] {
			m, _ := e.(map[string]any)
			if name, ok := m["name"].(string); ok {
				out[list] = append(out[list], name)
			}
		}
	}
	return out
}

func (s *Server) removePage(v visit, p part) {
	if e, _, ok := s.existing(v, p); ok && !p.Single {
		e.Op, e.Entry = opRemove, nil
		s.preview(v, p, e, "")
	}
}

// switchPage previews taking an entry out of service or putting it back.
func (s *Server) switchPage(v visit, p part) {
	name, has := serviceField(p.Entry)
	e, _, ok := s.existing(v, p)
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

func (s *Server) restorePage(v visit) {
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

// previewPost reads the form of an entry.
func (s *Server) previewPost(v visit, p part) {
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
		s.entryAgain(v, p, e, add)
		return
	}
	if v.form("action") == "new_key" {
		s.previewNewKey(v, p, e)
		return
	}
	s.preview(v, p, e, "")
}

// previewNewKey previews an edit of a client account that adds the hash of a new key. With faults there
// is no preview to show the key on, so none is added.
func (s *Server) previewNewKey(v visit, p part, e edit) {
	m, ok := e.Entry.(map[string]any)
	if !ok || p.Entry.property("key_hashes") == nil {
		s.message(v, badRequest("this entry has no keys"))
		return
	}
	_, raw, pr := s.changed(v, p, e)
	if pr == nil {
		_, pr = s.validate(raw)
	}
	if pr != nil {
		s.faulty(v, p, e, raw, pr)
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

// entryAgain shows the form with what was entered.
func (s *Server) entryAgain(v visit, p part, e edit, add string) {
	tree, pr := s.treeAt(v, e.Base)
	if pr != nil {
		s.message(v, pr)
		return
	}
	s.showEntry(v, http.StatusOK, p, e, tree, nil, add)
}

func (s *Server) treeAt(v visit, version uint64) (map[string]any, *Problem) {
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

// carried reads the edit that a preview or a conflict page carries in hidden fields.
func (s *Server) carried(v visit) (edit, part, *Problem) {
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

func (s *Server) carriedPreview(v visit) {
	e, p, pr := s.carried(v)
	if pr != nil {
		s.message(v, pr)
		return
	}
	s.preview(v, p, e, "")
}

func (s *Server) carriedEdit(v visit) {
	e, p, pr := s.carried(v)
	if pr != nil || e.Op != opPut {
		s.message(v, badRequest("the form is not complete"))
		return
	}
	s.entryAgain(v, p, e, "")
}

// changed returns the document at the base of an edit, and the JSON of the document after it.
func (s *Server) changed(v visit, p part, e edit) (*schema.Document, []byte, *Problem) {
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

// preview lists what an edit changes, or shows its faults at their fields.
func (s *Server) preview(v visit, p part, e edit, newKey string) {
	base, raw, pr := s.changed(v, p, e)
	if pr != nil {
		s.message(v, pr)
		return
	}
	doc, pr := s.validate(raw)
	if pr != nil {
		s.faulty(v, p, e, raw, pr)
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

// faulty shows the faults of an edit: in its form when it has one.
func (s *Server) faulty(v visit, p part, e edit, raw []byte, pr *Problem) {
	value, _ := decodeValue(raw)
	after, _ := value.(map[string]any)
	if pr.Faults == nil {
		s.message(v, pr)
		return
	}
	if e.Op != opPut {
		s.show(v, pr.Status, "preview", "Not possible", previewData{Part: p, Edit: e, Faults: withNames(pr.Faults, after)})
		return
	}
	tree, problem := s.treeAt(v, e.Base)
	if problem != nil {
		s.message(v, problem)
		return
	}
	s.showEntry(v, pr.Status, p, e, tree, pr.Faults, "")
}

// confirm commits an edit that was previewed.
func (s *Server) confirm(v visit) {
	e, p, pr := s.carried(v)
	if pr != nil {
		s.message(v, pr)
		return
	}
	base, raw, pr := s.changed(v, p, e)
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
		s.faulty(v, p, e, raw, pr)
	default:
		s.show(v, pr.Status, "message", "Not done", messageData{Problem: pr, Retry: &e})
	}
}

// conflictData shows both changes, and mine on the new base.
type conflictData struct {
	Conflict
	Places []place
	// Redo is my change on the current version; nil when that could not be read.
	Redo *edit
}

// place is one line of the conflict page.
type place struct {
	Path         string
	Theirs, Mine *delta.Change
	Both         bool
	// Same is set when both made the same change.
	Same bool
}

func (s *Server) conflictPage(v visit, p part, e edit, base *schema.Document, mine []byte, pr *Problem) {
	d := conflictData{Conflict: *pr.Conflict, Places: places(*pr.Conflict)}
	if d.Current > d.Base {
		redo, pr := s.redo(v, p, e, base, mine, d.Current)
		if pr == nil {
			d.Redo = &redo
		}
	}
	s.show(v, http.StatusConflict, "conflict", "Another change came first", d)
}

// redo puts an edit on the current version. Where both touch the same place, mine is kept.
func (s *Server) redo(v visit, p part, e edit, base *schema.Document, raw []byte, current uint64) (edit, *Problem) {
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
	return e.onto(current, theirTree, mergedTree, p), nil
}

// places puts both changes side by side, by path.
func places(c Conflict) []place {
	both := make(map[string]bool)
	for _, o := range append(delta.Overlap(c.Theirs, c.Mine), c.Overlap...) {
		both[o.Path] = true
	}
	var out []place
	index := make(map[string]int)
	for i := range c.Theirs {
		t := &c.Theirs[i]
		index[t.Path] = len(out)
		out = append(out, place{Path: t.Path, Theirs: t, Both: both[t.Path]})
	}
	for i := range c.Mine {
		m := &c.Mine[i]
		if at, ok := index[m.Path]; ok {
			out[at].Mine, out[at].Same = m, m.To == out[at].Theirs.To
			continue
		}
		out = append(out, place{Path: m.Path, Mine: m, Both: both[m.Path]})
	}
	return out
}

// outcomeData is what is known of a commit whose answer was lost.
type outcomeData struct {
	Pending
	Checked  bool
	Accepted bool
	Absent   bool
}

// outcomePage looks whether a commit whose answer was lost has taken effect.
func (s *Server) outcomePage(v visit) {
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
