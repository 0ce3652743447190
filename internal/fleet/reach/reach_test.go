package reach_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/fleet/reach"
)

// Guards against a node that takes servers that are down for links that are lost, or the reverse.
func TestState(t *testing.T) {
	t.Parallel()
	const tick = 10 * time.Millisecond
	lost := reach.Check{Peers: 3, PeersReaching: 2}
	tests := []struct {
		name string
		// play acts on a decider that has heard from servers until now, at which silence begins.
		play func(d *reach.Decider, now time.Time)
		want reach.State
	}{
		{"one server is silent, others are not", func(d *reach.Decider, now time.Time) {
			if evidence, check := d.Silent(now.Add(tick)); !evidence || check {
				t.Error("a server that is silent while others are not is no evidence")
			}
		}, reach.Connected},
		{"all servers are silent", func(d *reach.Decider, now time.Time) {
			if evidence, check := d.Silent(now.Add(300 * time.Millisecond)); evidence || !check {
				t.Error("silence of all servers is taken for evidence about one")
			}
		}, reach.Suspected},
		{"silent, and other nodes reach servers", func(d *reach.Decider, now time.Time) {
			d.Silent(now.Add(300 * time.Millisecond))
			d.Checked(now.Add(400*time.Millisecond), lost)
		}, reach.Isolated},
		{"silent, and no other node reaches servers", func(d *reach.Decider, now time.Time) {
			d.Silent(now.Add(300 * time.Millisecond))
			d.Checked(now.Add(400*time.Millisecond), reach.Check{Peers: 3})
			if evidence, check := d.Silent(now.Add(450 * time.Millisecond)); !evidence || check {
				t.Error("a stall that other nodes see too is no evidence")
			}
		}, reach.Connected},
		{"silent, but this process did not run", func(d *reach.Decider, now time.Time) {
			d.Silent(now.Add(300 * time.Millisecond))
			d.Checked(now.Add(400*time.Millisecond), reach.Check{Peers: 3, PeersReaching: 2, Late: true})
			if d.Evidence() {
				t.Error("silence is evidence though this process did not run")
			}
			if evidence, check := d.Silent(now.Add(450 * time.Millisecond)); evidence || !check {
				t.Error("no other check begins")
			}
			d.Opened(now.Add(460*time.Millisecond), "s1")
			if !d.Evidence() {
				t.Error("a server has answered, and silence is still no evidence")
			}
		}, reach.Connected},
		{"isolated, and this process does not run", func(d *reach.Decider, now time.Time) {
			d.Suspect(now)
			d.Checked(now, lost)
			d.Checked(now.Add(tick), reach.Check{Late: true})
		}, reach.Isolated},
		{"one new connection fails while others live", func(d *reach.Decider, now time.Time) {
			d.Failed(now.Add(tick), "s1")
			d.Failed(now.Add(2*tick), "s1")
		}, reach.Connected},
		{"new connections to two servers fail while others live", func(d *reach.Decider, now time.Time) {
			d.Failed(now.Add(tick), "s1")
			d.Failed(now.Add(2*tick), "s2")
		}, reach.Suspected},
		{"a server answers between two failures", func(d *reach.Decider, now time.Time) {
			d.Failed(now.Add(tick), "s1")
			d.Opened(now.Add(2*tick), "s3")
			d.Failed(now.Add(3*tick), "s2")
		}, reach.Connected},
		{"a check reaches a server", func(d *reach.Decider, now time.Time) {
			d.Suspect(now.Add(tick))
			d.Checked(now.Add(2*tick), reach.Check{Reached: 1, Peers: 3, PeersReaching: 3})
		}, reach.Connected},
		{"all servers are silent, and a check reaches one", func(d *reach.Decider, now time.Time) {
			d.Silent(now.Add(300 * time.Millisecond))
			d.Checked(now.Add(310*time.Millisecond), reach.Check{Reached: 1})
			if evidence, check := d.Silent(now.Add(350 * time.Millisecond)); !evidence || check {
				t.Error("a stall is no evidence although the node reaches servers")
			}
		}, reach.Connected},
		{"isolated, and a kept connection lives on", func(d *reach.Decider, now time.Time) {
			d.Suspect(now)
			d.Checked(now, lost)
			d.Heard(now.Add(tick), "s1")
			d.Checked(now.Add(2*tick), reach.Check{})
		}, reach.Isolated},
		{"isolated, and one check reaches a server", func(d *reach.Decider, now time.Time) {
			d.Suspect(now)
			d.Checked(now, lost)
			d.Checked(now.Add(tick), reach.Check{Reached: 1})
			d.Checked(now.Add(2*tick), reach.Check{})
			d.Checked(now.Add(3*tick), reach.Check{Reached: 1})
		}, reach.Isolated},
		{"isolated, and the links are back", func(d *reach.Decider, now time.Time) {
			d.Suspect(now)
			d.Checked(now, lost)
			d.Checked(now.Add(tick), reach.Check{Reached: 2})
			d.Checked(now.Add(2*tick), reach.Check{Reached: 2})
		}, reach.Connected},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			now := time.Unix(1000, 0)
			d := reach.New(reach.DefaultConfig())
			d.Opened(now, "s0")
			tt.play(d, now)
			if got := d.State(); got != tt.want {
				t.Errorf("the node is %v, want %v", got, tt.want)
			}
		})
	}
}
