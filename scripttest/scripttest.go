// Package scripttest runs table tests that are written as text files of steps.
package scripttest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Step executes one step, given as words, and returns its outcome.
type Step func(words []string) string

// Run runs each file testdata/*.txt as a subtest with a new Step. A line is one step: its
// words, "->" and the expected outcome; "#" starts a comment. Steps without "->" must have
// an empty outcome.
func Run(t *testing.T, newStep func() Step) {
	files, err := filepath.Glob("testdata/*.txt")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			step := newStep()
			for number, line := range strings.Split(string(data), "\n") {
				line, _, _ = strings.Cut(line, "#")
				words, want, _ := strings.Cut(line, "->")
				if fields := strings.Fields(words); len(fields) > 0 {
					qt.Assert(t, step(fields), qt.Equals, strings.TrimSpace(want), qt.Commentf("line %d: %s", number+1, line))
				}
			}
		})
	}
}
