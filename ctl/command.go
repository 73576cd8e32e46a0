// Package ctl implements bergamotctl, the operators' command-line client.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/operator"
)

const (
	// pollInterval is the time between polls of all VMs while a command waits.
	pollInterval = 200 * time.Millisecond
	// requestTimeout bounds one status or timeline request to one VM.
	requestTimeout = 3 * time.Second
)

// The exit codes of bergamotctl.
const (
	// ExitFailed is the code for all errors without a more specific one.
	ExitFailed = 1
	// ExitConflict means that another note was accepted first, so that the note's base
	// revision is no longer the newest, or that the VM to evict still answers heartbeats.
	ExitConflict = 3
	// ExitTimeout means that a wait timed out.
	ExitTimeout = 4
)

// options holds the flags that all commands share.
type options struct {
	vm     string
	output string
}

// client returns a client of the VM given by --vm.
func (o *options) client() *operator.Client { return operator.NewClient(o.vm) }

// print writes the value as JSON if --output is json, and else calls text.
func (o *options) print(w io.Writer, value any, text func(io.Writer) error) error {
	if o.output != "json" {
		return text(w)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// NewCommand returns the command line of bergamotctl.
func NewCommand() *cobra.Command {
	var o options
	root := &cobra.Command{
		Use:           "bergamotctl",
		Short:         "Operate a bergamotgrade fleet",
		Long:          "Operate a bergamotgrade fleet through the operators' address of any of its VMs.",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if o.output != "text" && o.output != "json" {
				return fmt.Errorf("--output %q is unknown; choose text or json", o.output)
			}
			return nil
		},
	}
	root.PersistentFlags().StringVar(&o.vm, "vm", "127.0.0.1:8081", "operators' `address` of any VM")
	root.PersistentFlags().StringVarP(&o.output, "output", "o", "text", "output `format`: text or json")
	root.AddCommand(newNoteCommand(&o), newKeyCommand(), newStatusCommand(&o), newJobCommand(&o), newTimelineCommand(&o), newMetricsCommand(&o), newMemberCommand(&o))
	return root
}

// timeoutError reports a wait that timed out.
type timeoutError struct {
	message string
}

// Error implements error.
func (e timeoutError) Error() string { return e.message }

// ExitCode maps an error to the exit code of the process.
func ExitCode(err error) int {
	if _, ok := err.(timeoutError); ok {
		return ExitTimeout
	}
	if bergamotgrade.IsKind(err, bergamotgrade.KindConflict) {
		return ExitConflict
	}
	return ExitFailed
}

// fetchStatuses returns the status of the VM given by --vm and of every other member
// that answers, and the IDs of the members that do not answer. It fails only if the VM
// given by --vm does not answer.
func fetchStatuses(ctx context.Context, o *options) (answered []operator.Status, unreachable []string, err error) {
	first, err := o.client().Status(ctx)
	if err != nil {
		return nil, nil, err
	}
	answered = append(answered, first)
	for _, m := range first.Members {
		if m.VMID == first.VMID {
			continue
		}
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		status, err := operator.NewClient(m.OperatorAddress).Status(requestCtx)
		cancel()
		if err != nil {
			unreachable = append(unreachable, m.VMID)
			continue
		}
		answered = append(answered, status)
	}
	return answered, unreachable, nil
}
