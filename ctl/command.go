// Package ctl is the operators' command line.
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
	// waitPause is the pause between two looks at the VMs.
	waitPause = 200 * time.Millisecond
	// askTimeout bounds one question to one VM.
	askTimeout = 3 * time.Second
)

// The exit codes of the command.
const (
	// ExitFailed is any failure without a code of its own.
	ExitFailed = 1
	// ExitConflict says that another operator was first.
	ExitConflict = 3
	// ExitTimeout says that a wait ended without success.
	ExitTimeout = 4
)

// options are the flags that all commands share.
type options struct {
	vm     string
	output string
}

// client returns the client of the named VM.
func (o *options) client() *operator.Client { return operator.NewClient(o.vm) }

// print writes the value as JSON, or by the text function.
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
	root.PersistentFlags().StringVarP(&o.output, "output", "o", "text", "`format` of the answer: text or json")
	root.AddCommand(newNoteCommand(&o), newKeyCommand(), newStatusCommand(&o), newJobCommand(&o), newTimelineCommand(&o), newMetricsCommand(&o), newMemberCommand(&o))
	return root
}

// timeoutError is a wait that ended without success.
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

// members returns the status of the VM and of every other member that answers;
// silent ones are named.
func members(ctx context.Context, o *options) (answered []operator.Status, silent []string, err error) {
	first, err := o.client().Status(ctx)
	if err != nil {
		return nil, nil, err
	}
	answered = append(answered, first)
	for _, m := range first.Members {
		if m.VMID == first.VMID {
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, askTimeout)
		status, err := operator.NewClient(m.OperatorAddress).Status(askCtx)
		cancel()
		if err != nil {
			silent = append(silent, m.VMID)
			continue
		}
		answered = append(answered, status)
	}
	return answered, silent, nil
}
