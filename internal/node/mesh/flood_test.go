package mesh_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"geraniumhollow/internal/node/mesh"
	"geraniumhollow/internal/wire/frame"
)

// Guards against messages that go round between nodes without end. Two messages of a node that contradicted each
// other, a suspicion and its withdrawal, made each node pass both on again whenever the other one had come
// between; the nodes took ten times their usual processor time until callers were not served.
func TestFloodEnds(t *testing.T) {
	t.Parallel()
	const nodes, messages = 7, 40
	type copyOf struct {
		to, from int
		msg      *frame.SuspectRequest
	}
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		floods := make([]*mesh.Flood, nodes)
		for i := range floods {
			f, err := mesh.NewFlood(fmt.Sprint("node", i))
			if err != nil {
				t.Fatal(err)
			}
			floods[i] = f
		}
		var queue []copyOf
		spread := func(node, but int, m *frame.SuspectRequest) {
			for to := range nodes {
				if to != node && to != but {
					queue = append(queue, copyOf{to: to, from: node, msg: m})
				}
			}
		}
		for i := range messages {
			node := rnd.IntN(nodes)
			change := []string{"suspected", "explained", "completed"}[i%3]
			spread(node, -1, floods[node].Begin([]frame.Suspicion{{Fp: "f", Change: change}}))
		}
		had := make(map[string]int)
		sent := 0
		for len(queue) > 0 {
			i := rnd.IntN(len(queue))
			c := queue[i]
			queue[i] = queue[len(queue)-1]
			queue = queue[:len(queue)-1]
			if sent++; sent > messages*nodes*nodes {
				t.Fatalf("seed %d: %d copies of %d messages are sent and there are more", seed, sent, messages)
			}
			if floods[c.to].News(c.msg) {
				had[fmt.Sprint(c.msg.Origin, c.msg.Seq)]++
				spread(c.to, c.from, c.msg)
			}
		}
		if len(had) != messages {
			t.Errorf("seed %d: %d messages of %d were received", seed, len(had), messages)
		}
		for name, n := range had {
			if n != nodes-1 {
				t.Errorf("seed %d: message %s was taken by %d nodes, want %d", seed, name, n, nodes-1)
			}
		}
	}
}
