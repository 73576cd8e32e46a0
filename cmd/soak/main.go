// Command soak injects random faults into a fleet of real processes and checks that the
// guarantees to callers hold.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/bergamotgrade/bergamotgrade/soak"
)

func main() {
	if err := soak.Execute(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}
