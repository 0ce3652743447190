// Package check validates configuration documents. It reports every fault of a document with its JSON
// path, so that an operator can fix all of them at once.
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

// ErrInvalid marks the errors of documents that have faults.
var ErrInvalid = errors.New("configuration document is invalid")

// Fault is a violation of a rule for configuration documents.
type Fault struct {
	// Path is the JSON path of the faulty value, such as $.groups[3].hosts[0].
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the path and the message on one line.
func (f Fault) String() string { return f.Path + ": " + f.Message }

// InvalidError holds all faults of a document, ordered by path.
type InvalidError struct {
	Faults []Fault
}

// Error returns the faults, one per line.
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

// New returns a Checker that uses schema.ConfigSchema.
func New() (*Checker, error) {
	raw, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema.ConfigSchema))
	if err != nil {
		return nil, errors.Newf("decode schema: %w", err)
	}
	const schemaName = "config.schema.json"
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaName, raw); err != nil {
		return nil, errors.Newf("add schema: %w", err)
	}
	s, err := c.Compile(schemaName)
	if err != nil {
		return nil, errors.Newf("compile schema: %w", err)
	}
	return &Checker{schema: s}, nil
}

// Parse decodes and validates a document. Every error is an *InvalidError with all faults and is marked
// ErrInvalid. Rules that the schema cannot express are checked only if the document matches the schema.
func (c *Checker) Parse(raw []byte) (*schema.Document, error) {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, newInvalidError([]Fault{{Path: "$", Message: "not valid JSON: " + err.Error()}})
	}
	if faults := c.schemaFaults(value); len(faults) > 0 {
		return nil, newInvalidError(faults)
	}
	var doc schema.Document
	if err := json.Unmarshal(raw, &doc); err != nil {
		return nil, newInvalidError([]Fault{{Path: "$", Message: "does not match the document type: " + err.Error()}})
	}
	if faults := documentFaults(&doc); len(faults) > 0 {
		return nil, newInvalidError(faults)
	}
	return &doc, nil
}

// newInvalidError orders faults by path and returns them as an *InvalidError that is marked ErrInvalid.
func newInvalidError(faults []Fault) error {
	slices.SortStableFunc(faults, func(a, b Fault) int { return comparePaths(a.Path, b.Path) })
	return errors.Mark(&InvalidError{Faults: faults}, ErrInvalid)
}

// comparePaths compares paths part by part, and indices as numbers: $.hosts[2] sorts before $.hosts[10].
func comparePaths(a, b string) int {
	return slices.CompareFunc(pathParts(a), pathParts(b), func(x, y string) int {
		if isIndex(x) && isIndex(y) {
			return cmp.Or(cmp.Compare(len(x), len(y)), cmp.Compare(x, y))
		}
		return cmp.Compare(x, y)
	})
}

// pathParts splits a path into its parts: $.hosts[2].name into $, hosts, 2 and name.
func pathParts(path string) []string {
	return strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' })
}

// schemaFaults validates a decoded document against the JSON Schema and returns the violations.
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
	leafFaults(ve, &out)
	return out
}

// leafFaults appends the innermost causes of an error to out. The outer errors only state that a nested
// value is invalid.
func leafFaults(ve *jsonschema.ValidationError, out *[]Fault) {
	if len(ve.Causes) > 0 {
		for _, cause := range ve.Causes {
			leafFaults(cause, out)
		}
		return
	}
	if _, ok := ve.ErrorKind.(*kind.Group); ok {
		return
	}
	p := message.NewPrinter(language.English)
	*out = append(*out, Fault{Path: jsonPath(ve.InstanceLocation), Message: ve.ErrorKind.LocalizedString(p)})
}

// jsonPath formats the tokens of a JSON pointer as a path such as $.groups[3].hosts[0].
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

func isIndex(token string) bool {
	for _, r := range token {
		if r < '0' || r > '9' {
			return false
		}
	}
	return token != ""
}
