package bergamotgrade

import (
	"sort"
	"strings"
	"time"
)

// RouteKind says what of a request may be repeated and how its answer comes.
type RouteKind int

// The kinds of routes.
const (
	// RouteSingle carries calls that may run once at most.
	RouteSingle RouteKind = iota
	// RouteRepeatable carries calls that may run more than once.
	RouteRepeatable
	// RouteStream carries generations that answer with events.
	RouteStream
	// RouteBatch carries batch jobs.
	RouteBatch
)

// RouteTarget is one service of a route with its share of the requests.
type RouteTarget struct {
	Service string
	Weight  int
}

// FleetRoute is one route of the fleet: which requests it takes and how they are
// treated. Durations are what the operator has configured.
type FleetRoute struct {
	Name string
	// Host is in lower case and without a port.
	Host       string
	PathPrefix string
	Kind       RouteKind
	Targets    []RouteTarget
	// Timeout bounds a request from its arrival.
	Timeout time.Duration
	// Objective is the latency up to which an answer is on time: of the whole
	// answer, the first event, or the acceptance of a batch job.
	Objective time.Duration
	// GapObjective is the longest pause between events that is on time.
	GapObjective time.Duration
	// RunObjective is the time from its submission in which a batch job is due.
	RunObjective time.Duration
	// Retention is the time from its submission after which the items of a batch
	// job may be abandoned.
	Retention time.Duration
	// MaxAttempts bounds the backend servers that may run one request.
	MaxAttempts int
	// Priority is the rank of the requests; zero is the most urgent.
	Priority int
	// Anonymous routes take requests without a key.
	Anonymous bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	// MaxWaitingTokens bounds the tokens of one team's unfinished batch items;
	// zero is unbounded.
	MaxWaitingTokens int64
}

// Repeatable reports whether a request of the route may run more than once.
func (r *FleetRoute) Repeatable() bool {
	return r.Kind == RouteRepeatable || (r.Kind == RouteStream && r.Resumable) || r.Kind == RouteBatch
}

// Target returns the service for a request; hash picks among several by weight.
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

// FleetTeam is a team with its limits over all VMs together.
type FleetTeam struct {
	Name string
	// Rate is in requests per second; zero is unlimited.
	Rate float64
	// Burst is the number of requests above the rate that may come at once.
	Burst float64
	// Priority goes before the route's where it is set.
	Priority    int
	HasPriority bool
}

// CallerLimits bound what a caller may send; zero leaves one open.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// FleetConfiguration is one whole version of what operators have configured. It
// is never changed once it is in use.
type FleetConfiguration struct {
	// Version rises with each change.
	Version int64
	// Revision is the platform's revision of the entry that held it.
	Revision int64
	Teams    map[string]FleetTeam
	Limits   CallerLimits

	routes map[string][]*FleetRoute
	keys   map[string]string
}

// NewFleetConfiguration indexes routes by host and keys by their hashes; keys
// maps each key to its team.
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
	for _, ofHost := range c.routes {
		sort.SliceStable(ofHost, func(i, j int) bool { return len(ofHost[i].PathPrefix) > len(ofHost[j].PathPrefix) })
	}
	return c
}

// Route returns the route with the longest prefix of the path, or nil.
func (c *FleetConfiguration) Route(host, path string) *FleetRoute {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Team returns the team of a key; false means that the key is unknown.
func (c *FleetConfiguration) Team(key string) (FleetTeam, bool) {
	name, ok := c.keys[HashKey(key)]
	if !ok {
		return FleetTeam{}, false
	}
	return c.Teams[name], true
}

// HasTeams reports whether requests need a key at all.
func (c *FleetConfiguration) HasTeams() bool { return len(c.Teams) > 0 }

// ServerRecord is what a backend server says of itself in the platform.
type ServerRecord struct {
	// ServerID is new with most starts of the server.
	ServerID   string
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of requests that it runs at the same time.
	Slots    int
	Draining bool
	// StartedAt tells two starts under one ServerID apart; zero where unknown.
	StartedAt time.Time
}

// NodeSettings are the settings of one VM.
type NodeSettings struct {
	VMID       string
	DataCentre string
	// IP is the VM's own address.
	IP string
	// CallerAddress and ReadyAddress are host:port; empty where the VM does not
	// serve them.
	CallerAddress string
	ReadyAddress  string
	// InnerPort is the port for traffic between VMs.
	InnerPort int
	// Seeds are IPs of VMs that may know more.
	Seeds        []string
	StoreAddress string
	// StopGrace is the time from SIGTERM to SIGKILL.
	StopGrace time.Duration
	// StoreLeaseMin is the shortest term of a lease.
	StoreLeaseMin time.Duration
	// StoreValueBytes bounds one value.
	StoreValueBytes int
	// JobStatusLife is how long a batch job's results stay readable.
	JobStatusLife time.Duration
	// MemoryBytes is the process's memory limit.
	MemoryBytes int64
}
