// Package frame holds the messages between nodes, generated from a schema.
package frame

//go:generate go tool -modfile=../../../tools/go.mod go-jsonschema --only-models --disable-custom-types-for-maps --tags json -p frame -t -o messages.gen.go messages.schema.json
