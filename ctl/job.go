package ctl

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/bergamotgrade/bergamotgrade/operator"
)

func newJobCommand(o *options) *cobra.Command {
	command := &cobra.Command{Use: "job", Short: "List, show and cancel batch jobs of all teams"}
	command.AddCommand(newJobList(o), newJobShow(o), newJobCancel(o), newJobResults(o))
	return command
}

func newJobList(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List all jobs",
		Example: "  bergamotctl job list",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			jobs, err := o.client().Jobs(command.Context())
			if err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), jobs, func(w io.Writer) error {
				table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
				fmt.Fprintln(table, "JOB\tTEAM\tSTATUS\tITEMS\tDUE")
				for _, job := range jobs {
					fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\n", job.JobID, job.TeamID, job.Status, job.Items, job.DueAt.Format(time.RFC3339))
				}
				return table.Flush()
			})
		},
	}
}

func newJobShow(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "show JOB",
		Short:   "Show a job and its progress",
		Example: "  bergamotctl job show batch_3f...",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			progress, err := o.client().Job(command.Context(), args[0])
			if err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), progress, func(w io.Writer) error { return printProgress(w, progress) })
		},
	}
}

func printProgress(w io.Writer, p operator.JobProgress) error {
	_, err := fmt.Fprintf(w, "%s of team %s: %s\n%d of %d items done, %d of them failed\n", p.Job.JobID, p.Job.TeamID, p.Job.Status, p.Succeeded+p.Failed, p.Job.Items, p.Failed)
	return err
}

func newJobCancel(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "cancel JOB",
		Short:   "Cancel a job; this cannot be undone",
		Example: "  bergamotctl job cancel batch_3f...",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			progress, err := o.client().CancelJob(command.Context(), args[0])
			if err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), progress, func(w io.Writer) error { return printProgress(w, progress) })
		},
	}
}

func newJobResults(o *options) *cobra.Command {
	var failed bool
	command := &cobra.Command{
		Use:     "results JOB",
		Short:   "Print the results of a job so far, in input order",
		Example: "  bergamotctl job results batch_3f... > results.jsonl",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return o.client().JobResults(command.Context(), args[0], failed, command.OutOrStdout())
		},
	}
	command.Flags().BoolVar(&failed, "errors", false, "print the items that ended with an error")
	return command
}
