package flags_test

import (
	"strings"
	"testing"

	"geraniumhollow/internal/conf/flags"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// parseArgs returns the settings from command-line arguments.
func parseArgs(t *testing.T, args ...string) flags.Settings {
	t.Helper()
	var s flags.Settings
	app := &cli.Command{Flags: flags.Flags(&s)}
	if err := app.Run(t.Context(), append([]string{"test"}, args...)); err != nil {
		t.Fatal(err)
	}
	return s
}

func validArgs() []string {
	return []string{
		"--node-name", "n", "--data-centre", "vejle", "--table-address", "127.0.0.1:1",
		"--object-address", "127.0.0.1:1", "--hosts-address", "[::1]:1",
	}
}

// Guards against a node that starts with invalid settings, and against an error that reports only the first
// fault.
func TestCheck(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		args []string
		want []string
	}{
		{"valid", validArgs(), nil},
		{"no settings", nil, []string{"node-name is required", "data-centre is required", "table-address must", "hosts-address must"}},
		{"host name instead of an IP address", append(validArgs(), "--table-address", "table.local:1"), []string{`table-address must be an IP address and port, not "table.local:1"`}},
		{"unknown level", append(validArgs(), "--log-level", "loud"), []string{`log-level "loud" is not a log level`}},
		{"short hash", append(validArgs(), "--operator-key-hash", "abc"), []string{"operator-key-hash must be 64 hex digits"}},
		{"negative drain notice", append(validArgs(), "--drain-notice", "-1s"), []string{"must not be negative"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			err := parseArgs(t, tt.args...).Check()
			if (err == nil) != (tt.want == nil) || (err != nil && !errors.Is(err, flags.ErrInvalid)) {
				t.Fatalf("got %v", err)
			}
			for _, w := range tt.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("%q does not contain %q", err, w)
				}
			}
		})
	}
}

// Guards against an environment variable that has no effect.
func TestEnvironment(t *testing.T) {
	t.Setenv("GERANIUMHOLLOW_DATA_CENTRE", "herning")
	if s := parseArgs(t); s.DataCentre != "herning" {
		t.Errorf("data centre %q, want herning", s.DataCentre)
	}
}
