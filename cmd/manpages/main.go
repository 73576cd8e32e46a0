// Command manpages writes the manual pages of the commands to man/.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"

	"github.com/bergamotgrade/bergamotgrade/ctl"
	"github.com/bergamotgrade/bergamotgrade/daemon"
	"github.com/bergamotgrade/bergamotgrade/entry"
)

func main() {
	// A fixed date keeps the generated pages unchanged unless the commands change.
	date := time.Date(2026, time.December, 1, 0, 0, 0, 0, time.UTC)
	for _, command := range []*cobra.Command{daemon.NewCommand(), ctl.NewCommand(), entry.NewCommand(nil)} {
		command.DisableAutoGenTag = true
		header := &doc.GenManHeader{Section: "1", Source: "bergamotgrade", Date: &date}
		if err := doc.GenManTree(command, header, "man"); err != nil {
			fmt.Fprintln(os.Stderr, "manpages:", err)
			os.Exit(1)
		}
	}
}
