package entry

import (
	"context"
	"io"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform"
)

// Guards against a share of hedged requests that is not checked, or a flag that does not come before the
// environment variable. The command ends before it reads the settings file if the share is not valid.
func TestHedgeShareIsChecked(t *testing.T) {
	t.Setenv(platform.SettingsVariable, t.TempDir()+"/missing.toml")
	for _, test := range []struct {
		role, variable, flag string
		valid                bool
	}{
		{"entry", "", "0.05", true},
		{"entry", "", "0.3", false},
		{"entry", "0.3", "", false},
		{"entry", "0.3", "0.1", true},
		{"entry", "much", "", false},
		{"disk", "0.3", "", true},
	} {
		os.Unsetenv("BERGAMOT_HEDGE_SHARE")
		if test.variable != "" {
			t.Setenv("BERGAMOT_HEDGE_SHARE", test.variable)
		}
		command := NewCommand(nil)
		args := []string{test.role}
		if test.flag != "" {
			args = append(args, "--hedge-share", test.flag)
		}
		command.SetArgs(args)
		command.SetOut(io.Discard)
		err := command.ExecuteContext(context.Background())
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, strings.Contains(err.Error(), "hedged requests"), qt.Equals, !test.valid, qt.Commentf("%+v: %v", test, err))
	}
}

// Guards against counters without bound: servers are replaced all the time.
func TestHedgeCountersOfFormerServersAreRemoved(t *testing.T) {
	metrics := NewMetrics()
	metrics.CountAt("hedges_started", "a", 1)
	metrics.CountAt("hedges_started", "b", 2)
	metrics.pruneServers(map[string]bergamotgrade.ServerRecord{"b": {}})
	qt.Assert(t, metrics.text(), qt.Equals, "bergamotgrade_hedges_started_total{server=\"b\"} 2\n")
}
