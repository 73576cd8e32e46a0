package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/bergamotgrade/bergamotgrade"
	platformstandin "github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// NewCommand returns the command that runs a stand-in as a process.
func NewCommand() *cobra.Command {
	root := &cobra.Command{Use: "standin", Short: "Run a stand-in for tests: a model engine, a plain service or the platform", SilenceUsage: true}
	root.AddCommand(newEngineCommand(), newServiceCommand(), newPlatformCommand())
	return root
}

func newEngineCommand() *cobra.Command {
	var config EngineConfig
	var address string
	command := &cobra.Command{
		Use:  "engine",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			engine := NewEngine(config)
			return serve(command, address, engine, engine.Run)
		},
	}
	flags := command.Flags()
	flags.StringVar(&address, "address", "127.0.0.1:0", "`host:port` to serve on")
	flags.IntVar(&config.Slots, "slots", 8, "`number` of requests that run concurrently")
	flags.DurationVar(&config.TokenTime, "token-time", 30*time.Millisecond, "`time` per token with one running request")
	flags.DurationVar(&config.PrefillBlockTime, "prefill-block-time", time.Millisecond, "`time` per uncached prompt block")
	flags.IntVar(&config.CacheBlocks, "cache-blocks", 4096, "`capacity` of the prefix cache in blocks")
	flags.DurationVar(&config.ReportLag, "report-lag", 200*time.Millisecond, "`interval` between load reports")
	flags.BoolVar(&config.IgnoreFences, "ignore-fences", false, "accept orders with old fencing numbers")
	return command
}

func newServiceCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:  "service",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return serve(command, address, NewService(), nil)
		},
	}
	command.Flags().StringVar(&address, "address", "127.0.0.1:0", "`host:port` to serve on")
	return command
}

func newPlatformCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:  "platform",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return serve(command, address, platformstandin.NewStoreServer(platformstandin.NewStore(bergamotgrade.SystemClock{})), nil)
		},
	}
	command.Flags().StringVar(&address, "address", "127.0.0.1:0", "`host:port` to serve on")
	return command
}

// serve prints the listening address on one line and serves the handler until SIGTERM or
// SIGINT; run, unless nil, runs meanwhile.
func serve(command *cobra.Command, address string, handler http.Handler, run func(context.Context)) error {
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintln(command.OutOrStdout(), listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	group, groupCtx := errgroup.WithContext(ctx)
	if run != nil {
		group.Go(func() error { run(groupCtx); return nil })
	}
	group.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	<-groupCtx.Done()
	_ = server.Close()
	return group.Wait()
}
