// Command brackenbend is a router for language-model serving that reads and writes on separate engines: the
// front itself, its checks, and the stand-ins and scripted days that it is proved with.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"brackenbend/internal/config"
)

// Exit codes; docs/operate.md lists them.
const (
	exitFailure = 1 // it ran and failed
	exitUsage   = 2 // the command line is wrong
	exitConfig  = 3 // a settings or day file is wrong
	exitBreach  = 4 // a day ran and a rule was broken
)

// coded is an error with an exit code of its own.
type coded struct {
	error
	code int
}

func (c coded) Unwrap() error { return c.error }

// configError gives problems of a file their exit code.
func configError(err error) error {
	var ps config.Problems
	if errors.As(err, &ps) {
		return coded{err, exitConfig}
	}
	return err
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs a command line and returns its exit code.
func run(args []string) int {
	root := &cobra.Command{
		Use:   "brackenbend",
		Short: "A router for language-model serving that reads and writes on separate engines",
		Example: `  brackenbend up                          # a front with embedded stand-ins, for a first try
  brackenbend check deploy/examples/front.xml
  brackenbend serve -c front.xml
  brackenbend day                         # the scripted bad day, its rules audited`,
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return coded{err, exitUsage} })
	root.AddCommand(serveCommand(), checkCommand(), schemaCommand(), upCommand(), dayCommand(), engineCommand(), registerCommand(), plannerCommand(), rolesCommand(), labCommand(), compareCommand(), loadCommand(), nodeCommand())
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var c coded
	if errors.As(err, &c) {
		return c.code
	}
	return exitFailure
}

// exactly wants n arguments, with the usage exit code.
func exactly(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(cmd, args); err != nil {
			return coded{err, exitUsage}
		}
		return nil
	}
}
