// Package cli parses the command line of papayarail and runs its subcommands.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
)

// Exit statuses of the process.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Env holds the output streams of a command.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
}

// Command is one subcommand.
type Command struct {
	Name    string
	Summary string
	// Run parses args, without the command name, and runs the command. A UsageError
	// gives exit status 2, any other error exit status 1.
	Run func(ctx context.Context, env Env, args []string) error
}

// UsageError is an error in the command line. An empty Message prints nothing.
type UsageError struct{ Message string }

func (e *UsageError) Error() string { return e.Message }

// Usagef returns a UsageError with a formatted message.
func Usagef(format string, args ...any) error {
	return &UsageError{Message: fmt.Sprintf(format, args...)}
}

// NewFlagSet returns a flag set for a subcommand that prints its help to env.Stderr.
func NewFlagSet(env Env, name, arguments, description string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(env.Stderr)
	fs.Usage = func() {
		fmt.Fprintf(env.Stderr, "usage: papayarail %s %s\n\n%s\n\n", name, arguments, description)
		fs.PrintDefaults()
	}
	return fs
}

// Parse parses args and requires exactly n positional arguments. It returns flag.ErrHelp
// if help was requested, and a UsageError if args are not valid.
func Parse(fs *flag.FlagSet, args []string, n int) error {
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return &UsageError{}
	}
	if fs.NArg() != n {
		return Usagef("%s takes %d arguments, got %d", fs.Name(), n, fs.NArg())
	}
	return nil
}

// Main runs the command that args[0] names and returns the exit status.
func Main(ctx context.Context, env Env, commands []Command, args []string) int {
	if len(args) == 0 {
		printUsage(env.Stderr, commands)
		return ExitUsage
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "--help" || args[0] == "-help" {
		printUsage(env.Stdout, commands)
		return ExitOK
	}
	for _, c := range commands {
		if c.Name == args[0] {
			return exitStatus(env, c.Name, c.Run(ctx, env, args[1:]))
		}
	}
	fmt.Fprintf(env.Stderr, "papayarail: unknown command %q; run papayarail help\n", args[0])
	return ExitUsage
}

func exitStatus(env Env, name string, err error) int {
	var usageErr *UsageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &usageErr):
		if usageErr.Message != "" {
			fmt.Fprintf(env.Stderr, "papayarail %s: %s\n", name, usageErr.Message)
		}
		return ExitUsage
	default:
		fmt.Fprintf(env.Stderr, "papayarail %s: %v\n", name, err)
		return ExitFailure
	}
}

func printUsage(w io.Writer, commands []Command) {
	fmt.Fprint(w, "usage: papayarail COMMAND [flags] [arguments]\n\ncommands:\n")
	for _, c := range commands {
		fmt.Fprintf(w, "  %-10s %s\n", c.Name, c.Summary)
	}
	fmt.Fprint(w, "\nRun papayarail COMMAND -h for its flags.\n")
}
