// Command measure runs fleets of real processes on this machine and reports latency,
// throughput, rate limiting and resource use, with the baseline policies for comparison.
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
	root.PersistentFlags().StringVar(&out, "json", "measure.json", "`file` to which the results are written as JSON")
	var parts, shapes []string
	run := &cobra.Command{
		Use:   "run",
		Short: "Measure routing, batch and rates at the current deployment sizes",
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
				return writeJSON(out, reports)
			})
		},
	}
	run.Flags().StringSliceVar(&parts, "parts", measure.Parts(), "`parts` to measure")
	run.Flags().StringSliceVar(&shapes, "shapes", nil, "`sizes` to measure: trust, authority; all by default")
	root.AddCommand(run, &cobra.Command{
		Use:   "slopes",
		Short: "Measure how the idle cost of VMs grows with the numbers of teams, VMs and backend servers",
		RunE: func(command *cobra.Command, _ []string) error {
			return withBinaries(func(binaries string) error {
				points, err := measure.RunScaling(command.Context(), binaries, command.OutOrStdout())
				if err != nil {
					return err
				}
				return writeJSON(out, points)
			})
		},
	})
	if err := root.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}

// withBinaries builds the daemon and the stand-ins into a temporary folder, calls use
// with it and removes it.
func withBinaries(use func(binaries string) error) error {
	folder, err := os.MkdirTemp("", "measure-*")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	build := exec.Command("go", "build", "-o", folder+"/", "./cmd/bergamotd", "./cmd/standin")
	if output, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, output)
	}
	return use(folder)
}

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
