package admin

import (
	"net/http"
	"strconv"
	"strings"

	"geraniumhollow/internal/conf/delta"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/report/reason"
)

// pageSize is the number of entries per list page. Lists are paged because the target size has 19,200 hosts.
const pageSize = 100

// startData is the template data of the start page.
type startData struct {
	Status      NodeStatus
	Version     uint64
	Stale       bool
	Accepted    string
	DataCentres []schema.DataCentre
	Fleet       []NodeStatus
	// Behind is the number of nodes whose version differs from the newest.
	Behind int
}

func (s *Server) startPage(req pageRequest) {
	snap, p := s.latest(req.ctx)
	if p != nil {
		s.message(req, p)
		return
	}
	d := startData{
		Status: s.Node.Status(), Version: snap.Version, Stale: snap.Stale, DataCentres: snap.Document.DataCentres,
		Fleet: s.Node.Fleet(req.ctx), Accepted: numberOrEmpty(queryArg(req.RequestCtx, "accepted")),
	}
	for _, n := range d.Fleet {
		if n.Version != snap.Version {
			d.Behind++
		}
	}
	s.show(req, http.StatusOK, "start", "Overview", d)
}

// numberOrEmpty returns text if it is a number and an empty string otherwise, so that a crafted link cannot
// inject text into a page.
func numberOrEmpty(text string) string {
	if _, err := strconv.ParseUint(text, 10, 64); err != nil {
		return ""
	}
	return text
}

// listData is the template data of a list page.
type listData struct {
	Part    documentPart
	Version uint64
	Stale   bool
	Columns []string
	Entries []listEntry
	Filter  string
	Total   int
	// From and To are the 1-based positions of the first and last entries shown.
	From, To int
	// Prev and Next are the positions at which the adjacent pages start, or empty if there is no such page.
	Prev, Next string
}

// listEntry is a row of a list page.
type listEntry struct {
	ID    string
	Cells []string
	// Switch is the label of the button that takes the entry out of service or puts it back. It is empty if
	// the entry has no such button.
	Switch string
	// Out is set when the entry is out of service.
	Out bool
}

func (s *Server) listPage(req pageRequest, p documentPart) {
	if p.Single {
		redirect(req.RequestCtx, "/parts/"+p.Name+"/edit")
		return
	}
	snap, tree, prob := s.latestTree(req)
	if prob != nil {
		s.message(req, prob)
		return
	}
	d := listData{Part: p, Version: snap.Version, Stale: snap.Stale, Columns: columns(p.Entry), Filter: queryArg(req.RequestCtx, "q")}
	list, _ := tree[p.Name].([]any)
	entries := filterEntries(list, p, d.Columns, strings.ToLower(d.Filter))
	d.Total = len(entries)
	from, _ := strconv.Atoi(numberOrEmpty(queryArg(req.RequestCtx, "from")))
	d.paginate(entries, from)
	s.show(req, http.StatusOK, "list", p.Label, d)
}

// paginate selects the entries of one page and sets the positions of the previous and next pages.
func (d *listData) paginate(entries []listEntry, from int) {
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

// columns returns the names of the scalar fields of an entry, which are the columns of its list.
func columns(n *schemaNode) []string {
	var out []string
	for _, p := range n.Properties {
		if p.Type != "object" && p.Type != "array" {
			out = append(out, p.Name)
		}
	}
	return out
}

// filterEntries returns the rows of the entries that contain the filter, which is in lower case, in any column.
func filterEntries(list []any, p documentPart, cols []string, filter string) []listEntry {
	out := make([]listEntry, 0, len(list))
	for _, e := range list {
		m, _ := e.(map[string]any)
		id, ok := delta.EntryIdentity(e)
		entry := listEntry{ID: id}
		for _, c := range cols {
			entry.Cells = append(entry.Cells, formatCell(m[c]))
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

func formatCell(v any) string {
	switch v {
	case true:
		return "yes"
	case false:
		return "no"
	}
	return formatScalar(v)
}

// serviceField returns the field that puts an entry into or out of service.
func serviceField(n *schemaNode) (string, bool) {
	for _, name := range []string{"in_service", "out_of_service"} {
		if n.property(name) != nil {
			return name, true
		}
	}
	return "", false
}

// outOfService reports whether an entry is out of service. The field is either out_of_service or in_service,
// which have opposite meanings.
func outOfService(m map[string]any, field string) bool {
	set, _ := m[field].(bool)
	return set == (field == "out_of_service")
}

// latestTree returns the newest version and its document as generic JSON values.
func (s *Server) latestTree(req pageRequest) (snapshot, map[string]any, *Problem) {
	snap, p := s.latest(req.ctx)
	if p != nil {
		return snapshot{}, nil, p
	}
	tree, err := documentTree(snap.Document)
	if err != nil {
		return snapshot{}, nil, s.internalProblem(err)
	}
	return snap, tree, nil
}

// historyData is the template data of a history page.
type historyData struct {
	Versions []VersionSummary
	// Newest is set if the first version listed is the one in force.
	Newest bool
	// Older is the version before which the next page starts, or 0 on the last page.
	Older uint64
}

func (s *Server) historyPage(req pageRequest) {
	before, p := uintQueryArg(req.RequestCtx, "before", 0)
	if p != nil {
		s.message(req, p)
		return
	}
	list, p := s.history(req.ctx, before, defaultHistoryEntries)
	if p != nil {
		s.message(req, p)
		return
	}
	d := historyData{Versions: list, Newest: before == 0}
	if n := len(list); n == defaultHistoryEntries && list[n-1].Version > 1 {
		d.Older = list[n-1].Version
	}
	s.show(req, http.StatusOK, "history", "History", d)
}

func (s *Server) changesPage(req pageRequest) {
	from, fromProblem := uintQueryArg(req.RequestCtx, "from", 0)
	to, toProblem := uintQueryArg(req.RequestCtx, "to", 0)
	if fromProblem != nil || toProblem != nil {
		s.message(req, badRequest("from and to must be version numbers"))
		return
	}
	d, p := s.diff(req.ctx, from, to)
	if p != nil {
		s.message(req, p)
		return
	}
	s.show(req, http.StatusOK, "changes", "Changes", d)
}

// explainData is the template data of the decisions page.
type explainData struct {
	Subject string
	Kind    reason.Kind
	Kinds   []reason.Kind
	Entries []reason.Entry
}

func (s *Server) explainPage(req pageRequest) {
	d := explainData{Subject: queryArg(req.RequestCtx, "subject"), Kind: reason.Kind(queryArg(req.RequestCtx, "kind")), Kinds: reason.Kinds()}
	d.Entries = s.Reasons.Search(reason.Query{Subject: strings.TrimSpace(d.Subject), Kind: d.Kind, Limit: defaultExplainEntries})
	s.show(req, http.StatusOK, "explain", "Decisions", d)
}
