// Package cli implements the command line for operators on top of package operator.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/settings"
	"peridotchute.example/operator"
)

// Exit codes of the command line.
const (
	ExitOK                = 0
	ExitFailure           = 1 // any other failure
	ExitInvalid           = 2 // the declaration or the arguments are invalid
	ExitRefused           = 3 // missing or unknown key, or a key without the required role
	ExitConflict          = 4 // another change was accepted first
	ExitUnavailable       = 5 // nothing was changed; try again later
	ExitUnknown           = 6 // the change may have been made; repeat the same command
	ExitNotFound          = 7
	ExitRolloutIncomplete = 8 // accepted, but not active at every process before the wait timed out
)

// Environment variables with the defaults of the flags.
const (
	envURL     = "PERIDOTCHUTE_URL"
	envKeyFile = "PERIDOTCHUTE_KEY_FILE"
	envCAFile  = "PERIDOTCHUTE_CA_FILE"
)

// session holds the values of the global flags.
type session struct {
	opts   operator.Options
	output string
}

// NewCommand returns the root command with the operator commands. Callers may
// add further subcommands.
func NewCommand() *cobra.Command {
	s := &session{}
	root := &cobra.Command{
		Use:               "peridotchute",
		Short:             "Plan, accept and monitor configuration changes of a deployment",
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return s.checkOutput() },
		Args:              rejectUnknownCommand,
		RunE:              func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usagef("%v", err) })
	flags := root.PersistentFlags()
	flags.StringVar(&s.opts.URL, "url", os.Getenv(envURL), "administration listener of an entry, or $"+envURL)
	flags.StringVar(&s.opts.KeyFile, "key-file", os.Getenv(envKeyFile), "file with the operator's key, or $"+envKeyFile)
	flags.StringVar(&s.opts.CAFile, "ca-file", os.Getenv(envCAFile), "certificate authorities for https, or $"+envCAFile)
	flags.DurationVar(&s.opts.Timeout, "timeout", 15*time.Second, "timeout of one request")
	flags.StringVarP(&s.output, "output", "o", outputTable, "table or json")
	root.AddCommand(
		s.validate(), s.plan(), s.revert(), s.accept(),
		s.show(), s.status(), s.history(), s.audit(), s.dump(),
		s.unresolved(), s.settle(), s.drain(),
	)
	return root
}

// Run executes the command, prints an error to stderr and returns the exit code.
func Run(root *cobra.Command, stderr io.Writer) int {
	err := root.Execute()
	if err != nil {
		fmt.Fprintln(stderr, errorText(err))
	}
	return ExitCode(err)
}

// errorText formats an error. For an error response of the API it returns only
// the message of the response.
func errorText(err error) string {
	if r := operator.APIErrorOf(err); r != nil {
		return r.Error()
	}
	return err.Error()
}

// ExitCode returns the exit code for an error, which may be nil.
func ExitCode(err error) int {
	var invalid *settings.Error
	var usage *usageError
	var incomplete *incompleteRolloutError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &invalid), errors.As(err, &usage):
		return ExitInvalid
	case errors.As(err, &incomplete):
		return ExitRolloutIncomplete
	}
	return exitCodeForKind(fault.KindOf(err))
}

func exitCodeForKind(kind fault.Kind) int {
	switch kind {
	case fault.KindInvalid:
		return ExitInvalid
	case fault.KindRefused:
		return ExitRefused
	case fault.KindConflict:
		return ExitConflict
	case fault.KindUnavailable:
		return ExitUnavailable
	case fault.KindUnknown:
		return ExitUnknown
	case fault.KindNotFound:
		return ExitNotFound
	}
	return ExitFailure
}

// usageError reports an invalid argument or flag.
type usageError struct {
	message string
}

// Error returns the message.
func (e *usageError) Error() string { return e.message }

func usagef(format string, args ...any) error {
	return &usageError{message: fmt.Sprintf(format, args...)}
}

// rejectUnknownCommand returns a usage error if arguments are left after cobra
// looked for a subcommand.
func rejectUnknownCommand(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usagef("unknown command %q; see peridotchute --help", args[0])
	}
	return nil
}

func (s *session) checkOutput() error {
	if s.output != outputTable && s.output != outputJSON {
		return usagef("--output is %q, want %s or %s", s.output, outputTable, outputJSON)
	}
	return nil
}

func (s *session) client() (*operator.Client, error) {
	if s.opts.URL == "" {
		return nil, usagef("--url or $%s is required", envURL)
	}
	if s.opts.KeyFile == "" {
		return nil, usagef("--key-file or $%s is required", envKeyFile)
	}
	return operator.New(s.opts)
}

// exactArgs accepts exactly one argument for each name.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return usagef("want %d arguments %v, have %d", len(names), names, len(args))
		}
		return nil
	}
}
