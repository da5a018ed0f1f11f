package document

// ApplyDefaults sets the optional fields that have the zero value to their defaults. It must be called before Check.
func (s *Service) ApplyDefaults() {
	setDefault(&s.MaxBody, DefaultMaxBody)
	setDefault(&s.Servers.FoundIn, FoundInDocument)
	setDefault(&s.Servers.Connections, DefaultConnections)
	setDefault(&s.Servers.ColdAllowance, DefaultColdAllowance)
	setDefault(&s.Servers.WarmUpStep, DefaultWarmUpStep)
	setDefault(&s.Servers.ProbePath, DefaultProbePath)
	setDefault(&s.Queue.Length, DefaultQueueLength)
	setDefault(&s.Queue.PerTenant, max(1, s.Queue.Length/2))
	for i := range s.Routes {
		s.Routes[i].setDefaults()
	}
	for i := range s.Tenants {
		s.Tenants[i].HomeRegions = nilIfEmpty(s.Tenants[i].HomeRegions)
	}
}

// nilIfEmpty replaces an empty list by nil, which stands for all regions.
func nilIfEmpty(regions []string) []string {
	if len(regions) == 0 {
		return nil
	}
	return regions
}

func (r *Route) setDefaults() {
	setDefault(&r.OnceWindow, DefaultOnceWindow)
	setDefault(&r.KeyHeader, DefaultKeyHeader)
	setDefault(&r.OnMissingKey, MissingKeyRefuse)
	setDefault(&r.Deadline, DefaultDeadline)
	r.HomeRegions = nilIfEmpty(r.HomeRegions)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
