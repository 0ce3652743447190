package mesh_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"geraniumhollow/internal/node/mesh"
	"geraniumhollow/internal/wire/frame"
)

// Guards against messages that circulate between nodes forever. When a node sent two contradicting messages, a suspicion and
// its withdrawal, each node forwarded both again whenever it had received the other one in between. The nodes used ten times
// their usual processor time until callers were no longer served.
func TestFloodEnds(t *testing.T) {
	t.Parallel()
	const nodes, messages = 7, 40
	type delivery struct {
		to, from int
		msg      *frame.SuspectRequest
	}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		floods := make([]*mesh.Flood, nodes)
		for i := range floods {
			f, err := mesh.NewFlood(fmt.Sprint("node", i))
			if err != nil {
				t.Fatal(err)
			}
			floods[i] = f
		}
		var queue []delivery
		spread := func(node, except int, m *frame.SuspectRequest) {
			for to := range nodes {
				if to != node && to != except {
					queue = append(queue, delivery{to: to, from: node, msg: m})
				}
			}
		}
		for i := range messages {
			node := rng.IntN(nodes)
			change := []string{"suspected", "explained", "completed"}[i%3]
			spread(node, -1, floods[node].NewMessage([]frame.Suspicion{{Fp: "f", Change: change}}))
		}
		received := make(map[string]int)
		sent := 0
		for len(queue) > 0 {
			i := rng.IntN(len(queue))
			d := queue[i]
			queue[i] = queue[len(queue)-1]
			queue = queue[:len(queue)-1]
			if sent++; sent > messages*nodes*nodes {
				t.Fatalf("seed %d: %d copies of %d messages were sent and more are queued", seed, sent, messages)
			}
			if floods[d.to].MarkSeen(d.msg) {
				received[fmt.Sprint(d.msg.Origin, d.msg.Seq)]++
				spread(d.to, d.from, d.msg)
			}
		}
		if len(received) != messages {
			t.Errorf("seed %d: %d messages of %d were received", seed, len(received), messages)
		}
		for name, n := range received {
			if n != nodes-1 {
				t.Errorf("seed %d: message %s was received by %d nodes, want %d", seed, name, n, nodes-1)
			}
		}
	}
}
