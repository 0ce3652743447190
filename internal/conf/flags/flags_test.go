package flags_test

import (
	"strings"
	"testing"

	"geraniumhollow/internal/conf/flags"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// parse fills settings from a command line.
func parse(t *testing.T, args ...string) flags.Settings {
	t.Helper()
	var s flags.Settings
	app := &cli.Command{Flags: flags.Flags(&s)}
	if err := app.Run(t.Context(), append([]string{"test"}, args...)); err != nil {
		t.Fatal(err)
	}
	return s
}

func valid() []string {
	return []string{
		"--node-name", "n", "--data-centre", "vejle", "--table-address", "127.0.0.1:1",
		"--object-address", "127.0.0.1:1", "--hosts-address", "[::1]:1",
	}
}

// Guards against a node that starts with settings it cannot use, and against a message that names only
// the first fault.
func TestCheck(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		args []string
		want []string
	}{
		{"valid", valid(), nil},
		{"nothing given", nil, []string{"node-name is required", "data-centre is required", "table-address must", "hosts-address must"}},
		{"name instead of an IP", append(valid(), "--table-address", "table.local:1"), []string{`table-address must be an IP and a port, not "table.local:1"`}},
		{"unknown level", append(valid(), "--log-level", "loud"), []string{`log-level "loud" is not a level`}},
		{"short hash", append(valid(), "--operator-key-hash", "abc"), []string{"operator-key-hash must be 64 hex digits"}},
		{"negative drain", append(valid(), "--drain-notice", "-1s"), []string{"must not be negative"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			err := parse(t, tt.args...).Check()
			if (err == nil) != (tt.want == nil) || (err != nil && !errors.Is(err, flags.ErrInvalid)) {
				t.Fatalf("got %v", err)
			}
			for _, w := range tt.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("%q lacks %q", err, w)
				}
			}
		})
	}
}

// Guards against an environment variable that has no effect.
func TestEnvironment(t *testing.T) {
	t.Setenv("GERANIUMHOLLOW_DATA_CENTRE", "herning")
	if s := parse(t); s.DataCentre != "herning" {
		t.Errorf("data centre %q, want herning", s.DataCentre)
	}
}
