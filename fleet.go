package bergamotgrade

import (
	"sort"
	"strings"
	"time"
)

// RouteKind tells whether the requests of a route may run more than once and how their
// responses are delivered.
type RouteKind int

// The kinds of routes.
const (
	// RouteAtMostOnce is a route whose calls may run at most once.
	RouteAtMostOnce RouteKind = iota
	// RouteRepeatable is a route whose calls may run more than once.
	RouteRepeatable
	// RouteStream is a route whose requests are answered with a stream of events.
	RouteStream
	// RouteBatch is a route for batch jobs.
	RouteBatch
)

// RouteTarget is one service of a route with its relative share of the requests.
type RouteTarget struct {
	Service string
	Weight  int
}

// FleetRoute is one configured route: the requests that it matches, the services that
// run them, and their limits and latency objectives.
type FleetRoute struct {
	Name string
	// Host is the host name in lower case, without a port.
	Host       string
	PathPrefix string
	Kind       RouteKind
	Targets    []RouteTarget
	// Timeout is the maximum duration of a request from its arrival.
	Timeout time.Duration
	// Objective is the latency objective, from arrival to the whole response, to the
	// first event of a stream, or to the acceptance of a batch job.
	Objective time.Duration
	// GapObjective is the latency objective between two events of a stream.
	GapObjective time.Duration
	// RunObjective is the time from submission until a batch job is due.
	RunObjective time.Duration
	// Retention is the time from submission after which unfinished items of a batch
	// job may be abandoned.
	Retention time.Duration
	// MaxAttempts is the maximum number of attempts that may have run one request.
	MaxAttempts int
	// Priority orders requests in the queue; zero is the most urgent.
	Priority int
	// Anonymous marks a route that accepts requests without an API key.
	Anonymous bool
	// Resumable marks a route whose streams may continue on another backend server.
	Resumable bool
	// MaxWaitingTokens is the maximum sum of the tokens of one team's unfinished batch
	// items; zero is unbounded.
	MaxWaitingTokens int64
	// Homes are the regions in which the route's requests may run.
	Homes Homes
}

// Repeatable reports whether a request of the route may run more than once.
func (r *FleetRoute) Repeatable() bool {
	return r.Kind == RouteRepeatable || (r.Kind == RouteStream && r.Resumable) || r.Kind == RouteBatch
}

// Target returns the service for a request; hash selects one of several services by
// weight. It returns "" if the route has no services.
func (r *FleetRoute) Target(hash uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	at := int(hash % uint64(total))
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Services returns the names of the services that run the route's requests.
func (r *FleetRoute) Services() []string {
	services := make([]string, 0, len(r.Targets))
	for _, target := range r.Targets {
		if target.Weight > 0 || len(r.Targets) == 1 {
			services = append(services, target.Service)
		}
	}
	return services
}

// FleetTeam is a team with its rate limit, which applies to the sum over all VMs.
type FleetTeam struct {
	Name string
	// Rate is in requests per second; zero is unlimited.
	Rate float64
	// Burst is the number of requests that may exceed the rate at once.
	Burst float64
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Homes are the regions in which the team's requests may run.
	Homes Homes
}

// FleetService is a service that backend servers run.
type FleetService struct {
	Name string
	// ColdStart is how long a server is cold after its start; zero if servers are never cold.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests per second that a cold server tolerates from all VMs
	// together; zero if servers are never cold.
	ColdPerSecond float64
	// HealthPath is the path of the servers' health check.
	HealthPath string
	// ConnectionCap is the number of connections that a server accepts from all VMs together; zero
	// if it is not known.
	ConnectionCap int
}

// CallerLimits are the limits on requests of callers; a zero field sets no limit.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// FleetConfiguration is one version of the operators' configuration. It is immutable
// once it is in use.
type FleetConfiguration struct {
	// Version increases with each change of the configuration.
	Version int64
	// Revision is the store revision of the entry that holds the configuration.
	Revision int64
	Teams    map[string]FleetTeam
	Limits   CallerLimits

	services map[string]FleetService
	routes   map[string][]*FleetRoute
	keys     map[string]string
}

// NewFleetConfiguration returns a configuration with routes indexed by host. keys maps
// each API key in clear text to its team; the configuration stores only the hashes.
func NewFleetConfiguration(version, revision int64, routes []FleetRoute, teams []FleetTeam, keys map[string]string, limits CallerLimits) *FleetConfiguration {
	c := &FleetConfiguration{Version: version, Revision: revision, Limits: limits}
	c.Teams = make(map[string]FleetTeam, len(teams))
	for _, team := range teams {
		c.Teams[team.Name] = team
	}
	c.keys = make(map[string]string, len(keys))
	for key, team := range keys {
		c.keys[HashKey(key)] = team
	}
	c.routes = map[string][]*FleetRoute{}
	for i := range routes {
		r := &routes[i]
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, hostRoutes := range c.routes {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].PathPrefix) > len(hostRoutes[j].PathPrefix) })
	}
	return c
}

// SetServices sets the services; it may be called only before the configuration is in use.
func (c *FleetConfiguration) SetServices(services []FleetService) {
	c.services = make(map[string]FleetService, len(services))
	for _, service := range services {
		c.services[service.Name] = service
	}
}

// Services returns the services by name; the map must not be changed.
func (c *FleetConfiguration) Services() map[string]FleetService { return c.services }

// Service returns the service of the name; an unknown one has only its name.
func (c *FleetConfiguration) Service(name string) FleetService {
	if service, ok := c.services[name]; ok {
		return service
	}
	return FleetService{Name: name}
}

// Route returns the route of the host with the longest matching path prefix, or nil.
func (c *FleetConfiguration) Route(host, path string) *FleetRoute {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Team returns the team of an API key, and false if the key is unknown.
func (c *FleetConfiguration) Team(key string) (FleetTeam, bool) {
	name, ok := c.keys[HashKey(key)]
	if !ok {
		return FleetTeam{}, false
	}
	return c.Teams[name], true
}

// HasTeams reports whether any team is configured; without teams, requests need no key.
func (c *FleetConfiguration) HasTeams() bool { return len(c.Teams) > 0 }

// ServerRecord is the record that a backend server publishes in the platform.
type ServerRecord struct {
	// ServerID usually changes when the server restarts.
	ServerID   string
	Service    string
	Address    string
	DataCentre string
	// SoftwareVersion is that of the server's software, not of its weights. What two versions
	// write does not fit together in one stream.
	SoftwareVersion string
	// Slots is the number of requests that the server runs concurrently.
	Slots    int
	Draining bool
	// StartedAt distinguishes restarts that keep the ServerID; zero if unknown.
	StartedAt time.Time
	// Region is the region of the data centre; empty if unknown.
	Region string
	// ColdRemaining is how much longer the server stays cold, as of when it wrote the entry; zero if
	// it is warm. It holds only if ColdNamed is set, which tells that the entry says so.
	ColdRemaining time.Duration
	ColdNamed     bool
}

// ServerSpeed is what the recent runs of VMs tell of the speed of a server.
type ServerSpeed struct {
	ServerID string
	// Time is the time per unit of cost on a logarithmic scale of the package placement.
	Time byte
	// Runs is the number of recent runs.
	Runs int
}

// ServerProcess is one process of a backend server, which may start again under its id.
type ServerProcess struct {
	ServerID string
	// StartedAtMs is the start of the process in Unix milliseconds; zero if unknown.
	StartedAtMs int64
}

// ProcessOf returns the process that published the record.
func ProcessOf(record ServerRecord) ServerProcess {
	process := ServerProcess{ServerID: record.ServerID}
	if !record.StartedAt.IsZero() {
		process.StartedAtMs = record.StartedAt.UnixMilli()
	}
	return process
}

// NodeSettings are the settings of one VM.
type NodeSettings struct {
	VMID       string
	DataCentre string
	// IP is the VM's own IP address.
	IP string
	// CallerAddress and ReadyAddress are the host:port of the caller API and of the
	// readiness probe; empty if the VM does not serve it.
	CallerAddress string
	ReadyAddress  string
	// InnerPort is the port for connections between VMs.
	InnerPort int
	// Seeds are the IP addresses of VMs from which this VM may discover other VMs.
	Seeds        []string
	StoreAddress string
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration
	// StoreLeaseMin is the shortest lease term that the platform's store grants.
	StoreLeaseMin time.Duration
	// StoreValueBytes is the maximum size of one value in the platform's store.
	StoreValueBytes int
	// ResultRetention is how long the results of an ended batch job stay readable.
	ResultRetention time.Duration
	// MemoryBytes is the process's memory limit.
	MemoryBytes int64
	// Cores is the VM's share of a core, or its number of cores; zero if unknown.
	Cores float64
	// Region is the region of the VM, Regions the region of each data centre; empty if unknown.
	Region  string
	Regions map[string]string
	// FileDescriptors is the process's limit on open descriptors; zero if unknown.
	FileDescriptors int
	// RateWindow is the time over which the requests of a team are counted; they may exceed what its
	// limits allow by the fraction RateOvershoot and by RateSlack requests. Zero if unknown.
	RateWindow               time.Duration
	RateOvershoot, RateSlack float64
	// ColdOvershoot times the limit of a cold server is what it may get in one second; zero if
	// unknown.
	ColdOvershoot float64
	// Held bounds what the process holds for its clients.
	Held HeldLimits
}

// HeldLimits bound what a process holds for its clients. A zero field selects the default.
type HeldLimits struct {
	// Share is the share of MemoryBytes that is the budget of bytes held for clients, servers and
	// other VMs.
	Share float64
	// Connections is the number of open connections of callers.
	Connections int
	// BodyBytes of a request's body have to arrive in each BodyWindow.
	BodyBytes  int64
	BodyWindow time.Duration
	// ServerBytes is the bytes of requests that a server may hold from all VMs together.
	ServerBytes int64
}
