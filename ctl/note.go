package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/bergamotgrade/bergamotgrade/operator"
	"github.com/bergamotgrade/bergamotgrade/release"
)

func newNoteCommand(o *options) *cobra.Command {
	command := &cobra.Command{
		Use:   "note",
		Short: "Check, submit, await and list release notes",
		Long: "A release note lists what is added, changed and withdrawn: teams, keys, limits,\n" +
			"backend servers, models and services. It is accepted whole or refused whole.",
	}
	command.AddCommand(newNoteCheck(o), newNoteSubmit(o), newNoteWait(o), newNoteShow(o), newNoteHistory(o))
	return command
}

// readNote reads a note from a file, or from standard input for "-".
func readNote(command *cobra.Command, path string) (release.Note, error) {
	var note release.Note
	reader := command.InOrStdin()
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return note, err
		}
		defer file.Close()
		reader = file
	}
	decoder := json.NewDecoder(reader)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&note); err != nil {
		return note, fmt.Errorf("%s is no release note: %w; see docs/OPERATIONS.md for its form", path, err)
	}
	return note, nil
}

func newNoteCheck(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Show what a note would change, and all its faults",
		Example: "  bergamotctl note check note.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			note, err := readNote(command, args[0])
			if err != nil {
				return err
			}
			answer, err := o.client().Check(command.Context(), note)
			if err != nil {
				return err
			}
			err = o.print(command.OutOrStdout(), answer, func(w io.Writer) error { return printCheck(w, answer) })
			if err == nil && len(answer.Faults) > 0 {
				err = fmt.Errorf("the note has %d faults", len(answer.Faults))
			}
			return err
		},
	}
}

func printCheck(w io.Writer, answer operator.CheckAnswer) error {
	fmt.Fprintf(w, "against revision %d\n", answer.Revision)
	for _, line := range answer.Changes {
		fmt.Fprintln(w, line)
	}
	for _, fault := range answer.Faults {
		fmt.Fprintln(w, "fault:", fault)
	}
	return nil
}

func newNoteSubmit(o *options) *cobra.Command {
	var rebase bool
	command := &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit a note; submitting it again has no effect",
		Long: "Submit a note. It is accepted only if its base_revision is the newest revision; if\n" +
			"another note was accepted first, the exit code is 3. Submitting the same note_id\n" +
			"again returns the revision of the first submission.",
		Example: "  bergamotctl note submit note.json && bergamotctl note wait --revision 12",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			note, err := readNote(command, args[0])
			if err != nil {
				return err
			}
			if rebase {
				status, err := o.client().Status(command.Context())
				if err != nil {
					return err
				}
				note.BaseRevision = status.Revision
			}
			answer, err := o.client().Submit(command.Context(), note)
			if err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), answer, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "accepted as revision %d\n", answer.Revision)
				return err
			})
		},
	}
	command.Flags().BoolVar(&rebase, "rebase", false, "set the note's base_revision to the revision in force")
	return command
}

// waitAnswer is the JSON output of note wait.
type waitAnswer struct {
	Revision int64    `json:"revision"`
	InForce  []string `json:"in_force"`
	Behind   []string `json:"behind"`
}

func newNoteWait(o *options) *cobra.Command {
	var revision int64
	var timeout time.Duration
	command := &cobra.Command{
		Use:     "wait",
		Short:   "Wait until a revision is in force on every member VM",
		Long:    "Wait until every member VM reports the revision. On a timeout the error lists the VMs\nthat do not report it, and the exit code is 4.",
		Example: "  bergamotctl note wait --revision 12 --timeout 14s",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			answer, err := waitForRevision(command.Context(), o, revision, timeout)
			if err != nil {
				return err
			}
			err = o.print(command.OutOrStdout(), answer, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "revision %d in force on %s\n", revision, strings.Join(answer.InForce, ", "))
				return err
			})
			if err == nil && len(answer.Behind) > 0 {
				err = timeoutError{fmt.Sprintf("revision %d is not in force on %s; see `bergamotctl status`", revision, strings.Join(answer.Behind, ", "))}
			}
			return err
		},
	}
	command.Flags().Int64Var(&revision, "revision", 0, "`number` of the revision, as printed by note submit")
	command.Flags().DurationVar(&timeout, "timeout", 14*time.Second, "longest `time` to wait")
	_ = command.MarkFlagRequired("revision")
	return command
}

func waitForRevision(ctx context.Context, o *options, revision int64, timeout time.Duration) (waitAnswer, error) {
	deadline := time.Now().Add(timeout)
	for {
		answered, unreachable, err := fetchStatuses(ctx, o)
		if err != nil {
			return waitAnswer{}, err
		}
		answer := waitAnswer{Revision: revision, InForce: []string{}, Behind: unreachable}
		for _, status := range answered {
			if status.Revision >= revision {
				answer.InForce = append(answer.InForce, status.VMID)
			} else {
				answer.Behind = append(answer.Behind, status.VMID)
			}
		}
		if len(answer.Behind) == 0 || time.Now().After(deadline) {
			return answer, nil
		}
		time.Sleep(pollInterval)
	}
}

func newNoteShow(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "show",
		Short:   "Print the whole configuration in force, as JSON",
		Example: "  bergamotctl note show | jq .teams",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			records, err := o.client().Config(command.Context())
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(command.OutOrStdout())
			encoder.SetIndent("", "  ")
			return encoder.Encode(records)
		},
	}
}

func newNoteHistory(o *options) *cobra.Command {
	var above int64
	command := &cobra.Command{
		Use:     "history",
		Short:   "List the accepted notes, newest last",
		Example: "  bergamotctl note history --above 10",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			notes, err := o.client().History(command.Context(), above)
			if err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), notes, func(w io.Writer) error {
				for _, note := range notes {
					fmt.Fprintf(w, "%d %s\n", note.Revision, note.Note.NoteID)
				}
				return nil
			})
		},
	}
	command.Flags().Int64Var(&above, "above", 0, "list only the notes above this `revision`")
	return command
}
