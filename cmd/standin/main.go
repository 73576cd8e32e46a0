// Command standin runs stand-ins for the platform, model engines and plain services.
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
