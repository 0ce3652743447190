package admin

import (
	"net/http"
	"strconv"
	"strings"

	"geraniumhollow/internal/conf/delta"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/report/reason"
)

// pageSize is the number of entries on one page of a list; there are 19,200 hosts at the target size.
const pageSize = 100

// startData is what the start page shows.
type startData struct {
	Status      NodeStatus
	Version     uint64
	Stale       bool
	Accepted    string
	DataCentres []schema.DataCentre
	Fleet       []NodeStatus
	// Behind is the number of nodes with another version.
	Behind int
}

func (s *Server) startPage(v visit) {
	now, p := s.latest(v.ctx)
	if p != nil {
		s.message(v, p)
		return
	}
	d := startData{
		Status: s.Node.Status(), Version: now.Version, Stale: now.Stale, DataCentres: now.Document.DataCentres,
		Fleet: s.Node.Fleet(v.ctx), Accepted: digits(arg(v.RequestCtx, "accepted")),
	}
	for _, n := range d.Fleet {
		if n.Version != now.Version {
			d.Behind++
		}
	}
	s.show(v, http.StatusOK, "start", "Overview", d)
}

// digits returns text if it is a number, so that a link cannot put words on a page.
func digits(text string) string {
	if _, err := strconv.ParseUint(text, 10, 64); err != nil {
		return ""
	}
	return text
}

// listData is what a list page shows.
type listData struct {
	Part    part
	Version uint64
	Stale   bool
	Columns []string
	Entries []listEntry
	Filter  string
	Total   int
	// From is the position of the first entry shown, counted from 1.
	From, To   int
	Prev, Next string
}

// listEntry is one line of a list.
type listEntry struct {
	ID    string
	Cells []string
	// Switch is the text of the button that takes the entry out of service or back; empty if it has none.
	Switch string
	// Out is set when the entry is out of service.
	Out bool
}

func (s *Server) listPage(v visit, p part) {
	if p.Single {
		redirect(v.RequestCtx, "/parts/"+p.Name+"/edit")
		return
	}
	now, tree, pr := s.latestTree(v)
	if pr != nil {
		s.message(v, pr)
		return
	}
	d := listData{Part: p, Version: now.Version, Stale: now.Stale, Columns: columns(p.Entry), Filter: arg(v.RequestCtx, "q")}
	list, _ := tree[p.Name].([]any)
	entries := matching(list, p, d.Columns, strings.ToLower(d.Filter))
	d.Total = len(entries)
	from, _ := strconv.Atoi(digits(arg(v.RequestCtx, "from")))
	d.cut(entries, from)
	s.show(v, http.StatusOK, "list", p.Label, d)
}

// cut picks the entries of one page and the places of its neighbours.
func (d *listData) cut(entries []listEntry, from int) {
	start := min(max(from-1, 0), len(entries))
	end := min(start+pageSize, len(entries))
	d.Entries, d.From, d.To = entries[start:end], start+1, end
	if start > 0 {
		d.Prev = strconv.Itoa(max(start-pageSize, 0) + 1)
	}
	if end < len(entries) {
		d.Next = strconv.Itoa(end + 1)
	}
}

// columns returns the scalar fields of an entry.
func columns(n *node) []string {
	var out []string
	for _, p := range n.Properties {
		if p.Type != "object" && p.Type != "array" {
			out = append(out, p.Name)
		}
	}
	return out
}

func matching(list []any, p part, cols []string, filter string) []listEntry {
	out := make([]listEntry, 0, len(list))
	for _, e := range list {
		m, _ := e.(map[string]any)
		id, ok := delta.Identity(e)
		entry := listEntry{ID: id}
		for _, c := range cols {
			entry.Cells = append(entry.Cells, cell(m[c]))
		}
		if !ok || !strings.Contains(strings.ToLower(strings.Join(entry.Cells, "\n")), filter) {
			continue
		}
		if field, ok := serviceField(p.Entry); ok {
			entry.Out = outOfService(m, field)
			entry.Switch = "Take out of service"
			if entry.Out {
				entry.Switch = "Put into service"
			}
		}
		out = append(out, entry)
	}
	return out
}

func cell(v any) string {
	switch v {
	case true:
		return "yes"
	case false:
		return "no"
	}
	return text(v)
}

// serviceField returns the field that takes an entry in and out of service.
func serviceField(n *node) (string, bool) {
	for _, name := range []string{"in_service", "out_of_service"} {
		if n.property(name) != nil {
			return name, true
		}
	}
	return "", false
}

func outOfService(m map[string]any, field string) bool {
	set, _ := m[field].(bool)
	return set == (field == "out_of_service")
}

// latestTree returns the newest version and the generic form of its document.
func (s *Server) latestTree(v visit) (snapshot, map[string]any, *Problem) {
	now, p := s.latest(v.ctx)
	if p != nil {
		return snapshot{}, nil, p
	}
	tree, err := documentTree(now.Document)
	if err != nil {
		return snapshot{}, nil, s.internalProblem(err)
	}
	return now, tree, nil
}

// historyData is one page of the history.
type historyData struct {
	Versions []VersionSummary
	// Newest is set when the first version is the one in force.
	Newest bool
	// Older is where the next page starts; 0 on the last one.
	Older uint64
}

func (s *Server) historyPage(v visit) {
	before, p := numberArg(v.RequestCtx, "before", 0)
	if p != nil {
		s.message(v, p)
		return
	}
	list, p := s.history(v.ctx, before, defaultHistory)
	if p != nil {
		s.message(v, p)
		return
	}
	d := historyData{Versions: list, Newest: before == 0}
	if n := len(list); n == defaultHistory && list[n-1].Version > 1 {
		d.Older = list[n-1].Version
	}
	s.show(v, http.StatusOK, "history", "History", d)
}

func (s *Server) changesPage(v visit) {
	from, p1 := numberArg(v.RequestCtx, "from", 0)
	to, p2 := numberArg(v.RequestCtx, "to", 0)
	if p1 != nil || p2 != nil {
		s.message(v, badRequest("a version is a number"))
		return
	}
	d, p := s.diff(v.ctx, from, to)
	if p != nil {
		s.message(v, p)
		return
	}
	s.show(v, http.StatusOK, "changes", "Changes", d)
}

// explainData is what the page of decisions shows.
type explainData struct {
	Subject string
	Kind    reason.Kind
	Kinds   []reason.Kind
	Entries []reason.Entry
}

func (s *Server) explainPage(v visit) {
	d := explainData{Subject: arg(v.RequestCtx, "subject"), Kind: reason.Kind(arg(v.RequestCtx, "kind")), Kinds: reason.Kinds()}
	d.Entries = s.Reasons.Search(reason.Query{Subject: strings.TrimSpace(d.Subject), Kind: d.Kind, Limit: defaultExplain})
	s.show(v, http.StatusOK, "explain", "Decisions", d)
}
