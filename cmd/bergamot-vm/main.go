// Command bergamot-vm runs one VM of the system on the users' platform.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/bergamotgrade/bergamotgrade/entry"
)

func main() {
	hangups := entry.Hangups()
	if err := entry.Execute(context.Background(), hangups); err != nil {
		fmt.Fprintln(os.Stderr, "bergamot-vm:", err)
		os.Exit(1)
	}
}
