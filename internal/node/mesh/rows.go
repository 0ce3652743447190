package mesh

import (
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/wire/frame"
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/s2"
)

// Bounds of packed values.
const (
	// packBytes is the length from which a value is compressed. A configuration of 1,400 routes has some 300 KB, which eight
	// nodes below one with 20 Mbit/s would get only after their reads have timed out.
	packBytes = 2 << 10
	// maxValueBytes bounds a value that is unpacked; the platform's configurations have up to 4 MB.
	maxValueBytes = 8 << 20
)

// EncodeRows returns rows in the form in which nodes pass them on.
func EncodeRows(rows []table.Row) []frame.FollowRow {
	out := make([]frame.FollowRow, 0, len(rows))
	for _, r := range rows {
		w := frame.FollowRow{Key: r.Key, Value: r.Value, Rev: int(r.Revision)}
		if len(r.Value) >= packBytes {
			w.Value, w.Packed = s2.EncodeBetter(nil, r.Value), true
		}
		out = append(out, w)
	}
	return out
}

// DecodeRows reads what another node has passed on.
func DecodeRows(rows []frame.FollowRow) ([]table.Row, error) {
	out := make([]table.Row, 0, len(rows))
	for _, w := range rows {
		value := w.Value
		if w.Packed {
			var err error
			if value, err = unpack(w.Value); err != nil {
				return nil, errors.Newf("value of %s: %w", w.Key, err)
			}
		}
		out = append(out, table.Row{Key: w.Key, Value: value, Revision: uint64(w.Rev)})
	}
	return out, nil
}

func unpack(b []byte) ([]byte, error) {
	n, err := s2.DecodedLen(b)
	if err != nil {
		return nil, errors.Newf("length of packed value: %w", err)
	}
	if n > maxValueBytes {
		return nil, errors.Newf("packed value has %d bytes, at most %d are taken", n, maxValueBytes)
	}
	out, err := s2.Decode(nil, b)
	if err != nil {
		return nil, errors.Newf("unpack: %w", err)
	}
	return out, nil
}
