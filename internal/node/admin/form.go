package admin

import (
	"fmt"
	"strconv"
	"strings"

	"geraniumhollow/internal/conf/check"
	"geraniumhollow/internal/conf/delta"
)

// Field kinds, as the templates compare them.
const (
	kindText   = "text"
	kindNumber = "number"
	kindCheck  = "checkbox"
	kindSelect = "select"
	kindLines  = "lines"
	kindObject = "object"
	kindRows   = "rows"
)

// maxRows limits the row count that a submitted form may declare.
const maxRows = 1000

// formPrefix separates the names of document fields from the form's own fields.
const formPrefix = "f."

// field is one field of a form, ready for the template.
type field struct {
	Kind string
	Name string
	// Path is the path relative to the entry, such as versions[0].name.
	Path string
	ID   string
	// Last is the last element of the path, the field's own name.
	Last    string
	Label   string
	Help    string
	Value   string
	Checked bool
	Options []string
	// Suggestions is the list in the document whose entry names are suggested.
	Suggestions string
	Min, Max    string
	Step        string
	Mandatory   bool
	Faults      []string
	Fields      []field
	Rows        []row
}

// row is one entry of a list of objects.
type row struct {
	Title string
	// Remove is the name of the checkbox that removes the row.
	Remove string
	Fields []field
}

// renderer converts an entry of the document into form fields.
type renderer struct {
	// faults are messages by path relative to the entry, such as capacity.cold_requests.
	faults map[string][]string
	// shown are the paths whose faults are shown at a field.
	shown map[string]bool
	// add is the path of the list that gets a blank row.
	add string
}

// render returns the fields of an entry, and the faults that belong to no field. add is the path of the list that
// gets a blank row, or empty.
func render(n *schemaNode, value any, faults map[string][]string, add string) ([]field, []string) {
	r := &renderer{faults: faults, shown: make(map[string]bool), add: add}
	fields := r.properties(n, "", value, false)
	var rest []string
	for path, messages := range faults {
		if !r.shown[path] {
			for _, m := range messages {
				rest = append(rest, strings.TrimSpace(path+" "+m))
			}
		}
	}
	return fields, rest
}

// properties returns the fields of an object. In a blank row no field is mandatory, because a row that stays
// empty is dropped.
func (r *renderer) properties(n *schemaNode, prefix string, value any, blank bool) []field {
	m, _ := value.(map[string]any)
	fields := make([]field, 0, len(n.Properties))
	for _, p := range n.Properties {
		fields = append(fields, r.field(p, joinPath(prefix, p.Name), m[p.Name], blank))
	}
	return fields
}

func joinPath(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}

func (r *renderer) field(n *schemaNode, path string, value any, blank bool) field {
	f := field{
		Name: formPrefix + path, Path: path, ID: "f-" + strings.NewReplacer(".", "-", "[", "-", "]", "").Replace(path),
		Last: n.Name, Label: label(n.Name), Help: trimTypeName(n.Description), Mandatory: n.Mandatory && !blank, Suggestions: n.Ref,
		Faults: r.faultsAt(path),
	}
	switch {
	case n.Type == "object":
		f.Kind, f.Fields = kindObject, r.properties(n, path, value, blank)
	case n.Type == "array" && n.Items.Type == "object":
		f.Kind, f.Rows = kindRows, r.rows(n, path, value)
	case n.Type == "array":
		f.Kind, f.Value = kindLines, joinLines(value)
		f.Faults = append(f.Faults, r.lineFaults(path)...)
	case n.Type == "boolean":
		f.Kind = kindCheck
		f.Checked, _ = value.(bool)
	case len(n.Enum) > 0:
		f.Kind, f.Options, f.Value = kindSelect, n.Enum, formatScalar(value)
	default:
		f.Kind, f.Value = kindText, formatScalar(value)
		f.number(n)
	}
	if n.Default != nil && n.Default != "" && n.Default != false && n.Type != "boolean" {
		f.Help = strings.TrimSpace(f.Help + " Empty means " + formatScalar(n.Default) + ".")
	}
	return f
}

// number sets the kind, step and bounds of a numeric field.
func (f *field) number(n *schemaNode) {
	if n.Type != "integer" && n.Type != "number" {
		return
	}
	f.Kind, f.Step = kindNumber, "any"
	if n.Type == "integer" {
		f.Step = "1"
	}
	for _, b := range []struct {
		bound *float64
		to    *string
	}{{n.Minimum, &f.Min}, {n.Maximum, &f.Max}, {n.ExclusiveMinimum, &f.Min}, {n.ExclusiveMaximum, &f.Max}} {
		if b.bound != nil {
			*b.to = strconv.FormatFloat(*b.bound, 'f', -1, 64)
		}
	}
}

// rows returns the rows of a list of objects. It appends a blank row if one was requested, or if the list is
// mandatory and empty.
func (r *renderer) rows(n *schemaNode, path string, value any) []row {
	list, _ := value.([]any)
	rows := make([]row, 0, len(list)+1)
	for i, e := range list {
		rows = append(rows, r.row(n, path, i, e, false))
	}
	if r.add == path || len(list) == 0 && n.Mandatory {
		rows = append(rows, r.row(n, path, len(list), nil, true))
	}
	return rows
}

func (r *renderer) row(n *schemaNode, path string, i int, value any, blank bool) row {
	at := fmt.Sprintf("%s[%d]", path, i)
	title := fmt.Sprintf("%s %d", label(singular(n.Name)), i+1)
	if id, ok := delta.EntryIdentity(value); ok {
		title += ": " + id
	}
	return row{
		Title: title, Remove: "remove." + at,
		Fields: append(r.rowFaults(n, at), r.properties(n.Items, at, value, blank)...),
	}
}

// rowFaults returns a field that shows the faults of the row itself, or nil if there are none.
func (r *renderer) rowFaults(n *schemaNode, path string) []field {
	faults := r.faultsAt(path)
	if len(faults) == 0 {
		return nil
	}
	return []field{{Kind: "faults", Label: label(n.Name), Faults: faults}}
}

// faultsAt returns the faults of a path and marks them as shown.
func (r *renderer) faultsAt(path string) []string {
	r.shown[path] = true
	return r.faults[path]
}

// lineFaults returns the faults of single lines of a text area, each prefixed with its line number.
func (r *renderer) lineFaults(path string) []string {
	var out []string
	for at, messages := range r.faults {
		rest, ok := strings.CutPrefix(at, path+"[")
		if !ok {
			continue
		}
		r.shown[at] = true
		index, _ := strconv.Atoi(strings.TrimSuffix(rest, "]"))
		for _, m := range messages {
			out = append(out, fmt.Sprintf("line %d: %s", index+1, m))
		}
	}
	return out
}

// entryFaults splits the faults of a document into those of one entry, by path relative to it, and others.
func entryFaults(faults []check.Fault, prefix string) (map[string][]string, []check.Fault) {
	byPath := make(map[string][]string)
	var others []check.Fault
	for _, f := range faults {
		rest, ok := strings.CutPrefix(f.Path, prefix)
		if !ok || rest != "" && rest[0] != '.' && rest[0] != '[' {
			others = append(others, f)
			continue
		}
		path := strings.TrimPrefix(rest, ".")
		byPath[path] = append(byPath[path], f.Message)
	}
	return byPath, others
}

// withEntryNames replaces the index in the paths of faults by the name of the entry: $.groups[3].model becomes
// $.groups[presse-lm-003].model, as in the lists of changes.
func withEntryNames(faults []check.Fault, tree map[string]any) []check.Fault {
	out := make([]check.Fault, 0, len(faults))
	for _, f := range faults {
		head, rest, ok := strings.Cut(strings.TrimPrefix(f.Path, "$."), "[")
		index, tail, ok2 := strings.Cut(rest, "]")
		i, err := strconv.Atoi(index)
		list, _ := tree[head].([]any)
		if ok && ok2 && err == nil && i < len(list) {
			if id, named := delta.EntryIdentity(list[i]); named {
				f.Path = "$." + head + "[" + id + "]" + tail
			}
		}
		out = append(out, f)
	}
	return out
}

// formatScalar formats a scalar for a form field.
func formatScalar(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return v
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	default:
		return fmt.Sprint(v)
	}
}

func joinLines(v any) string {
	list, _ := v.([]any)
	out := make([]string, len(list))
	for i, e := range list {
		out[i] = formatScalar(e)
	}
	return strings.Join(out, "\n")
}
