package delta

import (
	"encoding/json"
	"reflect"
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

// byIdentity returns the entries of a list by identity, if each of them has one of its own.
func byIdentity(list []any) (map[string]any, bool) {
	out := make(map[string]any, len(list))
	for _, e := range list {
		id, ok := Identity(e)
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
	raw, err := json.Marshal(merge(trees[0], trees[1], trees[2]))
	if err != nil {
		return nil, errors.Newf("encode merged document: %w", err)
	}
	var out schema.Document
	if err := json.Unmarshal(raw, &out); err != nil {
		return nil, errors.Newf("decode merged document: %w", err)
	}
	return &out, nil
}

// merge merges generic JSON values; nil stands for an absent one.
func merge(base, mine, theirs any) any {
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
			return mergeLists(b, m, t)
		}
	}
	return mine
}

func mergeMaps(base, mine, theirs map[string]any) map[string]any {
	out := make(map[string]any, len(theirs))
	for _, m := range []map[string]any{theirs, mine} {
		for k := range m {
			if v := merge(base[k], mine[k], theirs[k]); v != nil {
				out[k] = v
			}
		}
	}
	return out
}

// mergeLists keeps the order of theirs and adds the new entries of mine at the end. Lists whose entries
// have no identity are taken from mine as a whole.
func mergeLists(base, mine, theirs []any) any {
	b, bok := byIdentity(base)
	m, mok := byIdentity(mine)
	t, tok := byIdentity(theirs)
	if !bok || !mok || !tok {
		return mine
	}
	merged := mergeMaps(b, m, t)
	out := make([]any, 0, len(merged))
	for _, list := range [][]any{theirs, mine} {
		for _, e := range list {
			id, _ := Identity(e)
			if v, ok := merged[id]; ok {
				out = append(out, v)
				delete(merged, id)
			}
		}
	}
	return out
}
