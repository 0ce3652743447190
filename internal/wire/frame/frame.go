// Package frame holds the messages between nodes, generated from a schema, and their CBOR codec.
//
// A frame is one CBOR array: kind, exchange, id and body. The kinds are the properties of the
// Messages type, so that a message added to the schema can be sent without further code.
package frame

import (
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

//go:generate go tool -modfile=../../../tools/go.mod go-jsonschema --only-models --disable-custom-types-for-maps --tags json -p frame -t -o messages.gen.go messages.schema.json

// MaxBytes bounds one encoded frame.
const MaxBytes = 4 << 20

// Bounds of the decoder. No message holds more elements than a roster has nodes, or nests deeper
// than a message in a frame in a list.
const (
	maxElements = 4096
	maxNesting  = 8
)

// Errors of the codec.
var (
	// ErrUnknownKind means that the schema has no such message.
	ErrUnknownKind = errors.New("unknown message kind")
	// ErrMalformed means that the bytes are not a frame.
	ErrMalformed = errors.New("malformed frame")
	// ErrTooLarge means that the frame is longer than MaxBytes.
	ErrTooLarge = errors.New("frame too large")
)

// Kind is the name of a message in the schema.
type Kind string

// KindHello is the first message on a link.
const KindHello Kind = "hello"

// Exchange says how a frame belongs to other frames.
type Exchange uint8

// Exchanges.
const (
	// OneWay expects no reply.
	OneWay Exchange = iota
	// Ask expects one Reply or Refusal with the same id.
	Ask
	// Reply answers an Ask.
	Reply
	// Refusal says that an Ask was not handled; it has no body.
	Refusal
)

// Header is the part of a frame before the message.
type Header struct {
	Kind     Kind
	Exchange Exchange
	// ID ties a reply to its ask; unique on a link among the asks of one side.
	ID uint64
}

// envelope is the encoded form of a frame.
type envelope struct {
	_        struct{} `cbor:",toarray"`
	Kind     Kind
	Exchange Exchange
	ID       uint64
	Body     cbor.RawMessage
}

// emptyBody is the body of a refusal.
var emptyBody = cbor.RawMessage{0xf6}

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode())
	types, kinds = messageTypes()
)

// must returns v. The options are constants, so an error is a fault of this file.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// messageTypes reads the kinds from the fields of Messages.
func messageTypes() (map[Kind]reflect.Type, map[reflect.Type]Kind) {
	byKind, byType := make(map[Kind]reflect.Type), make(map[reflect.Type]Kind)
	t := reflect.TypeFor[Messages]()
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		msg := t.Field(i).Type.Elem()
		byKind[Kind(name)] = msg
		byType[msg] = Kind(name)
	}
	return byKind, byType
}

// KindOf returns the kind of a message, given as a pointer, or ErrUnknownKind.
func KindOf(msg any) (Kind, error) {
	t := reflect.TypeOf(msg)
	if t == nil || t.Kind() != reflect.Pointer {
		return "", errors.Newf("%T: %w", msg, ErrUnknownKind)
	}
	k, ok := kinds[t.Elem()]
	if !ok {
		return "", errors.Newf("%T: %w", msg, ErrUnknownKind)
	}
	return k, nil
}

// Kinds returns every kind of the schema, sorted.
func Kinds() []Kind {
	return slices.Sorted(maps.Keys(types))
}

// Encode returns the frame of a message, given as a pointer. The kind in h is ignored unless msg is
// nil, as it is for a refusal.
func Encode(h Header, msg any) ([]byte, error) {
	e := envelope{Kind: h.Kind, Exchange: h.Exchange, ID: h.ID, Body: emptyBody}
	if msg != nil {
		k, err := KindOf(msg)
		if err != nil {
			return nil, err
		}
		body, err := encoder.Marshal(msg)
		if err != nil {
			return nil, errors.Newf("encode %s: %w", k, err)
		}
		e.Kind, e.Body = k, body
	}
	b, err := encoder.Marshal(e)
	if err != nil {
		return nil, errors.Newf("encode frame: %w", err)
	}
	if len(b) > MaxBytes {
		return nil, errors.Newf("%s of %d bytes: %w", e.Kind, len(b), ErrTooLarge)
	}
	return b, nil
}

// Decode returns the header and the message, as a pointer, of a frame. The message of a refusal is
// nil. Errors are marked ErrMalformed, ErrUnknownKind or ErrTooLarge; the header is valid with
// ErrUnknownKind, so that an ask of a newer node can be refused. Unknown fields are ignored.
func Decode(b []byte) (Header, any, error) {
	if len(b) > MaxBytes {
		return Header{}, nil, ErrTooLarge
	}
	var e envelope
	if err := decoder.Unmarshal(b, &e); err != nil {
		return Header{}, nil, errors.Mark(errors.Newf("decode frame: %w", err), ErrMalformed)
	}
	h := Header{Kind: e.Kind, Exchange: e.Exchange, ID: e.ID}
	if e.Exchange > Refusal {
		return h, nil, errors.Mark(errors.Newf("exchange %d", e.Exchange), ErrMalformed)
	}
	if e.Exchange == Refusal {
		return h, nil, nil
	}
	t, ok := types[e.Kind]
	if !ok {
		return h, nil, errors.Newf("kind of %d bytes: %w", len(e.Kind), ErrUnknownKind)
	}
	msg := reflect.New(t)
	if err := decoder.Unmarshal(e.Body, msg.Interface()); err != nil {
		return h, nil, errors.Mark(errors.Newf("decode %s: %w", e.Kind, err), ErrMalformed)
	}
	return h, msg.Interface(), nil
}
