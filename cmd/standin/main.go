// Command standin runs stand-ins for the systems around the VMs.
package main

import (
	"context"
	"os"

	"github.com/bergamotgrade/bergamotgrade/standin"
)

func main() {
	if err := standin.NewCommand().ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}
