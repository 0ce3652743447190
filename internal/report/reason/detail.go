package reason

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Detail is one figure or name that a decision was based on.
type Detail struct {
	key    string
	text   string
	number int64
}

// Int returns a detail that is a number.
func Int(key string, v int) Detail { return Detail{key: key, number: int64(v)} }

// Millis returns a detail that is a time in whole milliseconds. The key should end in _ms.
func Millis(key string, d time.Duration) Detail { return Detail{key: key, number: d.Milliseconds()} }

// Name returns a detail that is the name of a host, a backend server or another part of the system.
func Name(key, value string) Detail { return Detail{key: key, text: name(value)} }

// Key returns what the detail is about.
func (d Detail) Key() string { return d.key }

// Value returns the detail as text.
func (d Detail) Value() string {
	if d.text != "" {
		return d.text
	}
	return strconv.FormatInt(d.number, 10)
}

// detailJSON is the JSON form of a detail; exactly one of Name and Number is present.
type detailJSON struct {
	Key    string `json:"key"`
	Name   string `json:"name,omitempty"`
	Number *int64 `json:"number,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (d Detail) MarshalJSON() ([]byte, error) {
	out := detailJSON{Key: d.key, Name: d.text}
	if d.text == "" {
		out.Number = &d.number
	}
	b, err := json.Marshal(out)
	if err != nil {
		return nil, errors.Newf("encode detail: %w", err)
	}
	return b, nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Detail) UnmarshalJSON(b []byte) error {
	var in detailJSON
	if err := json.Unmarshal(b, &in); err != nil {
		return errors.Newf("decode detail: %w", err)
	}
	*d = Detail{key: in.Key, text: in.Name}
	if in.Number != nil {
		d.number = *in.Number
	}
	return nil
}

// notName stands for a subject or value that is no name: it could be caller text or a key.
const notName = "(not a name)"

// maxNameBytes is enough for a request id with its node, account tag and random part.
const maxNameBytes = 160

// name returns s if it looks like a name or an id of this system, and notName otherwise.
func name(s string) string {
	if s == "" || len(s) > maxNameBytes {
		return notName
	}
	for i := range len(s) {
		if !nameByte(s[i]) {
			return notName
		}
	}
	return s
}

func nameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '.' || c == '_' || c == '-' || c == ':' || c == '/' || c == '[' || c == ']'
	}
}
