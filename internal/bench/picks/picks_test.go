package picks_test

import (
	"bytes"
	"strconv"
	"strings"
	"testing"

	"geraniumhollow/internal/bench/picks"
)

func run(t *testing.T, args string) string {
	t.Helper()
	var out bytes.Buffer
	cmd := picks.Command()
	cmd.Writer = &out
	if err := cmd.Run(t.Context(), strings.Fields("picks "+args)); err != nil {
		t.Fatalf("picks %s: %v", args, err)
	}
	return out.String()
}

// Guards against measurements that cannot be repeated: runs with the same seed must give the same
// figures, and others must not.
func TestRunsAreRepeatable(t *testing.T) {
	t.Parallel()
	for _, args := range []string{"choosers --servers 8 --length 8s --events", "admission --length 8s"} {
		first := run(t, args)
		if first != run(t, args) {
			t.Errorf("%s: two runs differ", args)
		}
		if first == run(t, args+" --seed 2") {
			t.Errorf("%s: runs with other seeds are equal", args)
		}
	}
}

// Guards against a model of the servers that cannot show a difference: the chooser has to find more
// cache hits than round robin on a load with shared prefixes.
func TestChooserFindsCacheHits(t *testing.T) {
	t.Parallel()
	hits := func(chooser string) float64 {
		row := run(t, "choosers --servers 20 --length 20s --only="+chooser)
		cells := strings.Split(row[strings.LastIndex(strings.TrimSpace(row), "\n")+1:], "|")
		share, err := strconv.ParseFloat(strings.Trim(cells[3], " %"), 64)
		if err != nil {
			t.Fatalf("read cache hits of %s: %v", chooser, err)
		}
		return share
	}
	if best, base := hits("shortest"), hits("two-choices"); best <= base {
		t.Errorf("cache hits %.1f%%, two choices %.1f%%", best, base)
	}
}
