package docfile

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/document"
)

// service is the TOML form of document.Service. Pointers distinguish an absent key from zero.
type service struct {
	Service string   `toml:"service"`
	Owner   string   `toml:"owner"`
	MaxBody int64    `toml:"max_body,omitempty"`
	Servers servers  `toml:"servers"`
	Queue   queue    `toml:"queue,omitempty"`
	Retry   retry    `toml:"retry,omitempty"`
	Hedge   hedge    `toml:"hedge,omitempty"`
	Routes  []route  `toml:"route"`
	Tenants []tenant `toml:"tenant,omitempty"`
}

type servers struct {
	FoundIn       string   `toml:"found_in,omitempty"`
	Slots         int      `toml:"slots"`
	Connections   int      `toml:"connections,omitempty"`
	ColdAllowance int      `toml:"cold_allowance,omitempty"`
	WarmUpStep    duration `toml:"warm_up_step,omitempty"`
	ProbePath     string   `toml:"probe_path,omitempty"`
	List          []server `toml:"server,omitempty"`
}

type server struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
	Slots   int    `toml:"slots,omitempty"`
}

type queue struct {
	Length    int `toml:"length,omitempty"`
	PerTenant int `toml:"per_tenant,omitempty"`
}

type retry struct {
	Attempts *int     `toml:"attempts,omitempty"`
	Budget   *float64 `toml:"budget,omitempty"`
}

type hedge struct {
	Percentile *float64 `toml:"percentile,omitempty"`
	Budget     *float64 `toml:"budget,omitempty"`
}

type route struct {
	Name         string   `toml:"name"`
	Methods      []string `toml:"methods,omitempty"`
	Path         string   `toml:"path"`
	Idempotent   bool     `toml:"idempotent,omitempty"`
	OnceOnly     bool     `toml:"once_only,omitempty"`
	OnceWindow   duration `toml:"once_window,omitempty"`
	KeyHeader    string   `toml:"key_header,omitempty"`
	OnMissingKey string   `toml:"on_missing_key,omitempty"`
	Priority     priority `toml:"priority,omitempty"`
	HomeRegions  []string `toml:"home_regions,omitempty"`
	Deadline     duration `toml:"deadline,omitempty"`
	Hedge        bool     `toml:"hedge,omitempty"`
	CrossRegion  bool     `toml:"cross_region,omitempty"`
}

type tenant struct {
	Name        string   `toml:"name"`
	HomeRegions []string `toml:"home_regions,omitempty"`
}

// ReadService decodes a service document, applies the defaults and checks the result. Errors contain the source.
func ReadService(source string, text []byte) (*document.Service, error) {
	var f service
	if err := decode(source, text, &f); err != nil {
		return nil, err
	}
	doc := f.document()
	doc.ApplyDefaults()
	if err := document.ProblemsError(source, doc.Check()); err != nil {
		return nil, err
	}
	return doc, nil
}

func (f service) document() *document.Service {
	doc := &document.Service{
		Name: f.Service, Owner: f.Owner, MaxBody: f.MaxBody,
		Servers: f.Servers.document(),
		Queue:   document.Queue{Length: f.Queue.Length, PerTenant: f.Queue.PerTenant},
		Retry:   document.Retry{Attempts: valueOr(f.Retry.Attempts, document.DefaultAttempts), Budget: valueOr(f.Retry.Budget, document.DefaultRetryBudget)},
		Hedge:   document.Hedge{Percentile: valueOr(f.Hedge.Percentile, document.DefaultHedgePercentile), Budget: valueOr(f.Hedge.Budget, document.DefaultHedgeBudget)},
	}
	for _, r := range f.Routes {
		doc.Routes = append(doc.Routes, r.document())
	}
	for _, t := range f.Tenants {
		doc.Tenants = append(doc.Tenants, document.Tenant{Name: t.Name, HomeRegions: t.HomeRegions})
	}
	return doc
}

func (s servers) document() document.Servers {
	out := document.Servers{
		FoundIn: s.FoundIn, Slots: s.Slots, Connections: s.Connections, ColdAllowance: s.ColdAllowance,
		WarmUpStep: time.Duration(s.WarmUpStep), ProbePath: s.ProbePath,
	}
	for _, entry := range s.List {
		out.List = append(out.List, document.Server(entry))
	}
	return out
}

func (r route) document() document.Route {
	return document.Route{
		Name: r.Name, Methods: r.Methods, Path: r.Path, Idempotent: r.Idempotent, OnceOnly: r.OnceOnly,
		OnceWindow: time.Duration(r.OnceWindow), KeyHeader: r.KeyHeader, OnMissingKey: r.OnMissingKey,
		Priority: document.Priority(r.Priority), HomeRegions: r.HomeRegions, Deadline: time.Duration(r.Deadline),
		Hedge: r.Hedge, CrossRegion: r.CrossRegion,
	}
}

func valueOr[T any](value *T, fallback T) T {
	if value == nil {
		return fallback
	}
	return *value
}

// backends is the TOML form of an object of kind backends.
type backends struct {
	List []server `toml:"server"`
}

// ReadBackends decodes and checks a list of backend servers from the platform.
func ReadBackends(source string, text []byte) ([]document.Server, error) {
	var f backends
	if err := decode(source, text, &f); err != nil {
		return nil, err
	}
	var list []document.Server
	for _, entry := range f.List {
		list = append(list, document.Server(entry))
	}
	return list, document.ProblemsError(source, document.CheckServers(list))
}
