package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// NewCommand returns the command line of bergamotd.
func NewCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "bergamotd",
		Short:         "Serve online and batch inference on one fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServeCommand(), newDemoCommand())
	return root
}

func newServeCommand() *cobra.Command {
	var settings Settings
	command := &cobra.Command{
		Use:   "serve",
		Short: "Run one VM of the system",
		Long: "Run one VM of the system. Each flag that is not given can be set by an environment variable:\n" +
			"BERGAMOT_ and the flag's name in capitals with underscores, such as BERGAMOT_VM_ID.\n" +
			"SIGTERM or SIGINT drains the VM: it finishes the requests in flight within\n--drain-timeout and exits.",
		Example: "  bergamotd serve --vm-id vm1 --data-centre north --platform-address 10.0.0.5:7000",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			problems := ApplyEnvironment(command.Flags(), os.LookupEnv)
			if err := settings.Check(problems); err != nil {
				return err
			}
			setMemoryLimit(settings)
			vm, err := New(settings)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return vm.Run(ctx)
		},
	}
	settings.Register(command.Flags())
	return command
}

// Main runs bergamotd with the process's arguments.
func Main(ctx context.Context) error {
	return NewCommand().ExecuteContext(ctx)
}
