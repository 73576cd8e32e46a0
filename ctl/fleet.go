package ctl

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/operator"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

func newKeyCommand() *cobra.Command {
	command := &cobra.Command{Use: "key", Short: "Compute the hashes of callers' keys"}
	command.AddCommand(&cobra.Command{
		Use:     "hash",
		Short:   "Read a key from standard input and print the key_hash for a note",
		Example: "  bergamotctl key hash < key.txt",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			line, err := bufio.NewReader(command.InOrStdin()).ReadString('\n')
			secret := strings.TrimSpace(line)
			if secret == "" {
				return fmt.Errorf("no key on standard input: %v; pipe the key in", err)
			}
			_, err = fmt.Fprintln(command.OutOrStdout(), bergamotgrade.HashKey(secret))
			return err
		},
	})
	return command
}

func newStatusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show every VM: readiness, revision, load, slots",
		Example: "  bergamotctl status --vm 10.0.0.7:8081",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			answered, unreachable, err := fetchStatuses(command.Context(), o)
			if err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), answered, func(w io.Writer) error { return printStatus(w, answered, unreachable) })
		},
	}
}

func printStatus(w io.Writer, answered []operator.Status, unreachable []string) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "VM\tDATA CENTRE\tREVISION\tREADY\tIN FLIGHT\tWAITING\tSLOTS\tREASON")
	for _, s := range answered {
		fmt.Fprintf(table, "%s\t%s\t%d\t%t\t%d\t%d\t%d\t%s\n", s.VMID, s.DataCentre, s.Revision, s.Ready, s.InFlight, s.Waiting, len(s.Slots), s.Reason)
	}
	for _, vm := range unreachable {
		fmt.Fprintf(table, "%s\t\t\tfalse\t\t\t\tdoes not answer\n", vm)
	}
	return table.Flush()
}

func newTimelineCommand(o *options) *cobra.Command {
	var requestID string
	var extraAddresses []string
	command := &cobra.Command{
		Use:     "timeline",
		Short:   "Merge the events of all VMs into one ordered view",
		Example: "  bergamotctl timeline --request 5f0c...\n  bergamotctl timeline -o json",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			events, err := collectEvents(command.Context(), o, extraAddresses)
			if err != nil {
				return err
			}
			events = filterByRequest(events, requestID)
			return o.print(command.OutOrStdout(), events, func(w io.Writer) error { return timeline.WriteText(w, events) })
		},
	}
	command.Flags().StringVar(&requestID, "request", "", "only the events of the request `id`")
	command.Flags().StringSliceVar(&extraAddresses, "also", nil, "further `addresses` that serve /timeline, such as stand-ins")
	return command
}

// collectEvents fetches the timelines of all members and of the extra addresses and
// merges them. It skips sources that do not answer.
func collectEvents(ctx context.Context, o *options, extraAddresses []string) ([]timeline.Event, error) {
	status, err := o.client().Status(ctx)
	if err != nil {
		return nil, err
	}
	addresses := append([]string{o.vm}, extraAddresses...)
	for _, m := range status.Members {
		if m.VMID != status.VMID {
			addresses = append(addresses, m.OperatorAddress)
		}
	}
	var sources []timeline.Source
	for _, address := range addresses {
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		source, err := operator.NewClient(address).Timeline(requestCtx)
		cancel()
		if err == nil {
			sources = append(sources, source)
		}
	}
	return timeline.Merge(sources), nil
}

func filterByRequest(events []timeline.Event, requestID string) []timeline.Event {
	if requestID == "" {
		return events
	}
	var matching []timeline.Event
	for _, event := range events {
		if event.RequestID == requestID {
			matching = append(matching, event)
		}
	}
	return matching
}

func newMetricsCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "metrics",
		Short:   "Print the metrics of one VM, as JSON",
		Example: "  bergamotctl metrics | jq .rate",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			page, err := o.client().Metrics(command.Context())
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(command.OutOrStdout(), string(page))
			return err
		},
	}
}

func newMemberCommand(o *options) *cobra.Command {
	var incarnation string
	evict := &cobra.Command{
		Use:   "evict VM",
		Short: "Remove a VM that no longer runs from the member table",
		Long: "Remove a VM that no longer runs from the member table, so that other VMs can claim\n" +
			"its slots of the rates. The VMs evict lost members themselves as long as more than\n" +
			"half of the members are left; use this command only when half or fewer are left,\n" +
			"and only for a VM whose process has certainly ended.",
		Example: "  bergamotctl member evict vm3 --incarnation 0b6e...",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return o.client().Evict(command.Context(), args[0], incarnation)
		},
	}
	evict.Flags().StringVar(&incarnation, "incarnation", "", "`id` of the incarnation to evict, as shown by `bergamotctl status -o json`")
	_ = evict.MarkFlagRequired("incarnation")
	command := &cobra.Command{Use: "member", Short: "Repair the member table"}
	command.AddCommand(evict)
	return command
}
