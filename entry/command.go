package entry

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/bergamotgrade/bergamotgrade/hedge"
	"github.com/bergamotgrade/bergamotgrade/platform"
)

// NewCommand returns the root command of bergamot-vm; hangups is the channel of Hangups.
func NewCommand(hangups chan os.Signal) *cobra.Command {
	root := &cobra.Command{
		Use:           "bergamot-vm",
		Short:         "Run one VM of the system on the users' platform",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newRoleCommand(hangups, "entry", "Serve requests from callers", true),
		newRoleCommand(hangups, "disk", "Run batch items on a disk VM", false),
	)
	return root
}

func newRoleCommand(hangups chan os.Signal, name, short string, takesCallers bool) *cobra.Command {
	var options Options
	var hedgeShare string
	command := &cobra.Command{
		Use:   name,
		Short: short,
		Long: short + ". The environment variable " + platform.SettingsVariable + " names the settings file.\n" +
			"Each flag that is not given can be set by an environment variable: BERGAMOT_ and the flag's\nname in capitals with underscores, such as BERGAMOT_HELD_SHARE.\n" +
			"SIGTERM stops the VM after it has completed the requests in flight within the stop grace\nperiod. SIGHUP reads the settings file again; a change takes effect at the next start.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := checkHeldLimits(options.Held, applyEnvironment(command.Flags())); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			var err error
			if options.HedgeShare, err = hedge.ParseShare(hedgeShare); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			if err := Main(command.Context(), hangups, options); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			return nil
		},
	}
	command.Flags().IntVar(&options.MetricsPort, "metrics-port", 0, "port of the metrics page; 0 disables it")
	registerHeldLimits(command.Flags(), &options.Held)
	hedgeShare = "0"
	if takesCallers {
		command.Flags().StringVar(&hedgeShare, "hedge-share", "0", "`share` of the requests that may run at a second server when the first one is late,\nfrom 0 (off) to 0.2")
	}
	return command
}

// Execute runs the root command with the arguments of the process; hangups is the channel
// of Hangups.
func Execute(ctx context.Context, hangups chan os.Signal) error {
	return NewCommand(hangups).ExecuteContext(ctx)
}
