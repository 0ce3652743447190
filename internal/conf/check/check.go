// Package check validates configuration documents. It reports every fault of a document with the JSON
// path where it stands, so that an operator can mend all of them at once.
package check

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"geraniumhollow/internal/conf/schema"
	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// ErrInvalid marks a document that has faults.
var ErrInvalid = errors.New("configuration document is invalid")

// Fault is one thing that is wrong with a document.
type Fault struct {
	// Path is where the fault stands, such as $.groups[3].hosts[0].
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the fault as one line.
func (f Fault) String() string { return f.Path + ": " + f.Message }

// InvalidError is every fault of a document, ordered by path.
type InvalidError struct {
	Faults []Fault
}

// Error returns the faults, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Checker validates documents. It is safe for concurrent use.
type Checker struct {
	schema *jsonschema.Schema
}

// New returns a checker of the current schema.
func New() (*Checker, error) {
	raw, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema.ConfigSchema))
	if err != nil {
		return nil, errors.Newf("decode schema: %w", err)
	}
	const name = "config.schema.json"
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, raw); err != nil {
		return nil, errors.Newf("add schema: %w", err)
	}
	s, err := c.Compile(name)
	if err != nil {
		return nil, errors.Newf("compile schema: %w", err)
	}
	return &Checker{schema: s}, nil
}

// Parse decodes and validates a document. An error that is marked ErrInvalid is an *InvalidError with
// every fault. Faults beyond the schema are looked for only in a document that fits the schema.
func (c *Checker) Parse(raw []byte) (*schema.Document, error) {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, invalid([]Fault{{Path: "$", Message: "not valid JSON: " + err.Error()}})
	}
	if faults := c.schemaFaults(value); len(faults) > 0 {
		return nil, invalid(faults)
	}
	var doc schema.Document
	if err := json.Unmarshal(raw, &doc); err != nil {
		return nil, invalid([]Fault{{Path: "$", Message: "not a document: " + err.Error()}})
	}
	if faults := Document(&doc); len(faults) > 0 {
		return nil, invalid(faults)
	}
	return &doc, nil
}

// invalid marks faults and orders them by path.
func invalid(f []Fault) error {
	slices.SortStableFunc(f, func(a, b Fault) int { return comparePaths(a.Path, b.Path) })
	return errors.Mark(&InvalidError{Faults: f}, ErrInvalid)
}

// comparePaths orders paths by their parts, and indices by number, so that $.hosts[2] comes before
// $.hosts[10].
func comparePaths(a, b string) int {
	return slices.CompareFunc(pathParts(a), pathParts(b), func(x, y string) int {
		if isIndex(x) && isIndex(y) {
			return cmp.Or(cmp.Compare(len(x), len(y)), cmp.Compare(x, y))
		}
		return cmp.Compare(x, y)
	})
}

// pathParts splits $.hosts[2].name into $, hosts, 2 and name.
func pathParts(path string) []string {
	return strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' })
}

// schemaFaults returns the faults that the JSON Schema finds, one for each place.
func (c *Checker) schemaFaults(value any) []Fault {
	err := c.schema.Validate(value)
	if err == nil {
		return nil
	}
	var ve *jsonschema.ValidationError
	if !errors.As(err, &ve) {
		return []Fault{{Path: "$", Message: err.Error()}}
	}
	var out []Fault
	collect(ve, &out)
	return out
}

// collect gathers the innermost causes; the outer ones only say that something inside is wrong.
func collect(ve *jsonschema.ValidationError, out *[]Fault) {
	if len(ve.Causes) > 0 {
		for _, cause := range ve.Causes {
			collect(cause, out)
		}
		return
	}
	if _, ok := ve.ErrorKind.(*kind.Group); ok {
		return
	}
	p := message.NewPrinter(language.English)
	*out = append(*out, Fault{Path: jsonPath(ve.InstanceLocation), Message: ve.ErrorKind.LocalizedString(p)})
}

// jsonPath turns the tokens of a JSON pointer into a path such as $.groups[3].hosts[0].
func jsonPath(tokens []string) string {
	var b strings.Builder
	b.WriteByte('$')
	for _, t := range tokens {
		if isIndex(t) {
			fmt.Fprintf(&b, "[%s]", t)
		} else {
			b.WriteString("." + t)
		}
	}
	return b.String()
}

func isIndex(s string) bool {
	for _, r := range s {
		if r < '0' || r > '9' {
			return false
		}
	}
	return s != ""
}
