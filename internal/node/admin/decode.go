package admin

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// formValues returns the value of a form field and whether the form sent it.
type formValues func(name string) (string, bool)

// decode reads an entry from a form as generic JSON values. Text in a numeric field that is not a number
// stays a string, so that validation reports it under the path of that field. Empty optional fields are
// omitted.
func decode(n *schemaNode, path string, values formValues) any {
	switch {
	case n.Type == "object":
		return decodeObject(n, path, values)
	case n.Type == "array" && n.Items.Type == "object":
		return decodeRows(n, path, values)
	case n.Type == "array":
		return decodeLines(n, path, values)
	default:
		v, sent := values(formPrefix + path)
		return decodeScalar(n, strings.TrimSpace(v), sent)
	}
}

func decodeObject(n *schemaNode, path string, values formValues) any {
	out := make(map[string]any, len(n.Properties))
	for _, p := range n.Properties {
		if v := decode(p, joinPath(path, p.Name), values); v != nil {
			out[p.Name] = v
		}
	}
	return out
}

func decodeRows(n *schemaNode, path string, values formValues) any {
	out := []any{}
	count, _ := values("rows." + path)
	rows, _ := strconv.Atoi(count)
	for i := range min(rows, maxRows) {
		at := fmt.Sprintf("%s[%d]", path, i)
		if _, removed := values("remove." + at); removed || blankRow(n.Items, at, values) {
			continue
		}
		out = append(out, decode(n.Items, at, values))
	}
	if len(out) == 0 && !n.Mandatory {
		return nil
	}
	return out
}

// blankRow reports whether all fields of a row are empty.
func blankRow(n *schemaNode, path string, values formValues) bool {
	for _, p := range n.Properties {
		at := joinPath(path, p.Name)
		if p.Type == "object" {
			if !blankRow(p, at, values) {
				return false
			}
			continue
		}
		if v, _ := values(formPrefix + at); strings.TrimSpace(v) != "" {
			return false
		}
	}
	return true
}

func decodeLines(n *schemaNode, path string, values formValues) any {
	out := []any{}
	v, _ := values(formPrefix + path)
	for line := range strings.Lines(v) {
		if line = strings.TrimSpace(line); line != "" {
			out = append(out, line)
		}
	}
	if len(out) == 0 && !n.Mandatory {
		return nil
	}
	return out
}

func decodeScalar(n *schemaNode, v string, sent bool) any {
	switch {
	case n.Type == "boolean":
		if sent || n.Mandatory {
			return sent
		}
		return nil
	case v == "" && !n.Mandatory:
		return nil
	case n.Type == "integer":
		if _, err := strconv.ParseInt(v, 10, 64); err == nil {
			return json.Number(v)
		}
	case n.Type == "number":
		if f, err := strconv.ParseFloat(v, 64); err == nil {
			if raw, err := json.Marshal(f); err == nil {
				return json.Number(raw)
			}
		}
	}
	return v
}
