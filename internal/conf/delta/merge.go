package delta

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"geraniumhollow/internal/conf/schema"
	"github.com/cockroachdb/errors"
)

// identityFields are the sets of fields that identify an entry within its list. The first set whose fields
// the entry has as strings applies. Validation rejects documents in which two entries of a list have the
// same identity, except for the periods of a calendar. A list with such duplicates is not matched by
// identity.
var identityFields = [][]string{
	{"name"}, {"from", "to"}, {"model", "data_centre"}, {"account", "model"}, {"method", "path_prefix"}, {"kind", "first_day"},
}

// identitySeparator joins the fields of an identity. Names cannot contain it.
const identitySeparator = "~"

// unorderedFields are the lists of strings whose order has no meaning. Their entries are identified by value.
var unorderedFields = []string{"key_hashes", "adapters"}

// isUnordered reports whether the last field of a path is one of unorderedFields.
func isUnordered(path string) bool {
	return slices.Contains(unorderedFields, path[strings.LastIndexByte(path, '.')+1:])
}

// EntryIdentity returns the identity of a list entry within its list, such as its name, and whether it has one.
func EntryIdentity(entry any) (string, bool) {
	m, ok := entry.(map[string]any)
	if !ok {
		return "", false
	}
	for _, fields := range identityFields {
		if id, ok := joinFields(m, fields); ok {
			return id, true
		}
	}
	return "", false
}

func joinFields(m map[string]any, fields []string) (string, bool) {
	parts := make([]string, len(fields))
	for i, f := range fields {
		s, ok := m[f].(string)
		if !ok {
			return "", false
		}
		parts[i] = s
	}
	return strings.Join(parts, identitySeparator), true
}

// entryIdentity is like EntryIdentity, but a string in an unordered list is its own identity.
func entryIdentity(entry any, unordered bool) (string, bool) {
	if s, ok := entry.(string); ok && unordered {
		return s, true
	}
	return EntryIdentity(entry)
}

// indexByIdentity returns a map from identity to entry, and whether every entry has a unique identity.
func indexByIdentity(list []any, unordered bool) (map[string]any, bool) {
	index := make(map[string]any, len(list))
	for _, e := range list {
		id, ok := entryIdentity(e, unordered)
		if _, duplicate := index[id]; !ok || duplicate {
			return nil, false
		}
		index[id] = e
	}
	return index, true
}

// Merge performs a three-way merge: it applies the changes between base and theirs to mine. Where both
// changed the same value, mine wins. The result may violate rules that both documents satisfy, so it must
// be validated.
func Merge(base, mine, theirs *schema.Document) (*schema.Document, error) {
	values := make([]any, 0, 3)
	for _, doc := range []*schema.Document{base, mine, theirs} {
		t, err := toJSONValue(doc)
		if err != nil {
			return nil, err
		}
		values = append(values, t)
	}
	raw, err := json.Marshal(mergeValues("", values[0], values[1], values[2]))
	if err != nil {
		return nil, errors.Newf("encode merged document: %w", err)
	}
	var out schema.Document
	if err := json.Unmarshal(raw, &out); err != nil {
		return nil, errors.Newf("decode merged document: %w", err)
	}
	return &out, nil
}

// mergeValues merges the decoded JSON values of the field with the given name; nil is an absent value.
func mergeValues(name string, base, mine, theirs any) any {
	if reflect.DeepEqual(mine, base) {
		return theirs
	}
	if reflect.DeepEqual(theirs, base) || reflect.DeepEqual(theirs, mine) {
		return mine
	}
	if m, ok := mine.(map[string]any); ok {
		if t, ok := theirs.(map[string]any); ok {
			b, _ := base.(map[string]any)
			return mergeMaps(b, m, t)
		}
	}
	if m, ok := mine.([]any); ok {
		if t, ok := theirs.([]any); ok {
			b, _ := base.([]any)
			return mergeLists(isUnordered(name), b, m, t)
		}
	}
	return mine
}

func mergeMaps(base, mine, theirs map[string]any) map[string]any {
	out := make(map[string]any, len(theirs))
	for _, m := range []map[string]any{theirs, mine} {
		for k := range m {
			if v := mergeValues(k, base[k], mine[k], theirs[k]); v != nil {
				out[k] = v
			}
		}
	}
	return out
}

// mergeLists keeps the order of theirs and appends the entries that only mine has. If the entries of a list
// have no unique identities, the result is mine.
func mergeLists(unordered bool, base, mine, theirs []any) any {
	baseIndex, baseIndexed := indexByIdentity(base, unordered)
	mineIndex, mineIndexed := indexByIdentity(mine, unordered)
	theirsIndex, theirsIndexed := indexByIdentity(theirs, unordered)
	if !baseIndexed || !mineIndexed || !theirsIndexed {
		return mine
	}
	merged := mergeMaps(baseIndex, mineIndex, theirsIndex)
	out := make([]any, 0, len(merged))
	for _, list := range [][]any{theirs, mine} {
		for _, e := range list {
			id, _ := entryIdentity(e, unordered)
			if v, ok := merged[id]; ok {
				out = append(out, v)
				delete(merged, id)
			}
		}
	}
	return out
}
