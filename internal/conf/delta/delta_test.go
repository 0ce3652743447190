package delta_test

import (
	"fmt"
	"testing"

	"geraniumhollow/internal/conf/delta"
	"geraniumhollow/internal/conf/schema"
)

func document() *schema.Document {
	return &schema.Document{
		Regions:     []schema.Region{{Name: "r"}},
		DataCentres: []schema.DataCentre{{Name: "a", Region: "r", InService: true}, {Name: "b", Region: "r", InService: true}},
		Distances:   []schema.Distance{{From: "a", To: "b", OneWayUs: 5}},
	}
}

// Guards against showing operators the wrong paths of conflicting changes, in particular after an entry was
// inserted.
func TestDocuments(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		change func(d *schema.Document)
		want   string
	}{
		{"no change", func(*schema.Document) {}, "[]"},
		{"field", func(d *schema.Document) { d.DataCentres[1].InService = false }, "[{$.data_centres[b].in_service true false}]"},
		{"inserted first", func(d *schema.Document) {
			d.DataCentres = append([]schema.DataCentre{{Name: "0", Region: "r"}}, d.DataCentres...)
		}, `[{$.data_centres[0]  {"in_service":false,"name":"0","region":"r"}}]`},
		{"inserted first, identified by two fields", func(d *schema.Document) {
			d.Distances = []schema.Distance{{From: "a", To: "c"}, {From: "a", To: "b", OneWayUs: 6}}
		}, `[{$.distances[a~b].one_way_us 5 6} {$.distances[a~c]  {"from":"a","one_way_us":0,"to":"c"}}]`},
		{"removed", func(d *schema.Document) { d.DataCentres = d.DataCentres[1:] }, `[{$.data_centres[a] {"in_service":true,"name":"a","region":"r"} }]`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			to := document()
			tt.change(to)
			got, err := delta.Compare(document(), to)
			if err != nil {
				t.Fatal(err)
			}
			if fmt.Sprint(got) != tt.want {
				t.Errorf("got %v, want %s", got, tt.want)
			}
		})
	}
}

func ExampleConflicts() {
	mine := []delta.Change{{Path: "$.data_centres[a].in_service", To: "false"}, {Path: "$.limits.crash_runs", To: "3"}}
	theirs := []delta.Change{{Path: "$.data_centres[a].in_service", To: "true"}}
	for _, c := range delta.Conflicts(mine, theirs) {
		fmt.Println(c.Path)
	}
	// Output: $.data_centres[a].in_service
}
