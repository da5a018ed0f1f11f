package document

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Problem is one fault of a document.
type Problem struct {
	// Key is the path of the faulty key, such as "route[2].path".
	Key string
	// Message describes the fault.
	Message string
	// Remedy describes the correction.
	Remedy string
}

// ProblemsError combines problems into one error of kind Invalid. It returns nil when there are none. The source is the
// name of the file or object.
func ProblemsError(source string, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	var lines, remedies []string
	for _, p := range problems[:min(maxShownProblems, len(problems))] {
		lines = append(lines, p.Key+": "+p.Message)
		remedies = append(remedies, p.Key+": "+p.Remedy)
	}
	if hidden := len(problems) - maxShownProblems; hidden > 0 {
		lines = append(lines, "and "+strconv.Itoa(hidden)+" more problems")
	}
	return fault.New(fault.Invalid, strings.Join(remedies, "; "), "%s: %s", source, strings.Join(lines, "; "))
}

// Limits of the values in documents and of error messages.
const (
	maxSlots      = 10_000
	maxBodyLimit  = 64 << 20
	maxDeadline   = time.Hour
	maxOnceWindow = 24 * time.Hour
	maxNameBytes  = 63
	// maxShownProblems is the maximum number of problems in one error message.
	maxShownProblems = 5
)

type checker struct{ problems []Problem }

func (c *checker) add(key, remedy, message string) {
	c.problems = append(c.problems, Problem{Key: key, Message: message, Remedy: remedy})
}

func (c *checker) require(ok bool, key, remedy, message string) {
	if !ok {
		c.add(key, remedy, message)
	}
}

func (c *checker) checkName(key, value string) {
	c.require(validName(value), key, "use 1 to 63 lower-case letters, digits, dots and dashes", "name "+quote(value)+" is not valid")
}

func quote(s string) string { return `"` + s + `"` }

func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, r := range s {
		if !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' || r == '.') {
			return false
		}
	}
	return true
}

// Check returns the faults of a service document. ApplyDefaults must have been called before.
func (s *Service) Check() []Problem {
	c := &checker{}
	c.checkName("service", s.Name)
	c.require(s.Owner != "", "owner", "set owner to the team that owns the service", "owner is missing")
	c.require(s.MaxBody > 0 && s.MaxBody <= maxBodyLimit, "max_body", "use 1 byte to 64 MiB", "value is out of range")
	c.checkServers(s.Servers)
	c.checkQueue(s.Queue)
	c.checkShare("retry.budget", s.Retry.Budget)
	c.require(s.Retry.Attempts >= 0 && s.Retry.Attempts <= 5, "retry.attempts", "use 0 to 5", "value is out of range")
	c.checkShare("hedge.budget", s.Hedge.Budget)
	c.checkShare("hedge.percentile", s.Hedge.Percentile)
	c.checkRoutes(s.Routes)
	c.checkTenants(s.Tenants)
	return c.problems
}

func (c *checker) checkShare(key string, value float64) {
	c.require(value >= 0 && value <= 1, key, "use a share from 0 to 1", "value is out of range")
}

func (c *checker) checkServers(s Servers) {
	validSource := s.FoundIn == FoundInDocument || s.FoundIn == FoundInPlatform
	c.require(validSource, "servers.found_in", `use "document" or "platform"`, "value "+quote(s.FoundIn)+" is not known")
	c.require(s.Slots >= 1 && s.Slots <= maxSlots, "servers.slots", "set slots to the number of requests that one server runs concurrently", "slots must be from 1 to 10000")
	c.require(s.Connections >= 1, "servers.connections", "use at least 1", "value is out of range")
	c.require(s.ColdAllowance >= 1, "servers.cold_allowance", "use at least 1", "value is out of range")
	c.require(s.WarmUpStep > 0, "servers.warm_up_step", `use a positive duration such as "1s"`, "value is out of range")
	c.require(strings.HasPrefix(s.ProbePath, "/"), "servers.probe_path", `start the path with "/"`, "path is not absolute")
	if s.FoundIn == FoundInPlatform {
		c.require(len(s.List) == 0, "servers.server", "remove the list or set found_in to \"document\"", "servers are listed, but found_in is \"platform\"")
		return
	}
	c.require(len(s.List) > 0, "servers.server", "list at least one server, or set found_in to \"platform\"", "no server is listed")
	c.problems = append(c.problems, CheckServers(s.List)...)
}

// CheckServers returns the faults of a list of servers.
func CheckServers(list []Server) []Problem {
	c := &checker{}
	seen, addresses := map[string]bool{}, map[string]bool{}
	for i, server := range list {
		key := indexedKey("servers.server", i)
		c.checkName(key+".name", server.Name)
		c.require(!seen[server.Name], key+".name", "give each server its own name", "name "+quote(server.Name)+" is used twice")
		seen[server.Name] = true
		address, err := netip.ParseAddrPort(server.Address)
		valid := err == nil && !address.Addr().IsUnspecified() && address.Port() != 0
		c.require(valid, key+".address", `write an IP address and a port, such as "10.0.0.7:8080"`, "address "+quote(server.Address)+" is not valid")
		c.require(!addresses[server.Address], key+".address", "give each server its own address", "address "+quote(server.Address)+" is used twice")
		addresses[server.Address] = true
		c.checkName(key+".zone", server.Zone)
		c.require(server.Slots >= 0 && server.Slots <= maxSlots, key+".slots", "use 0 to 10000", "value is out of range")
	}
	return c.problems
}

func (c *checker) checkQueue(q Queue) {
	c.require(q.Length >= 1, "queue.length", "use at least 1", "value is out of range")
	c.require(q.PerTenant >= 1 && q.PerTenant <= q.Length, "queue.per_tenant", "use 1 to queue.length", "value is out of range")
}

func (c *checker) checkRoutes(routes []Route) {
	c.require(len(routes) > 0, "route", "add a [[route]]", "no route is defined")
	seen := map[string]bool{}
	for i, r := range routes {
		key := indexedKey("route", i)
		c.checkName(key+".name", r.Name)
		c.require(!seen[r.Name], key+".name", "give each route its own name", "name "+quote(r.Name)+" is used twice")
		seen[r.Name] = true
		c.checkRoute(key, r)
	}
}

func (c *checker) checkRoute(key string, r Route) {
	c.require(validPath(r.Path), key+".path", `start with "/"; "{name}" stands for one segment, a last "*" for the rest`, "path "+quote(r.Path)+" is not valid")
	for _, m := range r.Methods {
		c.require(m != "" && m == strings.ToUpper(m), key+".methods", "write methods in upper case", "method "+quote(m)+" is not valid")
	}
	c.require(!(r.Idempotent && r.OnceOnly), key+".once_only", "keep one of idempotent and once_only", "a route cannot be both idempotent and once-only")
	c.require(!r.Hedge || r.Idempotent, key+".hedge", "set idempotent = true or remove hedge", "only idempotent routes may be hedged")
	c.require(r.OnceWindow > 0 && r.OnceWindow <= maxOnceWindow, key+".once_window", "use a duration up to 24h", "value is out of range")
	c.require(validHeaderName(r.KeyHeader), key+".key_header", "use letters, digits and dashes", "header name "+quote(r.KeyHeader)+" is not valid")
	c.require(r.OnMissingKey == MissingKeyRefuse || r.OnMissingKey == MissingKeyRun, key+".on_missing_key", `use "refuse" or "run"`, "value "+quote(r.OnMissingKey)+" is not known")
	c.require(r.Deadline > 0 && r.Deadline <= maxDeadline, key+".deadline", "use a duration up to 1h", "value is out of range")
	c.require(r.Priority >= Low && r.Priority <= High, key+".priority", `use "low", "normal" or "high"`, "value is not known")
	c.checkRegionNames(key, r.HomeRegions)
}

func (c *checker) checkRegionNames(key string, regions []string) {
	for _, r := range regions {
		c.checkName(key+".home_regions", r)
	}
}

func (c *checker) checkTenants(tenants []Tenant) {
	seen := map[string]bool{}
	for i, t := range tenants {
		key := indexedKey("tenant", i)
		c.checkName(key+".name", t.Name)
		c.require(!seen[t.Name], key+".name", "give each tenant its own name", "name "+quote(t.Name)+" is used twice")
		seen[t.Name] = true
		c.checkRegionNames(key, t.HomeRegions)
	}
}

// Check returns the faults of a fleet document.
func (f *Fleet) Check() []Problem {
	c := &checker{}
	c.checkName("fleet", f.Name)
	c.require(len(f.Regions) > 0, "region", "add a [[region]]", "no region is defined")
	var zones, regions []string
	for i, r := range f.Regions {
		key := indexedKey("region", i)
		c.checkName(key+".name", r.Name)
		c.require(!slices.Contains(regions, r.Name), key+".name", "give each region its own name", "name "+quote(r.Name)+" is used twice")
		regions = append(regions, r.Name)
		c.require(len(r.Zones) > 0, key+".zones", "list at least one availability zone", "region has no availability zone")
		for _, z := range r.Zones {
			c.checkName(key+".zones", z)
			c.require(!slices.Contains(zones, z), key+".zones", "list each availability zone once", "zone "+quote(z)+" is listed twice")
			zones = append(zones, z)
		}
	}
	for _, z := range f.ZonesOut {
		c.require(slices.Contains(zones, z), "out", "give a zone of the fleet", "zone "+quote(z)+" is not part of the fleet")
	}
	return c.problems
}

// validHeaderName reports whether name is a valid name for the HTTP header of an idempotency key.
func validHeaderName(name string) bool {
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return name != "" && len(name) <= maxNameBytes
}

func validPath(p string) bool {
	if !strings.HasPrefix(p, "/") {
		return false
	}
	star := strings.IndexByte(p, '*')
	if star >= 0 && (star != len(p)-1 || p[star-1] != '/') {
		return false
	}
	return !strings.ContainsAny(p, "?# ")
}

func indexedKey(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }
