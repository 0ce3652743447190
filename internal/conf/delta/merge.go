package delta

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"geraniumhollow/internal/conf/schema"
	"github.com/cockroachdb/errors"
)

// identities are the fields that tell entries of one list apart, the first set that fits counts. The
// validation refuses documents in which two entries of a list have the same identity.
var identities = [][]string{
	{"name"}, {"from", "to"}, {"model", "data_centre"}, {"account", "model"}, {"method", "path_prefix"}, {"kind", "first_day"},
}

// identitySeparator cannot stand in a name.
const identitySeparator = "~"

// setFields are the lists of strings whose order means nothing; their entries are told apart by value.
var setFields = []string{"key_hashes", "adapters"}

// isSet reports whether the path of a list ends in one of setFields.
func isSet(path string) bool {
	return slices.Contains(setFields, path[strings.LastIndexByte(path, '.')+1:])
}

// Identity returns what tells an entry of a list from the others, such as its name.
func Identity(entry any) (string, bool) {
	m, ok := entry.(map[string]any)
	if !ok {
		return "", false
	}
	for _, fields := range identities {
		if id, ok := join(m, fields); ok {
			return id, true
		}
	}
	return "", false
}

func join(m map[string]any, fields []string) (string, bool) {
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

// identityIn is Identity for the entries of one list; the strings of a set are their own identity.
func identityIn(entry any, set bool) (string, bool) {
	if s, ok := entry.(string); ok && set {
		return s, true
	}
	return Identity(entry)
}

// byIdentity returns the entries of a list by identity, if each of them has one of its own.
func byIdentity(list []any, set bool) (map[string]any, bool) {
	out := make(map[string]any, len(list))
	for _, e := range list {
		id, ok := identityIn(e, set)
		if _, twice := out[id]; !ok || twice {
			return nil, false
		}
		out[id] = e
	}
	return out, true
}

// Merge returns mine with the changes that theirs made since base. Where both changed the same place,
// mine wins. The result may break rules that both documents keep, so it must be validated.
func Merge(base, mine, theirs *schema.Document) (*schema.Document, error) {
	trees := make([]any, 0, 3)
	for _, doc := range []*schema.Document{base, mine, theirs} {
		t, err := tree(doc)
		if err != nil {
			return nil, err
		}
		trees = append(trees, t)
	}
	raw, err := json.Marshal(merge("", trees[0], trees[1], trees[2]))
	if err != nil {
		return nil, errors.Newf("encode merged document: %w", err)
	}
	var out schema.Document
	if err := json.Unmarshal(raw, &out); err != nil {
		return nil, errors.Newf("decode merged document: %w", err)
	}
	return &out, nil
}

// merge merges generic JSON values of one field; nil stands for an absent one.
func merge(name string, base, mine, theirs any) any {
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
			return mergeLists(isSet(name), b, m, t)
		}
	}
	return mine
}

func mergeMaps(base, mine, theirs map[string]any) map[string]any {
	out := make(map[string]any, len(theirs))
	for _, m := range []map[string]any{theirs, mine} {
		for k := range m {
			if v := merge(k, base[k], mine[k], theirs[k]); v != nil {
				out[k] = v
			}
		}
	}
	return out
}

// mergeLists keeps the order of theirs and adds the new entries of mine at the end. Lists whose entries
// have no identity are taken from mine as a whole.
func mergeLists(set bool, base, mine, theirs []any) any {
	b, bok := byIdentity(base, set)
	m, mok := byIdentity(mine, set)
	t, tok := byIdentity(theirs, set)
	if !bok || !mok || !tok {
		return mine
	}
	merged := mergeMaps(b, m, t)
	out := make([]any, 0, len(merged))
	for _, list := range [][]any{theirs, mine} {
		for _, e := range list {
			id, _ := identityIn(e, set)
			if v, ok := merged[id]; ok {
				out = append(out, v)
				delete(merged, id)
			}
		}
	}
	return out
}
