package admin

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// schemaNode is a JSON Schema node, reduced to the keywords that forms use.
type schemaNode struct {
	Name        string `json:"-"`
	Description string `json:"description"`
	// Type is one of the JSON types object, array, string, integer, number or boolean.
	Type             string        `json:"type"`
	Enum             []string      `json:"enum"`
	Default          any           `json:"default"`
	Minimum          *float64      `json:"minimum"`
	Maximum          *float64      `json:"maximum"`
	ExclusiveMinimum *float64      `json:"exclusiveMinimum"`
	ExclusiveMaximum *float64      `json:"exclusiveMaximum"`
	Pattern          string        `json:"pattern"`
	Required         []string      `json:"required"`
	Items            *schemaNode   `json:"-"`
	Properties       []*schemaNode `json:"-"`
	// Mandatory is set when the parent requires the field.
	Mandatory bool `json:"-"`
	// Ref is the list in the document whose entry names are the allowed values of the field.
	Ref string `json:"x-ref"`
}

// documentPart is a top-level property of the document: a list of entries, or a single object (limits).
type documentPart struct {
	Name  string
	Label string
	Help  string
	// Entry is the schema of one entry, or of the part itself when it is single.
	Entry  *schemaNode
	Single bool
}

// rawNode holds the keywords of a schema node that contain or refer to other nodes.
type rawNode struct {
	Ref        string                     `json:"$ref"`
	Items      json.RawMessage            `json:"items"`
	Properties json.RawMessage            `json:"properties"`
	Defs       map[string]json.RawMessage `json:"$defs"`
}

// documentParts returns the properties of the document in the order of its schema.
func documentParts(raw []byte) ([]documentPart, error) {
	var root rawNode
	if err := json.Unmarshal(raw, &root); err != nil {
		return nil, errors.Newf("decode schema: %w", err)
	}
	doc, err := parseNode(raw, root.Defs)
	if err != nil {
		return nil, err
	}
	parts := make([]documentPart, 0, len(doc.Properties))
	for _, p := range doc.Properties {
		entry := p
		if p.Type == "array" {
			entry = p.Items
		}
		parts = append(parts, documentPart{
			Name: p.Name, Label: label(p.Name), Help: trimTypeName(entry.Description), Entry: entry, Single: p.Type != "array",
		})
	}
	return parts, nil
}

// parseNode parses a node and its descendants. It relies on the schema having no reference cycles.
func parseNode(raw json.RawMessage, defs map[string]json.RawMessage) (*schemaNode, error) {
	var r rawNode
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, errors.Newf("decode schema node: %w", err)
	}
	if r.Ref != "" {
		name := strings.TrimPrefix(r.Ref, "#/$defs/")
		if defs[name] == nil {
			return nil, errors.Newf("schema has no definition %q", name)
		}
		return parseNode(defs[name], defs)
	}
	n := &schemaNode{}
	if err := json.Unmarshal(raw, n); err != nil {
		return nil, errors.Newf("decode schema node: %w", err)
	}
	if r.Items != nil {
		items, err := parseNode(r.Items, defs)
		if err != nil {
			return nil, err
		}
		n.Items = items
	}
	return n, n.parseProperties(r.Properties, defs)
}

// parseProperties parses the properties in schema order, which decoding into a Go map would lose.
func (n *schemaNode) parseProperties(raw json.RawMessage, defs map[string]json.RawMessage) error {
	if raw == nil {
		return nil
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	if _, err := d.Token(); err != nil {
		return errors.Newf("decode properties: %w", err)
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return errors.Newf("decode property: %w", err)
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return errors.Newf("decode property %v: %w", key, err)
		}
		child, err := parseNode(value, defs)
		if err != nil {
			return err
		}
		child.Name, _ = key.(string)
		for _, r := range n.Required {
			child.Mandatory = child.Mandatory || r == child.Name
		}
		n.Properties = append(n.Properties, child)
	}
	return nil
}

// property returns a property by name, or nil.
func (n *schemaNode) property(name string) *schemaNode {
	for _, p := range n.Properties {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// units maps the unit suffixes of field names to the unit shown in labels.
var units = map[string]string{"ms": "ms", "us": "µs", "bytes": "bytes"}

// label converts a field name to a form label: queue_timeout_ms becomes "Queue timeout (ms)".
func label(name string) string {
	words := strings.Split(name, "_")
	unit := units[words[len(words)-1]]
	if unit != "" && len(words) > 1 {
		words = words[:len(words)-1]
	} else {
		unit = ""
	}
	text := strings.Join(words, " ")
	if text == "" {
		return name
	}
	text = strings.ToUpper(text[:1]) + text[1:]
	if unit != "" {
		text += " (" + unit + ")"
	}
	return text
}

// trimTypeName drops the type name that starts the descriptions of the schema's definitions, which are also
// Go doc comments: "Host is one machine" becomes "One machine".
func trimTypeName(description string) string {
	first, rest, ok := strings.Cut(description, " is ")
	if !ok || rest == "" || strings.Contains(first, " ") {
		return description
	}
	return strings.ToUpper(rest[:1]) + rest[1:]
}

// singular returns the name of a single entry of a list: "data centre" for data_centres.
func singular(list string) string {
	return strings.TrimSuffix(strings.ReplaceAll(list, "_", " "), "s")
}
