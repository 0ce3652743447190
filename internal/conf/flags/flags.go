// Package flags defines the settings of a node, their command-line flags and environment variables, which
// are generated from a schema, and their validation.
package flags

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

//go:generate go run -C ../../../tools ./genset ../internal/conf/flags/settings.schema.json ../internal/conf/flags/settings.gen.go

// ErrInvalid marks the errors of Check.
var ErrInvalid = errors.New("invalid settings")

// keyHashLength is the number of hex digits of a SHA-256 hash.
const keyHashLength = 64

// Check validates the settings. It returns nil or an error that is marked ErrInvalid and lists all faults.
func (s Settings) Check() error {
	var faults []string
	for _, v := range []struct{ name, value string }{
		{"node-name", s.NodeName}, {"data-centre", s.DataCentre},
	} {
		if v.value == "" {
			faults = append(faults, v.name+" is required")
		}
	}
	for _, v := range []struct{ name, value string }{
		{"caller-address", s.CallerAddress},
		{"operator-address", s.OperatorAddress},
		{"peer-address", s.PeerAddress},
		{"table-address", s.TableAddress},
		{"object-address", s.ObjectAddress},
		{"hosts-address", s.HostsAddress},
	} {
		if _, err := netip.ParseAddrPort(v.value); err != nil {
			faults = append(faults, fmt.Sprintf("%s must be an IP address and port, not %q", v.name, v.value))
		}
	}
	if s.OperatorKeyHash != "" && len(s.OperatorKeyHash) != keyHashLength {
		faults = append(faults, "operator-key-hash must be 64 hex digits")
	}
	if hclog.LevelFromString(s.LogLevel) == hclog.NoLevel {
		faults = append(faults, fmt.Sprintf("log-level %q is not a log level", s.LogLevel))
	}
	if s.DrainNotice < 0 || s.DrainTimeout < 0 {
		faults = append(faults, "drain-notice and drain-timeout must not be negative")
	}
	if s.MemoryMb < 0 || s.MaxFds < 0 {
		faults = append(faults, "memory-mb and max-fds must not be negative")
	}
	if len(faults) > 0 {
		return errors.Mark(errors.Newf("%s", strings.Join(faults, "; ")), ErrInvalid)
	}
	return nil
}
