// Command soak plays random faults against real processes.
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
