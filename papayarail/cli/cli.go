// Package cli dispatches the subcommands of papayarail.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
)

// Exit statuses.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Env is what a command may use of the process.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
}

// Command is one subcommand.
type Command struct {
	Name    string
	Summary string
	// Run parses its own arguments and returns an error for exit status 1, or a
	// UsageError for exit status 2.
	Run func(ctx context.Context, env Env, args []string) error
}

// UsageError is a fault in the command line.
type UsageError struct{ Message string }

func (e *UsageError) Error() string { return e.Message }

// Usagef returns a UsageError.
func Usagef(format string, args ...any) error {
	return &UsageError{Message: fmt.Sprintf(format, args...)}
}

// NewFlagSet returns a flag set that prints its help to standard error.
func NewFlagSet(env Env, name, arguments, description string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(env.Stderr)
	fs.Usage = func() {
		fmt.Fprintf(env.Stderr, "usage: papayarail %s %s\n\n%s\n\n", name, arguments, description)
		fs.PrintDefaults()
	}
	return fs
}

// Parse parses args and wants exactly n positional arguments.
func Parse(fs *flag.FlagSet, args []string, n int) error {
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return &UsageError{}
	}
	if fs.NArg() != n {
		return Usagef("%s wants %d arguments, got %d", fs.Name(), n, fs.NArg())
	}
	return nil
}

// Main runs the command that args name and returns the exit status.
func Main(ctx context.Context, env Env, commands []Command, args []string) int {
	if len(args) == 0 {
		usage(env.Stderr, commands)
		return ExitUsage
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "--help" || args[0] == "-help" {
		usage(env.Stdout, commands)
		return ExitOK
	}
	for _, c := range commands {
		if c.Name == args[0] {
			return exit(env, c.Name, c.Run(ctx, env, args[1:]))
		}
	}
	fmt.Fprintf(env.Stderr, "papayarail: unknown command %q; run papayarail help\n", args[0])
	return ExitUsage
}

func exit(env Env, name string, err error) int {
	var bad *UsageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &bad):
		if bad.Message != "" {
			fmt.Fprintf(env.Stderr, "papayarail %s: %s\n", name, bad.Message)
		}
		return ExitUsage
	default:
		fmt.Fprintf(env.Stderr, "papayarail %s: %v\n", name, err)
		return ExitFailure
	}
}

func usage(w io.Writer, commands []Command) {
	fmt.Fprint(w, "usage: papayarail COMMAND [flags] [arguments]\n\ncommands:\n")
	for _, c := range commands {
		fmt.Fprintf(w, "  %-10s %s\n", c.Name, c.Summary)
	}
	fmt.Fprint(w, "\nRun papayarail COMMAND -h for its flags.\n")
}
