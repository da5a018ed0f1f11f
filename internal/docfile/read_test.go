package docfile_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/docfile"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

const minimalService = `service = "intake"
owner = "dispatch"
[servers]
slots = 6
[[servers.server]]
name = "intake-1"
address = "10.0.0.1:80"
zone = "permian-a"
[[route]]
name = "all"
path = "/*"
`

// Guards against accepting an invalid service document, and against an error without the file, the key or the remedy.
func TestInvalidServicesAreRejected(t *testing.T) {
	tests := []struct{ name, old, new, want, remedy string }{
		{"unknown key", `slots = 6`, "slots = 6\nslot = 7", `f.toml:5: unknown key "servers.slot"`, "docs/operators/document.md"},
		{"syntax", `slots = 6`, `slots = `, `f.toml:4:`, "correct the line"},
		{"wrong type", `slots = 6`, `slots = "six"`, `f.toml:4: key "servers.slots"`, "correct the line"},
		{"no slots", `slots = 6`, ``, `servers.slots: slots must be`, "set slots to the number of requests"},
		{"no owner", `owner = "dispatch"`, ``, `owner: owner is missing`, "set owner to the team"},
		{"host name", `10.0.0.1:80`, `intake:80`, `servers.server[0].address: address "intake:80"`, "write an IP address"},
		{"duration without unit", `slots = 6`, "slots = 6\nwarm_up_step = \"1\"", `f.toml:5: key "servers.warm_up_step"`, "correct the line"},
		{"priority", `path = "/*"`, "path = \"/*\"\npriority = \"urgent\"", `priority "urgent" is not known`, "correct the line"},
		{"idempotent and once-only", `path = "/*"`, "path = \"/*\"\nidempotent = true\nonce_only = true", `route[0].once_only`, "keep one of"},
		{"hedge without idempotent", `path = "/*"`, "path = \"/*\"\nhedge = true", `route[0].hedge`, "set idempotent = true"},
		{"path", `path = "/*"`, `path = "/*/x"`, `route[0].path`, "start with"},
		{"key header", `path = "/*"`, "path = \"/*\"\nkey_header = \"a b\"", `route[0].key_header`, "use letters"},
		{"budget", `[[route]]`, "[retry]\nbudget = 2.0\n[[route]]", `retry.budget`, "use a share from 0 to 1"},
		{"same name twice", `[[route]]`, "[[route]]\nname = \"all\"\npath = \"/a\"\n[[route]]", `route[1].name: name "all" is used twice`, "its own name"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := docfile.ReadService("f.toml", []byte(strings.Replace(minimalService, test.old, test.new, 1)))
			requireInvalid(t, err, "f.toml", test.want, test.remedy)
		})
	}
}

func requireInvalid(t *testing.T, err error, wants ...string) {
	t.Helper()
	if !fault.Is(err, fault.Invalid) {
		t.Fatalf("got %v", err)
	}
	for _, want := range wants {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}

// Guards against accepting an invalid fleet document.
func TestInvalidFleetsAreRejected(t *testing.T) {
	const good = "fleet = \"pecos\"\nout = []\n[[region]]\nname = \"permian\"\nzones = [\"permian-a\"]\n"
	if _, err := docfile.ReadFleet("f.toml", []byte(good)); err != nil {
		t.Fatal(err)
	}
	tests := []struct{ name, old, new, want string }{
		{"unknown zone out", `out = []`, `out = ["gulf-a"]`, `out: zone "gulf-a" is not part of the fleet`},
		{"no zones", `zones = ["permian-a"]`, `zones = []`, `region[0].zones`},
		{"zone twice", `["permian-a"]`, `["permian-a", "permian-a"]`, `zone "permian-a" is listed twice`},
		{"unknown key", `out = []`, `outs = []`, `f.toml:2: unknown key "outs"`},
		{"no region", "[[region]]\nname = \"permian\"\nzones = [\"permian-a\"]", ``, `region: no region is defined`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := docfile.ReadFleet("f.toml", []byte(strings.Replace(good, test.old, test.new, 1)))
			requireInvalid(t, err, "f.toml", test.want, "remedy")
		})
	}
}

// Guards against reading an empty list of home regions as "no region", which would refuse every request.
func TestEmptyHomeRegionsMeanAll(t *testing.T) {
	text := strings.Replace(minimalService, `path = "/*"`, "path = \"/*\"\nhome_regions = []\n[[tenant]]\nname = \"a\"\nhome_regions = []", 1)
	doc, err := docfile.ReadService("f.toml", []byte(text))
	if err != nil || doc.Routes[0].HomeRegions != nil || doc.Tenants[0].HomeRegions != nil {
		t.Errorf("got %+v, %v", doc, err)
	}
}

// Guards against accepting zones and regions that are not part of the fleet, whose servers would receive no requests.
func TestUnknownZonesAndRegionsAreReported(t *testing.T) {
	fleet, err := docfile.ReadFleet("fleet", []byte("fleet = \"x\"\n[[region]]\nname = \"gulf\"\nzones = [\"gulf-a\"]\n"))
	if err != nil {
		t.Fatal(err)
	}
	doc, err := docfile.ReadService("f.toml", []byte(minimalService+"home_regions = [\"permian\"]\n[[tenant]]\nname = \"a\"\nhome_regions = [\"permian\"]\n"))
	if err != nil {
		t.Fatal(err)
	}
	var keys []string
	for _, p := range doc.CheckLocations(fleet) {
		keys = append(keys, p.Key)
	}
	if got := strings.Join(keys, " "); got != "servers.server[0].zone route[0].home_regions tenant[0].home_regions" {
		t.Errorf("got %q", got)
	}
}

// Guards against an edit of the zones that are out of service that loses comments or changes other parts of the document.
func TestWithOut(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"replaced", "# a\nfleet = \"x\"\n# b\nout = [ \"z2\" ] # c\n", "# a\nfleet = \"x\"\n# b\nout = [\"z1\"] # c\n"},
		{"list over several lines", "fleet = \"x\" # a\nout = [\n  \"z2\",\n]\n", "fleet = \"x\" # a\nout = [\"z1\"]\n"},
		{"missing", "fleet = \"x\" # a\n", "fleet = \"x\" # a\nout = [\"z1\"]\n"},
		{"quoted key", "\"fleet\" = \"x\"\n\"out\" = []\n", ""},
		{"bracket in a comment", "fleet = \"x\"\nout = [ # z2]\n]\n", ""},
	}
	const region = "[[region]]\nname = \"r\"\nzones = [\"z1\", \"z2\"]\n"
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := docfile.SetZonesOut("f.toml", []byte(test.text+region), []string{"z1"})
			if err != nil {
				t.Fatal(err)
			}
			if test.want != "" && string(got) != test.want+region {
				t.Errorf("got %q", got)
			}
			doc, err := docfile.ReadFleet("f.toml", got)
			if err != nil || !reflect.DeepEqual(doc.ZonesOut, []string{"z1"}) || len(doc.Regions) != 1 || len(doc.Regions[0].Zones) != 2 {
				t.Errorf("got %+v, %v", doc, err)
			}
		})
	}
}

// addSeeds adds the files that match the pattern, and some malformed texts, to the seed corpus of a fuzz test.
func addSeeds(f *testing.F, pattern string) {
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		f.Fatalf("no seed matches %s: %v", pattern, err)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte("= ["))
	f.Add([]byte("[[route]]\npath = 7"))
}

// Guards against a text that makes the decoder panic, return an error of another kind or accept a document that fails its
// own checks.
func FuzzReadService(f *testing.F) {
	addSeeds(f, "../../examples/*/*.toml")
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := docfile.ReadService("f.toml", text)
		if err != nil {
			requireInvalid(t, err, "f.toml")
			return
		}
		doc.ApplyDefaults()
		if problems := doc.Check(); len(problems) > 0 {
			t.Errorf("accepted with %v", problems)
		}
	})
}

// Guards against an edit of a fleet document that changes anything but the zones out of service.
func FuzzReadFleet(f *testing.F) {
	addSeeds(f, "../../examples/*/fleet.toml")
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := docfile.ReadFleet("f.toml", text)
		if err != nil {
			requireInvalid(t, err, "f.toml")
			return
		}
		zone := doc.Regions[0].Zones[0]
		edited, err := docfile.SetZonesOut("f.toml", text, []string{zone})
		if err != nil {
			t.Fatal(err)
		}
		reread, err := docfile.ReadFleet("f.toml", edited)
		if err != nil || !reread.IsZoneOut(zone) || len(reread.ZonesOut) != 1 || !reflect.DeepEqual(reread.Regions, doc.Regions) {
			t.Errorf("got %+v, %v", reread, err)
		}
	})
}

// Guards against accepting a malformed entry of the list of instances, and against an entry that changes when it is encoded
// and decoded.
func TestInstanceEntries(t *testing.T) {
	good := document.Instance{
		Name: "entry-1", Region: "permian", Zone: "permian-a", PeerAddress: "10.0.0.7:8081", OperationsAddress: "10.0.0.7:8082", Incarnation: 7,
	}
	text, err := docfile.WriteInstance(&good)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := docfile.ReadInstance("f.toml", text); err != nil || *got != good {
		t.Errorf("got %+v, %v", got, err)
	}
	for _, key := range []string{"peer_address", "operations_address"} {
		wrong := strings.Replace(string(text), key+" = '10.0.0.7:", key+" = 'host:", 1)
		_, err := docfile.ReadInstance("f.toml", []byte(wrong))
		requireInvalid(t, err, "f.toml", key, "write an IP address")
	}
}
