package entry

import (
	"cmp"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/pflag"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/memory"
)

// environmentPrefix begins the names of the environment variables that set flags.
const environmentPrefix = "BERGAMOT_"

// registerHeldLimits adds the flags of the limits, with their defaults, to the set.
func registerHeldLimits(flags *pflag.FlagSet, limits *bergamotgrade.HeldLimits) {
	flags.Float64Var(&limits.Share, "held-share", defaultHeldShare, "`share` of the memory limit that may be held for clients, servers and other VMs")
	flags.IntVar(&limits.Connections, "client-connections", 0, "largest `number` of connections of clients; 0 selects half of the file descriptors")
	flags.Int64Var(&limits.BodyBytes, "body-progress-bytes", defaultBodyProgressBytes, "`bytes` of a request's body that have to arrive in each --body-progress-window")
	flags.DurationVar(&limits.BodyWindow, "body-progress-window", defaultBodyProgressWindow, "`time` in which --body-progress-bytes of a body have to arrive")
	flags.Int64Var(&limits.ServerBytes, "server-held-bytes", defaultServerHeldBytes, "`bytes` of requests that a server may hold from all VMs together")
}

// applyEnvironment sets each flag that is not on the command line from its environment variable:
// BERGAMOT_ and the flag's name in capitals with underscores.
func applyEnvironment(flags *pflag.FlagSet) []string {
	var problems []string
	flags.VisitAll(func(flag *pflag.Flag) {
		name := environmentPrefix + strings.ToUpper(strings.ReplaceAll(flag.Name, "-", "_"))
		if value, ok := os.LookupEnv(name); ok && !flag.Changed {
			if err := flags.Set(flag.Name, value); err != nil {
				problems = append(problems, fmt.Sprintf("%s (flag --%s): %v; correct the variable", name, flag.Name, err))
			}
		}
	})
	return problems
}

// checkHeldLimits returns one error that lists the problems and all invalid limits.
func checkHeldLimits(limits bergamotgrade.HeldLimits, problems []string) error {
	check := func(ok bool, message string) {
		if !ok {
			problems = append(problems, message)
		}
	}
	check(limits.Share >= minHeldShare && limits.Share <= maxHeldShare, fmt.Sprintf("--held-share: not between %g and %g; give a share like %g", minHeldShare, maxHeldShare, defaultHeldShare))
	check(limits.Connections == 0 || limits.Connections >= minConnections, fmt.Sprintf("--client-connections: below %d; give more, or 0", minConnections))
	check(limits.ServerBytes >= minServerHeldBytes, fmt.Sprintf("--server-held-bytes: below %d; give the memory that a server has for requests", minServerHeldBytes))
	check(limits.BodyBytes >= 1, "--body-progress-bytes: below 1; give a number like 1024")
	check(limits.BodyWindow >= minBodyProgressWindow && limits.BodyWindow <= maxBodyProgressWindow, fmt.Sprintf("--body-progress-window: not between %s and %s; give a time like %s", minBodyProgressWindow, maxBodyProgressWindow, defaultBodyProgressWindow))
	if len(problems) == 0 {
		return nil
	}
	return bergamotgrade.NewError(bergamotgrade.KindInvalidRequest, strings.Join(problems, "; "), "correct these flags or variables")
}

// newAccount returns the account of the bytes that the VM holds.
func (n *Node) newAccount() *memory.Account {
	share, limit := cmp.Or(n.settings.Held.Share, defaultHeldShare), cmp.Or(n.settings.MemoryBytes, assumedMemoryBytes)
	account := memory.New(n.clock, int64(share*float64(limit)), func(shortage memory.Shortage) {
		n.log.Warn("bytes held are at the budget; closing the connections that hold most without progress", "held", shortage.Held, "budget", shortage.Budget,
			"holdings", shortage.Holdings, "evicted", shortage.Evicted, "refused", shortage.Refused, "largest_evicted", shortage.LargestVictimBytes)
	})
	for name, value := range account.Gauges() {
		n.metrics.Gauge(name, value)
	}
	return account
}

// newBodies returns the reader of the bodies of callers' requests.
func (n *Node) newBodies() *memory.Bodies {
	limits := n.settings.Held
	return memory.NewBodies(n.account, memory.Progress{
		Bytes: cmp.Or(limits.BodyBytes, defaultBodyProgressBytes), Window: cmp.Or(limits.BodyWindow, defaultBodyProgressWindow),
	})
}
