package admin

import (
	"bytes"
	"encoding/json"
	"fmt"

	"geraniumhollow/internal/conf/delta"
	"geraniumhollow/internal/conf/schema"
	"github.com/cockroachdb/errors"
)

// Operations of an edit: put adds or replaces an entry, remove removes one, and restore applies the document of
// an earlier version again.
const (
	opPut     = "put"
	opRemove  = "remove"
	opRestore = "restore"
)

// configEdit is a change that an operator makes through the forms. Hidden form fields carry it from the form
// through the preview to the commit, so that the node keeps no state between these requests.
type configEdit struct {
	Part string
	Op   string
	// ID is the identity of the entry before the change, or empty to add an entry.
	ID    string
	Entry any
	// Base is the version that the change is based on.
	Base uint64
	// Version is the version whose document opRestore applies again.
	Version uint64
}

// EntryJSON returns the entry for a hidden field.
func (e configEdit) EntryJSON() string {
	raw, err := json.Marshal(e.Entry)
	if err != nil {
		return "null"
	}
	return string(raw)
}

// documentTree returns a document as generic JSON values. Numbers are json.Number, because float64 would round
// integers above 2^53.
func documentTree(doc *schema.Document) (map[string]any, error) {
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil, errors.Newf("encode document: %w", err)
	}
	v, err := decodeValue(raw)
	if err != nil {
		return nil, err
	}
	tree, ok := v.(map[string]any)
	if !ok {
		return nil, errors.New("document is not a JSON object")
	}
	return tree, nil
}

func decodeValue(raw []byte) (any, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return nil, errors.Newf("decode value: %w", err)
	}
	return v, nil
}

// indexOfEntry returns the index of the entry with the given identity, or -1.
func indexOfEntry(list []any, id string) int {
	for i, e := range list {
		if got, ok := delta.EntryIdentity(e); ok && got == id {
			return i
		}
	}
	return -1
}

// entryOf returns an entry of a document tree and whether it exists. For a single part it returns the part
// itself.
func entryOf(tree map[string]any, p documentPart, id string) (any, bool) {
	if p.Single {
		return tree[p.Name], true
	}
	list, _ := tree[p.Name].([]any)
	i := indexOfEntry(list, id)
	if i < 0 {
		return nil, false
	}
	return list[i], true
}

// applyTo applies the edit to a document tree and returns the path of the changed entry with its list index,
// as in the paths of validation errors: $.hosts[3].
func (e configEdit) applyTo(tree map[string]any, p documentPart) string {
	if p.Single {
		tree[p.Name] = e.Entry
		return "$." + p.Name
	}
	list, _ := tree[p.Name].([]any)
	i := -1
	if e.ID != "" {
		i = indexOfEntry(list, e.ID)
	}
	switch {
	case e.Op == opRemove && i >= 0:
		list = append(list[:i:i], list[i+1:]...)
	case e.Op == opRemove:
	case i >= 0:
		list[i] = e.Entry
	default:
		list = append(list, e.Entry)
		i = len(list) - 1
	}
	if list == nil {
		list = []any{}
	}
	tree[p.Name] = list
	return fmt.Sprintf("$.%s[%d]", p.Name, i)
}

// rebase returns the edit based on the newer version current. theirs is the document of that version. merged is
// theirs with the change of this edit applied, from which rebase takes the entry.
func (e configEdit) rebase(current uint64, theirs, merged map[string]any, p documentPart) configEdit {
	out := e
	out.Base = current
	if e.Op != opPut || p.Single {
		if e.Op == opPut {
			out.Entry = merged[p.Name]
		}
		return out
	}
	id, ok := delta.EntryIdentity(e.Entry)
	if !ok {
		return out
	}
	if entry, ok := entryOf(merged, p, id); ok {
		out.Entry = entry
	}
	// If both versions added an entry with this identity, this edit changes the existing entry instead of
	// adding a duplicate.
	list, _ := theirs[p.Name].([]any)
	if indexOfEntry(list, e.ID) < 0 && indexOfEntry(list, id) >= 0 {
		out.ID = id
	}
	return out
}
