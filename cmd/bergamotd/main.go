// Command bergamotd runs one VM of the system.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/bergamotgrade/bergamotgrade/daemon"
)

func main() {
	if err := daemon.Main(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "bergamotd:", err)
		os.Exit(1)
	}
}
