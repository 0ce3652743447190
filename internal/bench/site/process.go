package site

import (
	"context"
	"net"
	"os"
	"os/exec"

	"geraniumhollow/internal/conf/flags"
	"github.com/cockroachdb/errors"
)

// StartProcess starts a node in a process of its own, which ends with ctx. Empty addresses get free
// loopback ports; the settings with the addresses are returned.
func StartProcess(ctx context.Context, cfg flags.Settings) (*exec.Cmd, flags.Settings, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, cfg, errors.Newf("find own program: %w", err)
	}
	if err := fillAddresses(ctx, &cfg.CallerAddress, &cfg.OperatorAddress, &cfg.PeerAddress); err != nil {
		return nil, cfg, err
	}
	cmd := exec.CommandContext(ctx, self, "serve", "--node-name", cfg.NodeName, "--data-centre", cfg.DataCentre,
		"--caller-address", cfg.CallerAddress, "--operator-address", cfg.OperatorAddress, "--peer-address", cfg.PeerAddress,
		"--table-address", cfg.TableAddress, "--object-address", cfg.ObjectAddress, "--hosts-address", cfg.HostsAddress,
		"--operator-key-hash", cfg.OperatorKeyHash, "--log-level", cfg.LogLevel,
		"--drain-notice", cfg.DrainNotice.String(), "--drain-timeout", cfg.DrainTimeout.String())
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, cfg, errors.Newf("start %s: %w", cfg.NodeName, err)
	}
	return cmd, cfg, nil
}

// fillAddresses gives each empty address a loopback port that was free a moment ago.
func fillAddresses(ctx context.Context, addrs ...*string) error {
	var lc net.ListenConfig
	for _, addr := range addrs {
		if *addr != "" {
			continue
		}
		ln, err := lc.Listen(ctx, "tcp", loopback)
		if err != nil {
			return errors.Newf("find a free port: %w", err)
		}
		defer func() { _ = ln.Close() }()
		*addr = ln.Addr().String()
	}
	return nil
}
