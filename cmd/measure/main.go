// Command measure runs fleets of real processes on this machine and reports what
// callers, teams and operators see, each figure beside its baselines.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"slices"

	"github.com/spf13/cobra"

	"github.com/bergamotgrade/bergamotgrade/measure"
)

func main() {
	var out string
	root := &cobra.Command{Use: "measure", Short: "Measure fleets on this machine", SilenceUsage: true}
	root.PersistentFlags().StringVar(&out, "json", "measure.json", "`file` for the figures as JSON")
	var parts, shapes []string
	run := &cobra.Command{
		Use:   "run",
		Short: "Measure routing, batch and rates at the sizes of today",
		RunE: func(command *cobra.Command, _ []string) error {
			return withBinaries(func(binaries string) error {
				var reports []measure.Report
				for _, shape := range measure.Shapes() {
					if len(shapes) > 0 && !slices.Contains(shapes, shape.Name) {
						continue
					}
					report, err := measure.Run(command.Context(), binaries, shape, parts, command.OutOrStdout())
					if err != nil {
						return err
					}
					reports = append(reports, report)
				}
				return write(out, reports)
			})
		},
	}
	run.Flags().StringSliceVar(&parts, "parts", measure.Parts(), "`parts` to measure")
	run.Flags().StringSliceVar(&shapes, "shapes", nil, "`sizes` to measure: trust, authority; all if left out")
	root.AddCommand(run, &cobra.Command{
		Use:   "slopes",
		Short: "Measure the cost of control against teams, VMs and backend servers",
		RunE: func(command *cobra.Command, _ []string) error {
			return withBinaries(func(binaries string) error {
				points, err := measure.Slopes(command.Context(), binaries, command.OutOrStdout())
				if err != nil {
					return err
				}
				return write(out, points)
			})
		},
	})
	if err := root.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}

// withBinaries builds the daemon and the stand-ins for the time of the act.
func withBinaries(act func(binaries string) error) error {
	folder, err := os.MkdirTemp("", "measure-*")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	build := exec.Command("go", "build", "-o", folder+"/", "./cmd/bergamotd", "./cmd/standin")
	if output, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, output)
	}
	return act(folder)
}

func write(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
