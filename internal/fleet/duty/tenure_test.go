package duty_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/fleet/duty"
)

// Guards against calls by which the holder would seem to change and change back within a lease, and calls that arrive after the tenure.
func TestMayCall(t *testing.T) {
	t.Parallel()
	const lease = 3 * time.Second
	tests := []struct {
		name                    string
		began, predecessor, end time.Duration
		now                     time.Duration
		want                    bool
	}{
		{"just taken over", 10 * time.Second, 9 * time.Second, 14 * time.Second, 13400 * time.Millisecond, false},
		{"after the lease", 10 * time.Second, 9 * time.Second, 15 * time.Second, 13500 * time.Millisecond, true},
		{"predecessor ended later", 10 * time.Second, 11 * time.Second, 15 * time.Second, 14 * time.Second, false},
		{"at the end of the tenure", 10 * time.Second, 9 * time.Second, 15 * time.Second, 14700 * time.Millisecond, false},
	}
	for _, tt := range tests {
		tenure := duty.Tenure{Began: tt.began, PredecessorEnd: tt.predecessor, End: tt.end}
		if got := tenure.MayCall(tt.now, lease); got != tt.want {
			t.Errorf("%s: got %v", tt.name, got)
		}
	}
}
