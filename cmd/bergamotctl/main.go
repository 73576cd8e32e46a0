// Command bergamotctl is the operators' command-line client.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/bergamotgrade/bergamotgrade/ctl"
)

func main() {
	if err := ctl.NewCommand().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "bergamotctl:", err)
		os.Exit(ctl.ExitCode(err))
	}
}
