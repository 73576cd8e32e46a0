package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

// options are the flags of the command line.
type options struct {
	binary string
	first  uint64
	count  uint64
	jobs   int
	vms    int
	length time.Duration
	folder string
}

// NewCommand returns the command line of the soak.
func NewCommand() *cobra.Command {
	var o options
	command := &cobra.Command{
		Use:   "soak",
		Short: "Run VMs as processes under random faults and check the guarantees to callers",
		Long: "Each seed starts a few entry VMs and disk VMs with stand-ins for the store and the\n" +
			"backend servers, injects faults for the given length, and then expects the fleet to\n" +
			"recover and all accepted items to end. Run it in the root folder of the module. The exit\n" +
			"status is 1 if a guarantee was violated; the logs of such a seed are kept.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(command *cobra.Command, _ []string) error { return o.run(command.OutOrStdout()) },
	}
	flags := command.Flags()
	flags.StringVar(&o.binary, "binary", "", "`path` of the bergamot-vm executable; empty builds it")
	flags.Uint64Var(&o.first, "seed", uint64(time.Now().Unix()), "first seed; the default is the current time")
	flags.Uint64Var(&o.count, "count", 1, "number of seeds")
	flags.IntVar(&o.jobs, "jobs", 4, "number of seeds that run concurrently")
	flags.IntVar(&o.vms, "vms", 0, "number of VMs of a large fleet, which needs --jobs 1; 0 selects a small fleet by the seed")
	flags.DurationVar(&o.length, "length", 20*time.Second, "duration of the load and the faults of a seed")
	flags.StringVar(&o.folder, "folder", "", "`folder` for settings files and logs; empty creates a temporary one")
	return command
}

// Execute runs the command line with the process's arguments.
func Execute(ctx context.Context) error { return NewCommand().ExecuteContext(ctx) }

func (o *options) run(out io.Writer) error {
	if o.vms > maxVMs && o.jobs > 1 || o.vms > maxLargeVMs {
		return errors.Newf("more than %d VMs need --jobs 1, and %d is the most", maxVMs, maxLargeVMs)
	}
	if o.folder == "" {
		folder, err := os.MkdirTemp("", "soak")
		if err != nil {
			return err
		}
		o.folder = folder
	}
	if o.binary == "" {
		o.binary = filepath.Join(o.folder, "bergamot-vm")
		if text, err := exec.Command("go", "build", "-o", o.binary, "./cmd/bergamot-vm").CombinedOutput(); err != nil {
			return errors.Wrapf(err, "building bergamot-vm: %s", text)
		}
	}
	reports := make([]Report, o.count)
	var seeds errgroup.Group
	seeds.SetLimit(o.jobs)
	for i := range reports {
		seeds.Go(func() (err error) {
			reports[i], err = o.runSeed(o.first + uint64(i))
			return err
		})
	}
	if err := seeds.Wait(); err != nil {
		return err
	}
	violated := 0
	for _, r := range reports {
		fmt.Fprintln(out, r)
		if len(r.Violations) > 0 {
			violated++
		}
	}
	if violated > 0 {
		return errors.Newf("%d of %d seeds violated a guarantee; logs are in %s", violated, len(reports), o.folder)
	}
	return nil
}

// runSeed runs one seed and removes its logs unless the run failed or a guarantee was
// violated.
func (o *options) runSeed(seed uint64) (Report, error) {
	folder := filepath.Join(o.folder, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return Report{}, err
	}
	report, err := Run(Options{Binary: o.binary, Seed: seed, Length: o.length, Folder: folder, VMs: o.vms})
	if err != nil || len(report.Violations) > 0 {
		return report, errors.Wrapf(err, "seed %d", seed)
	}
	return report, os.RemoveAll(folder)
}

// String returns the report as lines of text.
func (r Report) String() string {
	t := r.Totals
	line := fmt.Sprintf("seed %d (%s): %d faults, %d requests (%d served, %d refused), %d streams taken up (%d went on), %d jobs, %d items, %d guarantees violated",
		r.Seed, r.Size, len(r.Faults), t.Requests, t.Served, t.Refused, t.TakenUp, t.WentOn, t.Jobs, t.Items, len(r.Violations))
	if len(r.Violations) > 0 {
		line += "\n  violation: " + strings.Join(r.Violations, "\n  violation: ") + "\n  fault: " + strings.Join(r.Faults, "\n  fault: ")
	}
	return line
}
