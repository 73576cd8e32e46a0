package daemon

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/spf13/pflag"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/dispatch"
	"github.com/bergamotgrade/bergamotgrade/route"
)

// Settings holds the flags of one VM. Each flag can also be set by the environment
// variable BERGAMOT_NAME, with the flag's name in capitals and underscores.
type Settings struct {
	VMID                     string
	DataCentre               string
	CallerAddress            string
	OperatorAddress          string
	InnerAddress             string
	PlatformAddress          string
	InnerSecret              string
	PlatformRate             float64
	MaxBodyBytes             int64
	MaxConnections           int
	MemoryMB                 int64
	HeldShare                float64
	FileDescriptors          int
	BodyProgressBytes        int64
	BodyProgressWindow       time.Duration
	HeaderTimeout            time.Duration
	BodyTimeout              time.Duration
	RequestTimeout           time.Duration
	FirstTokenTimeout        time.Duration
	TokenGapTimeout          time.Duration
	DrainNotice              time.Duration
	DrainQuiet               time.Duration
	DrainTimeout             time.Duration
	LeaseTerm                time.Duration
	RoutePolicy              string
	RateMode                 string
	SlotCount                int
	BatchPolicy              string
	BatchPlatformBytes       int64
	DataFolder               string
	PeerAddresses            []string
	AdvertiseInnerAddress    string
	AdvertiseOperatorAddress string
}

// minLeaseTerm leaves time to renew the lease before a VM stops serving because the
// lease expires by its own clock.
const minLeaseTerm = 5 * time.Second

const environmentPrefix = "BERGAMOT_"

// Register adds the flags with their defaults to the set.
func (s *Settings) Register(flags *pflag.FlagSet) {
	flags.StringVar(&s.VMID, "vm-id", "", "unique `name` of this VM")
	flags.StringVar(&s.DataCentre, "data-centre", "", "`name` of the data centre of this VM")
	flags.StringVar(&s.CallerAddress, "caller-address", "127.0.0.1:8080", "`host:port` for callers")
	flags.StringVar(&s.OperatorAddress, "operator-address", "127.0.0.1:8081", "`host:port` for operators; keep it away from callers")
	flags.StringVar(&s.InnerAddress, "inner-address", "127.0.0.1:8082", "`host:port` for other VMs")
	flags.StringSliceVar(&s.PeerAddresses, "peer-addresses", nil, "inner `addresses` of other VMs, from which this VM fetches the configuration while it has none")
	flags.StringVar(&s.AdvertiseInnerAddress, "advertise-inner-address", "", "`host:port` at which other VMs reach this VM, if it differs from the inner address")
	flags.StringVar(&s.AdvertiseOperatorAddress, "advertise-operator-address", "", "`host:port` at which operators reach this VM, if it differs from the operator address")
	flags.StringVar(&s.PlatformAddress, "platform-address", "", "`host:port` of the platform's key-value service")
	flags.StringVar(&s.InnerSecret, "inner-secret", "", "`secret` that all VMs share, at least 16 bytes; preferably set by the environment variable")
	flags.Float64Var(&s.PlatformRate, "platform-rate", 20, "largest number of platform `calls` per second, lease calls not counted")
	flags.Int64Var(&s.MaxBodyBytes, "max-body-bytes", 4<<20, "largest request body in `bytes`")
	flags.IntVar(&s.MaxConnections, "max-connections", 10000, "largest `number` of connections from callers")
	flags.Int64Var(&s.MemoryMB, "memory-mb", 1024, "memory limit of this process in `MiB`")
	flags.Float64Var(&s.HeldShare, "held-share", 0.25, "`share` of the memory limit that may be held for callers, operators and other VMs")
	flags.IntVar(&s.FileDescriptors, "file-descriptors", 0, "largest `number` of open descriptors; 0 leaves the connections to --max-connections")
	flags.Int64Var(&s.BodyProgressBytes, "body-progress-bytes", 256, "`bytes` of a request's body that have to arrive in each --body-progress-window")
	flags.DurationVar(&s.BodyProgressWindow, "body-progress-window", 3*time.Second, "`time` in which --body-progress-bytes of a body have to arrive")
	flags.DurationVar(&s.HeaderTimeout, "header-timeout", 5*time.Second, "longest `time` for the header of a request")
	flags.DurationVar(&s.BodyTimeout, "body-timeout", 10*time.Second, "longest `time` for the body of a request")
	flags.DurationVar(&s.RequestTimeout, "request-timeout", 2*time.Minute, "`time` limit of a request that sets no deadline")
	flags.DurationVar(&s.FirstTokenTimeout, "first-token-timeout", 15*time.Second, "longest `time` to the first token of an attempt")
	flags.DurationVar(&s.TokenGapTimeout, "token-gap-timeout", 5*time.Second, "longest `time` between two tokens of an attempt")
	flags.DurationVar(&s.DrainNotice, "drain-notice", 10*time.Second, "shortest `time` for which a stopping VM still accepts new connections")
	flags.DurationVar(&s.DrainQuiet, "drain-quiet", time.Second, "`time` without a new connection, past the drain notice, after which a stopping VM accepts no more")
	flags.DurationVar(&s.DrainTimeout, "drain-timeout", 10*time.Minute, "longest `time` for the whole drain of a stopping VM")
	flags.DurationVar(&s.LeaseTerm, "lease-term", 10*time.Second, "`term` of this VM's platform lease")
	flags.StringVar(&s.RoutePolicy, "route-policy", string(route.PolicySpread), "routing `policy`: locality, spread, power_of_two, round_robin or least_in_flight")
	flags.StringVar(&s.RateMode, "rate-mode", RateModePledge, "`mode` of sharing the rates between VMs: pledge, lending or static")
	flags.StringVar(&s.BatchPolicy, "batch-policy", string(dispatch.BatchYield), "batch `policy`: yield, cap or none")
	flags.Int64Var(&s.BatchPlatformBytes, "batch-platform-bytes", 16<<20, "largest batch input file in `bytes` unless disk VMs run in at least two data centres")
	flags.StringVar(&s.DataFolder, "data-folder", "", "`path` of this VM's folder for bulk data; if empty, this VM stores none")
	flags.IntVar(&s.SlotCount, "slot-count", 16, "`number` of slots into which each rate is divided; the same on all VMs, at least the number of VMs")
}

// ApplyEnvironment sets each flag that is not on the command line from its environment
// variable, if lookup finds it. It returns a message for each value that cannot be
// parsed.
func ApplyEnvironment(flags *pflag.FlagSet, lookup func(string) (string, bool)) []string {
	var problems []string
	flags.VisitAll(func(flag *pflag.Flag) {
		if flag.Changed {
			return
		}
		name := environmentPrefix + strings.ToUpper(strings.ReplaceAll(flag.Name, "-", "_"))
		value, ok := lookup(name)
		if !ok {
			return
		}
		if err := flags.Set(flag.Name, value); err != nil {
			problems = append(problems, fmt.Sprintf("%s (flag --%s): %v; correct the variable", name, flag.Name, err))
		}
	})
	return problems
}

// The rate modes. Pledge is the default; lending and static are baselines to compare it
// with.
const (
	RateModePledge  = "pledge"
	RateModeLending = "lending"
	RateModeStatic  = "static"
)

// Check validates the settings. If problems is not empty or a setting is invalid, it
// returns one error that lists problems and all invalid settings, each with its flag and
// remedy.
func (s *Settings) Check(problems []string) error {
	add := func(bad bool, flag, problem, remedy string) {
		if bad {
			problems = append(problems, fmt.Sprintf("--%s: %s; %s", flag, problem, remedy))
		}
	}
	address := func(flag, value string) {
		_, _, err := net.SplitHostPort(value)
		add(err != nil, flag, "not host:port", "give an IP number and a port")
	}
	add(s.VMID == "" || strings.ContainsAny(s.VMID, "/ "), "vm-id", "missing or holding a slash or space", "give each VM its own name")
	add(s.DataCentre == "", "data-centre", "missing", "name the data centre of this VM")
	address("caller-address", s.CallerAddress)
	address("operator-address", s.OperatorAddress)
	address("inner-address", s.InnerAddress)
	address("platform-address", s.PlatformAddress)
	for _, peer := range s.PeerAddresses {
		address("peer-addresses", peer)
	}
	add(len(s.InnerSecret) < 16, "inner-secret", "shorter than 16 bytes", "give all VMs the same long random secret")
	add(s.PlatformRate <= 0, "platform-rate", "not above zero", "give this VM's part of the platform's call budget")
	add(s.MaxBodyBytes < 1024, "max-body-bytes", "below 1024", "give a larger bound")
	add(s.MaxConnections < 1, "max-connections", "below 1", "give a larger bound")
	add(s.MemoryMB < 64, "memory-mb", "below 64", "give the memory of this process")
	add(s.HeldShare < 0.05 || s.HeldShare > 0.5, "held-share", "not between 0.05 and 0.5", "give a share like 0.25")
	add(s.FileDescriptors != 0 && s.FileDescriptors < 256, "file-descriptors", "below 256", "give the limit of this process, or 0")
	add(s.BodyProgressBytes < 1, "body-progress-bytes", "below 1", "give a number like 256")
	add(s.LeaseTerm < minLeaseTerm, "lease-term", "below 5s", "give at least 5s")
	add(s.SlotCount < 1, "slot-count", "below 1", "give at least the number of VMs")
	add(s.RateMode != RateModePledge && s.RateMode != RateModeLending && s.RateMode != RateModeStatic, "rate-mode", "unknown", "choose pledge, lending or static")
	add(!isKnownPolicy(s.RoutePolicy), "route-policy", "unknown", "choose locality, spread, power_of_two, round_robin or least_in_flight")
	policy := dispatch.BatchPolicy(s.BatchPolicy)
	add(policy != dispatch.BatchYield && policy != dispatch.BatchCap && policy != dispatch.BatchNone, "batch-policy", "unknown", "choose yield, cap or none")
	add(s.BatchPlatformBytes < 1, "batch-platform-bytes", "below 1", "give a larger bound")
	s.checkTimes(add)
	if len(problems) == 0 {
		return nil
	}
	return bergamotgrade.NewError(bergamotgrade.KindInvalidRequest, fmt.Sprintf("%d settings are wrong:\n  %s", len(problems), strings.Join(problems, "\n  ")), "correct all of them and start again")
}

func (s *Settings) checkTimes(add func(bad bool, flag, problem, remedy string)) {
	times := []struct {
		flag  string
		value time.Duration
	}{
		{"header-timeout", s.HeaderTimeout},
		{"body-timeout", s.BodyTimeout},
		{"body-progress-window", s.BodyProgressWindow},
		{"request-timeout", s.RequestTimeout},
		{"first-token-timeout", s.FirstTokenTimeout},
		{"token-gap-timeout", s.TokenGapTimeout},
		{"drain-quiet", s.DrainQuiet},
		{"drain-timeout", s.DrainTimeout},
	}
	for _, t := range times {
		add(t.value <= 0, t.flag, "not above zero", "give a time like 10s")
	}
	add(s.DrainNotice < 0, "drain-notice", "below zero", "give a time like 10s")
}

func isKnownPolicy(name string) bool {
	for _, policy := range route.Policies() {
		if string(policy) == name {
			return true
		}
	}
	return false
}
