package delta_test

import (
	"fmt"
	"strings"
	"testing"

	"geraniumhollow/internal/conf/delta"
	"geraniumhollow/internal/conf/schema"
)

// Guards against a merge that undoes the change that another operator committed first, and against
// conflicts that are not reported because the path of one change contains that of the other.
func TestMergeAndOverlap(t *testing.T) {
	t.Parallel()
	setB := func(v bool) func(*schema.Document) {
		return func(d *schema.Document) { d.DataCentres[1].InService = v }
	}
	add := func(name string) func(*schema.Document) {
		return func(d *schema.Document) {
			d.DataCentres = append(d.DataCentres, schema.DataCentre{Name: name, Region: "r", InService: true})
		}
	}
	tests := []struct {
		name         string
		mine, theirs func(d *schema.Document)
		want         string
		overlap      int
	}{
		{"different entries", setB(false), func(d *schema.Document) { d.DataCentres[0].InService = false }, "[{false a r} {false b r}]", 0},
		{"different fields of one entry", setB(false), func(d *schema.Document) { d.DataCentres[1].Region = "s" }, "[{true a r} {false b s}]", 0},
		{"same field", setB(false), func(d *schema.Document) { d.DataCentres[1].InService = false }, "[{true a r} {false b r}]", 1},
		{"both add an entry", add("c"), add("d"), "[{true a r} {true b r} {true d r} {true c r}]", 0},
		{"theirs removes what mine changes", setB(false), func(d *schema.Document) { d.DataCentres = d.DataCentres[:1] }, "[{true a r} {false b r}]", 1},
		{"mine removes what theirs changes", func(d *schema.Document) { d.DataCentres = d.DataCentres[:1] }, setB(false), "[{true a r}]", 1},
		{"only theirs changes", func(*schema.Document) {}, setB(false), "[{true a r} {false b r}]", 0},
		{"mine adds an optional list", func(d *schema.Document) { d.Calendars = []schema.Calendar{{Name: "a"}} }, setB(false), "[{true a r} {false b r}]", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			mine, theirs := document(), document()
			tt.mine(mine)
			tt.theirs(theirs)
			merged, err := delta.Merge(document(), mine, theirs)
			if err != nil {
				t.Fatal(err)
			}
			if got := fmt.Sprint(merged.DataCentres); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
			if len(merged.Calendars) != len(mine.Calendars) {
				t.Errorf("%d calendars, want %d", len(merged.Calendars), len(mine.Calendars))
			}
			mineChanges, _ := delta.Compare(document(), mine)
			theirChanges, _ := delta.Compare(document(), theirs)
			if got := delta.Conflicts(mineChanges, theirChanges); len(got) != tt.overlap {
				t.Errorf("overlap %v, want %d changes", got, tt.overlap)
			}
		})
	}
}

// Guards against losing a key that another operator added, and against merging two lists of pinned hosts
// into an order that no operator chose.
func TestMergeLists(t *testing.T) {
	t.Parallel()
	doc := func(keys, hosts string) *schema.Document {
		return &schema.Document{
			Accounts: []schema.Account{{Name: "a", KeyHashes: strings.Fields(keys)}},
			Groups:   []schema.Group{{Name: "g", Hosts: strings.Fields(hosts)}},
		}
	}
	tests := []struct{ base, mine, theirs, keys, hosts string }{
		{"k1", "k1 k2", "k1 k3", "[k1 k3 k2]", "[k1 k2]"},
		{"k1 k2", "k2", "k1 k2 k3", "[k2 k3]", "[k2]"},
		{"k1 k2", "k1 k2 k3", "k2", "[k2 k3]", "[k1 k2 k3]"},
		{"k1 k2", "k2 k1", "k1 k2", "[k2 k1]", "[k2 k1]"},
	}
	for _, tt := range tests {
		got, err := delta.Merge(doc(tt.base, tt.base), doc(tt.mine, tt.mine), doc(tt.theirs, tt.theirs))
		if err != nil {
			t.Fatal(err)
		}
		if k, h := fmt.Sprint(got.Accounts[0].KeyHashes), fmt.Sprint(got.Groups[0].Hosts); k != tt.keys || h != tt.hosts {
			t.Errorf("%v: got keys %s and hosts %s", tt, k, h)
		}
	}
	mine, _ := delta.Compare(doc("k1", "x"), doc("k1 k2", "x"))
	theirs, _ := delta.Compare(doc("k1", "x"), doc("k1 k3", "x"))
	if mine[0].Path != "$.accounts[a].key_hashes[k2]" || len(delta.Conflicts(mine, theirs)) != 0 {
		t.Errorf("two added keys overlap or have wrong paths: %v, %v", mine, theirs)
	}
}
