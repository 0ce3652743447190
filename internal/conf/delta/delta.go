// Package delta lists what differs between two configuration documents, by JSON path.
package delta

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/core/sets"
	"github.com/cockroachdb/errors"
)

// Change is one difference. From is empty for what was added, To for what was removed; both are JSON.
type Change struct {
	Path string `json:"path"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// Documents returns the differences between two documents, ordered by path. Entries of a list that
// have an identity are matched by it, so that inserting one does not change all that follow.
func Documents(from, to *schema.Document) ([]Change, error) {
	a, err := tree(from)
	if err != nil {
		return nil, err
	}
	b, err := tree(to)
	if err != nil {
		return nil, err
	}
	var out []Change
	compare("$", a, b, &out)
	slices.SortFunc(out, func(x, y Change) int { return cmp.Compare(x.Path, y.Path) })
	return out, nil
}

// Overlap returns the changes of a that touch the same place as one of b, so that one would undo or hide
// the other. Places are the same when one contains the other.
func Overlap(a, b []Change) []Change {
	var out []Change
	for _, c := range a {
		if slices.ContainsFunc(b, func(d Change) bool { return samePlace(c.Path, d.Path) }) {
			out = append(out, c)
		}
	}
	return out
}

// samePlace reports whether one path contains the other.
func samePlace(a, b string) bool {
	if len(a) > len(b) {
		a, b = b, a
	}
	rest, ok := strings.CutPrefix(b, a)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

// tree turns a document into the generic form of its JSON.
func tree(doc *schema.Document) (any, error) {
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil, errors.Newf("encode document: %w", err)
	}
	var v any
	if err := json.Unmarshal(raw, &v); err != nil {
		return nil, errors.Newf("decode document: %w", err)
	}
	return v, nil
}

func compare(path string, a, b any, out *[]Change) {
	if reflect.DeepEqual(a, b) {
		return
	}
	if am, ok := a.(map[string]any); ok {
		if bm, ok := b.(map[string]any); ok {
			compareMaps(path+".", am, bm, "", out)
			return
		}
	}
	if al, ok := a.([]any); ok {
		if bl, ok := b.([]any); ok {
			compareLists(path, al, bl, out)
			return
		}
	}
	*out = append(*out, Change{Path: path, From: text(a), To: text(b)})
}

// compareMaps compares the values of both maps by key; before and after surround the key in the path.
func compareMaps(before string, a, b map[string]any, after string, out *[]Change) {
	keys := sets.New(slices.Collect(maps.Keys(a))...)
	for k := range b {
		keys.Add(k)
	}
	for _, k := range sets.Sorted(keys) {
		compare(before+k+after, a[k], b[k], out)
	}
}

func compareLists(path string, a, b []any, out *[]Change) {
	unordered := isSet(path)
	an, aok := byIdentity(a, unordered)
	bn, bok := byIdentity(b, unordered)
	if aok && bok {
		compareMaps(path+"[", an, bn, "]", out)
		return
	}
	for i := range max(len(a), len(b)) {
		compare(fmt.Sprintf("%s[%d]", path, i), at(a, i), at(b, i), out)
	}
}

func at(list []any, i int) any {
	if i < len(list) {
		return list[i]
	}
	return nil
}

// text returns the JSON of a value, or "" for one that is absent.
func text(v any) string {
	if v == nil {
		return ""
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(raw)
}
