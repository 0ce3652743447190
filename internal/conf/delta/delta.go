// Package delta compares and merges configuration documents.
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

// Change is a difference between two documents at a JSON path. From and To are the old and the new value
// as JSON. From is empty if the value was added, To if it was removed.
type Change struct {
	Path string `json:"path"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// Compare returns the differences between two documents, ordered by path. List entries that have an
// identity are matched by it, so that inserting an entry does not change all entries after it.
func Compare(from, to *schema.Document) ([]Change, error) {
	a, err := toJSONValue(from)
	if err != nil {
		return nil, err
	}
	b, err := toJSONValue(to)
	if err != nil {
		return nil, err
	}
	var changes []Change
	compareValues("$", a, b, &changes)
	slices.SortFunc(changes, func(x, y Change) int { return cmp.Compare(x.Path, y.Path) })
	return changes, nil
}

// Conflicts returns the changes of a that conflict with a change of b: their paths are equal or one contains
// the other, so that one change would undo or hide the other.
func Conflicts(a, b []Change) []Change {
	var out []Change
	for _, c := range a {
		if slices.ContainsFunc(b, func(d Change) bool { return pathsOverlap(c.Path, d.Path) }) {
			out = append(out, c)
		}
	}
	return out
}

// pathsOverlap reports whether two paths are equal or one contains the other.
func pathsOverlap(a, b string) bool {
	if len(a) > len(b) {
		a, b = b, a
	}
	rest, ok := strings.CutPrefix(b, a)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

// toJSONValue converts a document to the maps, slices and scalars that encoding/json decodes into any.
func toJSONValue(doc *schema.Document) (any, error) {
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

func compareValues(path string, a, b any, out *[]Change) {
	if reflect.DeepEqual(a, b) {
		return
	}
	if aMap, ok := a.(map[string]any); ok {
		if bMap, ok := b.(map[string]any); ok {
			compareMaps(path+".", aMap, bMap, "", out)
			return
		}
	}
	if aList, ok := a.([]any); ok {
		if bList, ok := b.([]any); ok {
			compareLists(path, aList, bList, out)
			return
		}
	}
	*out = append(*out, Change{Path: path, From: jsonText(a), To: jsonText(b)})
}

// compareMaps compares the values of two maps key by key. The path of a value is its key between prefix
// and suffix.
func compareMaps(prefix string, a, b map[string]any, suffix string, out *[]Change) {
	keys := sets.New(slices.Collect(maps.Keys(a))...)
	for k := range b {
		keys.Add(k)
	}
	for _, k := range sets.Sorted(keys) {
		compareValues(prefix+k+suffix, a[k], b[k], out)
	}
}

func compareLists(path string, a, b []any, out *[]Change) {
	unordered := isUnordered(path)
	aIndex, aIndexed := indexByIdentity(a, unordered)
	bIndex, bIndexed := indexByIdentity(b, unordered)
	if aIndexed && bIndexed {
		compareMaps(path+"[", aIndex, bIndex, "]", out)
		return
	}
	for i := range max(len(a), len(b)) {
		compareValues(fmt.Sprintf("%s[%d]", path, i), elementAt(a, i), elementAt(b, i), out)
	}
}

func elementAt(list []any, i int) any {
	if i < len(list) {
		return list[i]
	}
	return nil
}

// jsonText returns a value as JSON, or "" if it is absent.
func jsonText(v any) string {
	if v == nil {
		return ""
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(raw)
}
