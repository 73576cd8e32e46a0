package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSeeds runs the seeds of testdata/seeds.txt against real processes.
func TestSeeds(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "bergamot-vm")
	text, err := exec.Command("go", "build", "-o", binary, "../cmd/bergamot-vm").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", text))
	data, err := os.ReadFile("testdata/seeds.txt")
	qt.Assert(t, err, qt.IsNil)
	t.Run("seeds", func(t *testing.T) {
		for _, line := range strings.Split(string(data), "\n") {
			line, _, _ = strings.Cut(line, "#")
			fields := strings.Fields(line)
			if len(fields) == 0 {
				continue
			}
			seed, err := strconv.ParseUint(fields[0], 10, 64)
			qt.Assert(t, err, qt.IsNil)
			length, err := time.ParseDuration(fields[1])
			qt.Assert(t, err, qt.IsNil)
			t.Run(fields[0], func(t *testing.T) {
				t.Parallel()
				report, err := Run(Options{Binary: binary, Seed: seed, Length: length, Folder: t.TempDir()})
				qt.Assert(t, err, qt.IsNil)
				t.Log(report)
				qt.Assert(t, report.Violations, qt.HasLen, 0)
				qt.Assert(t, report.Totals.Served > 0 && report.Totals.Items > 0, qt.IsTrue)
			})
		}
	})
}
