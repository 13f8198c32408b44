package standin

// Table is a configuration as operators write it into the store.
type Table struct {
	Version int
	// Host is that of all routes.
	Host     string
	Routes   []TableRoute
	Services []TableService
	// Keys are the keys of each team.
	Keys map[string][]string
	// BodyBytes is the largest body of a request.
	BodyBytes int
	// TokensPerSecond is what operators promise of the engines.
	TokensPerSecond float64
}

// TableRoute is a route of a configuration; times are in milliseconds.
type TableRoute struct {
	Name, Kind, Service      string
	TimeoutMillis, Objective int64
	Attempts                 int
	Resumable                bool
}

// TableService is a service of a configuration.
type TableService struct {
	Name string
	// Connections is what a target accepts.
	Connections int
	// ColdSeconds is how long a target is cold, and ColdPerSecond what it bears meanwhile.
	ColdSeconds, ColdPerSecond float64
	// MemoryTokens is the memory of an engine; zero for other services.
	MemoryTokens int
}

// Document is the configuration as the store has it.
func (table Table) Document() map[string]any {
	var routes, services, teams []any
	for _, route := range table.Routes {
		routes = append(routes, map[string]any{
			"name": route.Name, "host": table.Host, "path_prefix": "/" + route.Name + "/", "kind": route.Kind, "timeout_ms": route.TimeoutMillis,
			"target_latency_ms": route.Objective, "service": route.Service, "max_attempts": route.Attempts, "resumable": route.Resumable,
		})
	}
	for _, service := range table.Services {
		document := map[string]any{
			"name": service.Name, "connection_limit": service.Connections, "cold_start_s": service.ColdSeconds, "cold_per_s": service.ColdPerSecond, "health_path": "/health",
		}
		if service.MemoryTokens > 0 {
			document["engine"] = map[string]any{"kv_capacity_tokens": service.MemoryTokens}
		}
		services = append(services, document)
	}
	for team, keys := range table.Keys {
		teams = append(teams, map[string]any{"name": team, "api_keys": keys})
	}
	return map[string]any{
		"version": table.Version, "routes": routes, "services": services, "tenants": teams,
		"limits": map[string]any{
			"max_body_bytes": table.BodyBytes, "max_header_bytes": 16384, "header_timeout_ms": 5000, "idle_timeout_ms": 15000, "tokens_per_s": table.TokensPerSecond,
		},
	}
}
