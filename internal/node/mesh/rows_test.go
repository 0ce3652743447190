package mesh_test

import (
	"bytes"
	"fmt"
	"testing"

	"geraniumhollow/internal/node/mesh"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/wire/frame"
)

// Guards against a large configuration that nodes with little bandwidth send so slowly that reads of it time out: 1,610 routes
// once arrived 3.4 s late. Also guards against values that change in transit.
func TestRowsAreCompressed(t *testing.T) {
	t.Parallel()
	var config bytes.Buffer
	for i := range 1610 {
		fmt.Fprintf(&config, `{"Name":"r-%x","Host":"h%x.example","Prefix":"/p%x/q/","Service":"presse-lm","Kind":"idempotent","TimeoutMs":8000,`+
			`"MaxAttempts":2,"TargetLatencyMs":300,"Priority":1},`, i*7919, i*104729%9973, i*31)
	}
	rows := []table.Row{
		{Key: "op/config", Value: config.Bytes(), Revision: table.Revision{Era: 2, Number: 7}},
		{Key: "op/evacuate/x", Value: []byte("{}"), Revision: table.Revision{Era: 2, Number: 3}},
		{Key: "op/empty", Revision: table.Revision{Era: 2, Number: 1}},
	}
	wire := mesh.EncodeRows(rows)
	// A node with 20 Mbit/s must be able to send it to eight nodes within a quarter of a second.
	if maxBytes := 20_000_000 / 8 / 4 / 8; len(wire[0].Value) > maxBytes {
		t.Errorf("encoded value has %d bytes for a configuration of %d bytes, want at most %d", len(wire[0].Value), config.Len(), maxBytes)
	}
	got, err := mesh.DecodeRows(wire, 2)
	if err != nil {
		t.Fatal(err)
	}
	for i, r := range got {
		if r.Key != rows[i].Key || r.Revision != rows[i].Revision || !bytes.Equal(r.Value, rows[i].Value) {
			t.Errorf("row %s was decoded as %s, revision %+v, %d bytes", rows[i].Key, r.Key, r.Revision, len(r.Value))
		}
	}
}

// Guards against a node that runs out of memory while it decompresses a value from another node.
func TestRejectsInvalidPackedValues(t *testing.T) {
	t.Parallel()
	for name, value := range map[string][]byte{
		"huge": {0xff, 0xff, 0xff, 0xff, 0x0f, 0}, "cut": {0x80, 0x01, 0}, "empty": nil,
	} {
		if rows, err := mesh.DecodeRows([]frame.FollowRow{{Key: "op/x", Value: value, Packed: true}}, 0); err == nil {
			t.Errorf("%s: decoded to %d bytes, want an error", name, len(rows[0].Value))
		}
	}
}
