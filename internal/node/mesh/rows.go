package mesh

import (
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/wire/frame"
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/s2"
)

// Limits for compressed values.
const (
	// minPackBytes is the minimum length of a value that is compressed. A configuration of 1,400 routes has about 300 KB. The
	// reads of eight child nodes would time out before a node with 20 Mbit/s has sent it to them uncompressed.
	minPackBytes = 2 << 10
	// maxValueBytes limits the length of a decompressed value. Configurations of the platform have up to 4 MB.
	maxValueBytes = 8 << 20
)

// EncodeRows converts rows to their wire format and compresses long values.
func EncodeRows(rows []table.Row) []frame.FollowRow {
	out := make([]frame.FollowRow, 0, len(rows))
	for _, r := range rows {
		w := frame.FollowRow{Key: r.Key, Value: r.Value, Rev: int(r.Revision.Number)}
		if len(r.Value) >= minPackBytes {
			w.Value, w.Packed = s2.EncodeBetter(nil, r.Value), true
		}
		out = append(out, w)
	}
	return out
}

// DecodeRows converts rows from their wire format. Their revisions were assigned in the given era.
func DecodeRows(rows []frame.FollowRow, era uint64) ([]table.Row, error) {
	out := make([]table.Row, 0, len(rows))
	for _, w := range rows {
		value := w.Value
		if w.Packed {
			var err error
			if value, err = unpack(w.Value); err != nil {
				return nil, errors.Newf("value of %s: %w", w.Key, err)
			}
		}
		out = append(out, table.Row{Key: w.Key, Value: value, Revision: table.Revision{Era: era, Number: uint64(w.Rev)}})
	}
	return out, nil
}

// unpack decompresses a value.
func unpack(b []byte) ([]byte, error) {
	n, err := s2.DecodedLen(b)
	if err != nil {
		return nil, errors.Newf("read decompressed length: %w", err)
	}
	if n > maxValueBytes {
		return nil, errors.Newf("decompressed value has %d bytes, limit is %d", n, maxValueBytes)
	}
	out, err := s2.Decode(nil, b)
	if err != nil {
		return nil, errors.Newf("decompress: %w", err)
	}
	return out, nil
}
