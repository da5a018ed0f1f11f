package node

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Guards against a request that leaves its home regions: served by an instance elsewhere, sent to a server elsewhere
// because the route may cross regions, or recorded in a partition that instances elsewhere may own.
func TestHomeRegionsHoldOnTheWholePath(t *testing.T) {
	for name, c := range map[string]struct {
		home   []string
		server string // zone of the only server
		at     string // region of the instance
		kind   fault.Kind
	}{
		"no home regions, server elsewhere": {nil, "gulf-a", "permian", ""},
		"server at home":                    {[]string{"permian"}, "permian-a", "permian", ""},
		"server elsewhere":                  {[]string{"permian"}, "gulf-a", "permian", fault.NoServer},
		"instance elsewhere":                {[]string{"permian"}, "gulf-a", "gulf", fault.WrongRegion},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runs := 0
				cl, i := startSingle(t, &runs, func(cl *cluster) {
					cl.docs.Fleet = &document.Fleet{Name: "pecos", Regions: []document.Region{
						{Name: "permian", Zones: []string{"permian-a"}}, {Name: "gulf", Zones: []string{"gulf-a"}},
					}}
					doc := cl.docs.Services["intake"]
					doc.Servers.List[0].Zone = c.server
					doc.Routes[0].HomeRegions, doc.Routes[0].CrossRegion = c.home, true
				})
				if c.at != "permian" {
					i.shutDown()
					i = cl.start(t, member.Instance{Name: "entry-1", Incarnation: 1, Region: c.at, Zone: c.at + "-a"})
				}
				_, err := i.server.Do(t.Context(), onceRequest("a", "1", time.Second))
				if served := c.kind == ""; served != (runs == 1) || served != (err == nil) || !served && (!fault.Is(err, c.kind) || !fault.As(err).NotRun) {
					t.Errorf("%d runs, error %v, want kind %q", runs, err, c.kind)
				}
				cl.checkClaims(t, c.home)
				i.shutDown()
			})
		})
	}
}

// checkClaims fails for a claims object whose name does not begin with the set of home regions.
func (c *cluster) checkClaims(t *testing.T, home []string) {
	t.Helper()
	set := "r0"
	if len(home) == 1 {
		set = "r1.7." + home[0]
	}
	for key := range c.api.objects {
		if strings.Contains(key, ".p") && !strings.Contains(key, set+".p") {
			t.Errorf("claims object %s, want prefix %s", key, set)
		}
	}
}
