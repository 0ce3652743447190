package check_test

import (
	"encoding/json"
	"strings"
	"testing"

	"geraniumhollow/internal/bench/site"
	"geraniumhollow/internal/conf/check"
	"geraniumhollow/internal/conf/schema"
	"github.com/cockroachdb/errors"
)

// valid returns a valid document with 6 groups of 2 hosts in 3 data centres.
func valid(t *testing.T) *schema.Document {
	t.Helper()
	at := site.Addresses{Instances: []string{"10.0.1.1:80", "10.0.1.2:80", "10.0.1.3:80"}}
	for _, port := range []string{"1", "2", "3", "4", "5", "6"} {
		at.Runners = append(at.Runners, "10.0.0.1:"+port)
	}
	return site.Strygekurv().WithRunners(len(at.Runners)).Document(at)
}

// parse validates an encoded document and returns its faults, one per line.
func parse(t *testing.T, raw []byte) []string {
	t.Helper()
	c, err := check.New()
	if err != nil {
		t.Fatalf("new checker: %v", err)
	}
	_, err = c.Parse(raw)
	if err == nil {
		return nil
	}
	if !errors.Is(err, check.ErrInvalid) {
		t.Errorf("error is not marked ErrInvalid: %v", err)
	}
	return strings.Split(err.Error(), "\n")
}

func encode(t *testing.T, doc *schema.Document) []byte {
	t.Helper()
	raw, err := json.Marshal(doc)
	if err != nil {
		t.Fatalf("encode document: %v", err)
	}
	return raw
}

// Guards against accepting a document that violates a rule, and against a rejection that reports the wrong
// path or only the first fault.
func TestDocumentFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		change func(d *schema.Document)
		want   []string
	}{
		{"valid", func(*schema.Document) {}, nil},
		{"host in two groups", func(d *schema.Document) { d.Groups[3].Hosts[1] = d.Groups[0].Hosts[1] }, []string{`$.groups[3].hosts[1]: host "host-000-01" is already in group "presse-lm-000"`}},
		{"group across fabric domains", func(d *schema.Document) { d.Hosts[1].FabricDomain = "vejle-fabric" }, []string{`$.groups[0].hosts[1]: host "host-000-01" is in fabric domain "vejle-fabric", but the group is in "esbjerg-fabric"`}},
		{"unknown model", func(d *schema.Document) { d.Groups[1].Model = "other" }, []string{`$.groups[1].model: there is no model "other"`}},
		{"unknown version", func(d *schema.Document) { d.Groups[1].Version = "v9" }, []string{`$.groups[1].version: there is no model version "v9"`}},
		{"unknown adapter", func(d *schema.Document) { d.Groups[1].Adapters = []string{"da"} }, []string{`$.groups[1].adapters[0]: there is no model adapter "da"`}},
		{"wrong number of hosts", func(d *schema.Document) { d.Groups[2].Hosts = d.Groups[2].Hosts[:1] }, []string{`$.groups[2].hosts: the model requires 2 hosts, but 1 are pinned`}},
		{"no free hosts in the domain", func(d *schema.Document) { d.Groups[5].Hosts = nil; d.Hosts[10].InService = false }, []string{`$.groups[5].fabric_domain: fabric domain "vejle-fabric" has 1 free hosts in service, but the group needs 2`}},
		{"pinned hosts without a domain", func(d *schema.Document) { d.Groups[4].FabricDomain = "" }, []string{
			`$.groups[4].fabric_domain: a group with pinned hosts needs a fabric domain`,
			`$.groups[4].hosts[0]: host "host-004-00" is in fabric domain "herning-fabric", but the group is in ""`,
			`$.groups[4].hosts[1]: host "host-004-01" is in fabric domain "herning-fabric", but the group is in ""`,
		}},
		{"domain in another data centre", func(d *schema.Document) { d.Groups[4].DataCentre = "vejle" }, []string{`$.groups[4].data_centre: fabric domain "herning-fabric" is in data centre "herning"`}},
		{"group that may run anywhere", func(d *schema.Document) { d.Groups[5].Hosts = nil; d.Groups[5].FabricDomain = "" }, nil},
		{"duplicate name", func(d *schema.Document) { d.Accounts[4].Name = "account-00" }, []string{`$.accounts[4].name: the name "account-00" is used twice`}},
		{"key of two accounts", func(d *schema.Document) { d.Accounts[1].KeyHashes = d.Accounts[0].KeyHashes }, []string{`$.accounts[1].key_hashes[0]: client account "account-00" has the same key`}},
		{"cold_requests greater than warm_requests", func(d *schema.Document) { d.Groups[0].Capacity.ColdRequests = 100 }, []string{`$.groups[0].capacity.cold_requests: is greater than warm_requests (64)`}},
		{"address without a port", func(d *schema.Document) { d.Hosts[0].Address = "10.0.0.1" }, []string{`$.hosts[0].address: "10.0.0.1" is not an IP address and port`}},
		{"unknown region", func(d *schema.Document) { d.DataCentres[2].Region = "north" }, []string{`$.data_centres[2].region: there is no region "north"`}},
		{"period that ends before it starts", func(d *schema.Document) {
			d.Calendars = []schema.Calendar{{Name: "dk", Periods: []schema.Period{{Kind: "holiday", FirstDay: "2026-02-10", LastDay: "2026-02-09"}}}}
		}, []string{`$.calendars[0].periods[0].last_day: is before first_day`}},
		{"objective of an unknown account", func(d *schema.Document) {
			d.Objectives = []schema.Objective{{Account: "none", Model: "presse-lm", Quantile: 0.95}}
		}, []string{`$.objectives[0].account: there is no client account "none"`}},
		{"request buffer larger than account buffer", func(d *schema.Document) { d.Limits.RequestBufferBytes = 1 << 30 }, []string{`$.limits.request_buffer_bytes: is greater than account_buffer_bytes (67108864)`}},
		{"all data centres out of service", func(d *schema.Document) {
			for i := range d.DataCentres {
				d.DataCentres[i].InService = false
			}
		}, []string{`$.models[0]: no group of model "presse-lm" can run`}},
		{"group that may run anywhere before one that needs a domain", func(d *schema.Document) {
			d.Hosts = append(d.Hosts, schema.Host{Name: "spare-0", FabricDomain: "vejle-fabric", InService: true}, schema.Host{Name: "spare-1", FabricDomain: "vejle-fabric", InService: true})
			d.Hosts = append(d.Hosts, schema.Host{Name: "spare-2", FabricDomain: "esbjerg-fabric", InService: true}, schema.Host{Name: "spare-3", FabricDomain: "esbjerg-fabric", InService: true})
			d.Hosts = append(d.Hosts, schema.Host{Name: "spare-4", FabricDomain: "esbjerg-fabric", InService: true})
			for _, domain := range []string{"", "vejle-fabric"} {
				d.Groups = append(d.Groups, schema.Group{Name: "new" + domain, Model: "presse-lm", Version: "v1", FabricDomain: domain, Capacity: schema.Capacity{WarmRequests: 1}})
			}
		}, nil},
		{"duplicate distance", func(d *schema.Document) {
			d.Distances = append(d.Distances, schema.Distance{From: "vejle", To: "esbjerg", OneWayUs: 1})
		}, []string{`$.distances[3]: duplicate distance between the same two data centres`}},
		{"duplicate target", func(d *schema.Document) {
			d.Targets = []schema.Target{{Model: "presse-lm", DataCentre: "vejle"}, {Model: "presse-lm", DataCentre: "vejle", Groups: 1}}
		}, []string{`$.targets[1]: duplicate target for the same model and data centre`}},
		{"duplicate objective", func(d *schema.Document) {
			o := schema.Objective{Account: "account-00", Model: "presse-lm", Quantile: 0.95}
			d.Objectives = []schema.Objective{o, o}
		}, []string{`$.objectives[1]: duplicate objective for the same client account and model`}},
		{"local time zone", func(d *schema.Document) {
			d.Calendars = []schema.Calendar{{Name: "dk", TimeZone: "Local", Periods: []schema.Period{}}}
		}, []string{`$.calendars[0].time_zone: there is no time zone "Local"`}},
		{"unspecified IP address", func(d *schema.Document) { d.Hosts[0].Address = "0.0.0.0:80" }, []string{`$.hosts[0].address: "0.0.0.0:80" is not an IP address and port`}},
		{"address with port 0", func(d *schema.Document) { d.Hosts[0].Address = "10.0.0.1:0" }, []string{`$.hosts[0].address: "10.0.0.1:0" is not an IP address and port`}},
		{"order of indices", func(d *schema.Document) { d.Hosts[10].Address, d.Hosts[2].Address = "x", "x" }, []string{
			`$.hosts[2].address: "x" is not an IP address and port`, `$.hosts[10].address: "x" is not an IP address and port`, `$.hosts[10].address: host "host-001-00" has the same address`,
		}},
		{"several faults at once", func(d *schema.Document) { d.Groups[0].Model = "other"; d.DataCentres[0].Region = "north" }, []string{
			`$.data_centres[0].region: there is no region "north"`, `$.groups[0].model: there is no model "other"`,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			doc := valid(t)
			tt.change(doc)
			checkFaultLines(t, parse(t, encode(t, doc)), tt.want)
		})
	}
}

func checkFaultLines(t *testing.T, got, want []string) {
	t.Helper()
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got faults:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// Guards against schema faults that are reported without their path or only one at a time.
func TestSchemaFaults(t *testing.T) {
	t.Parallel()
	raw := encode(t, valid(t))
	raw = []byte(strings.Replace(string(raw), `"share":8`, `"share":0`, 1))
	raw = []byte(strings.Replace(string(raw), `"in_service":true,"name":"herning"`, `"in_service":"yes","name":"herning"`, 1))
	got := strings.Join(parse(t, raw), "\n")
	for _, want := range []string{"$.accounts[0].share: ", "$.data_centres[1].in_service: "} {
		if !strings.Contains(got, want) {
			t.Errorf("faults do not contain %q:\n%s", want, got)
		}
	}
	if got := parse(t, []byte(`{"regions":`)); len(got) != 1 || !strings.HasPrefix(got[0], "$: not valid JSON") {
		t.Errorf("truncated document: %v", got)
	}
}

// Guards against accepting an explicit zero and then replacing it by the default: the Go types do not
// distinguish zero from an absent field.
func TestZeroIsNotTheDefault(t *testing.T) {
	t.Parallel()
	for _, limit := range []string{"body_bytes", "queue_requests", "queue_timeout_ms", "request_timeout_ms", "crash_runs"} {
		raw := []byte(strings.Replace(string(encode(t, valid(t))), `"limits":{}`, `"limits":{"`+limit+`":0}`, 1))
		if got := parse(t, raw); len(got) != 1 || !strings.HasPrefix(got[0], "$.limits."+limit) {
			t.Errorf("%s: faults %v", limit, got)
		}
	}
	raw := []byte(strings.Replace(string(encode(t, valid(t))), `"priority":5`, `"priority":0`, 1))
	if got := parse(t, raw); len(got) != 1 || !strings.HasPrefix(got[0], "$.accounts[0].priority") {
		t.Errorf("priority: faults %v", got)
	}
}

// Guards against documents that make Parse panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"regions":[{"name":"a"}],"data_centres":[],"fabric_domains":[],"hosts":[],"models":[],"groups":[],"services":[],"accounts":[],"limits":{}}`))
	c, err := check.New()
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = c.Parse(raw)
	})
}
