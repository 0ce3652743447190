package loads_test

import (
	"fmt"
	"testing"

	"geraniumhollow/internal/plan/loads"
	"pgregory.net/rapid"
)

func ExampleSmallestFirst() {
	load := func(bytes float64) []loads.Load { return []loads.Load{{Bytes: bytes}} }
	jobs := []loads.Job{
		{Group: "large", Weight: 1, Loads: load(80)},
		{Group: "small", Weight: 1, Loads: load(10)},
		{Group: "urgent", Weight: 100, Loads: load(80)},
	}
	for _, i := range loads.SmallestFirst(jobs, nil) {
		fmt.Println(jobs[i].Group)
	}
	// Output:
	// urgent
	// small
	// large
}

// Guards against more loads on a link than the limit allows, against two orders to one host, and
// against a link that is idle although a job needs it.
func TestSchedulerBounds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		maxPerLink := rapid.IntRange(1, 4).Draw(rt, "per_link")
		links := make([]loads.Link, rapid.IntRange(1, 5).Draw(rt, "links"))
		hosts := 0
		jobs := make([]loads.Job, rapid.IntRange(0, 8).Draw(rt, "jobs"))
		for i := range jobs {
			jobs[i] = loads.Job{Group: fmt.Sprint(i), Weight: 1, Seq: i}
			for range rapid.IntRange(1, 4).Draw(rt, "hosts") {
				jobs[i].Loads = append(jobs[i].Loads, loads.Load{
					Host:  fmt.Sprint(hosts),
					Bytes: float64(rapid.IntRange(1, 100).Draw(rt, "bytes")),
					Links: []int{rapid.IntRange(0, len(links)-1).Draw(rt, "link")},
				})
				hosts++
			}
		}
		checkStarts(rt, loads.NewScheduler(loads.SmallestFirst, maxPerLink), jobs, links, maxPerLink)
	})
}

func checkStarts(rt *rapid.T, s *loads.Scheduler, jobs []loads.Job, links []loads.Link, maxPerLink int) {
	loadsOnLink := make([]int, len(links))
	running := make([]loads.Running, 0, len(jobs))
	ordered := make(map[string]bool)
	for range 2 {
		for _, start := range s.Next(jobs, links, running) {
			if ordered[start.Load.Host] {
				rt.Fatalf("host %s was ordered to load twice", start.Load.Host)
			}
			ordered[start.Load.Host] = true
			loadsOnLink[start.Load.Links[0]]++
			running = append(running, loads.Running{Group: start.Group, Host: start.Load.Host, Links: start.Load.Links})
		}
	}
	need := make([]int, len(links))
	for _, j := range jobs {
		for _, l := range j.Loads {
			need[l.Links[0]]++
		}
	}
	for i := range links {
		if want := min(need[i], maxPerLink); loadsOnLink[i] != want {
			rt.Fatalf("link %d has %d loads, want %d", i, loadsOnLink[i], want)
		}
	}
}
