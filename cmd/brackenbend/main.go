// Command brackenbend is a router for language-model serving with separate prefill and decode engines: the gateway, the
// node of the platform, the planner of roles, and the scenarios and simulations that they are tested with.
//
// Each command has a file of its own, which parses flags and leaves the work to a package.
package main

import (
	"errors"
	"os"

	"github.com/spf13/cobra"

	"brackenbend/internal/config"
)

// Exit codes; docs/operate.md lists them.
const (
	exitFailure   = 1 // it ran and failed
	exitUsage     = 2 // the command line is wrong
	exitConfig    = 3 // a settings or scenario file is wrong
	exitViolation = 4 // a scenario ran and a rule was violated
)

// exitError is an error with an exit code of its own.
type exitError struct {
	error
	code int
}

// Unwrap returns the error without its exit code.
func (e exitError) Unwrap() error { return e.error }

// configError gives problems of a file their exit code.
func configError(err error) error {
	var problems config.Problems
	if errors.As(err, &problems) {
		return exitError{err, exitConfig}
	}
	return err
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs a command line and returns its exit code.
func run(args []string) int {
	root := rootCommand()
	root.SetArgs(replaceDeprecated(args, os.Stderr))
	err := root.Execute()
	if err == nil {
		return 0
	}
	p := printer{out: os.Stderr} // if standard error can't be written, the exit code still reports the failure
	p.printf("%v\n", err)
	var withCode exitError
	if errors.As(err, &withCode) {
		return withCode.code
	}
	return exitFailure
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "brackenbend",
		Short: "A router for language-model serving with separate prefill and decode engines",
		Example: `  brackenbend up                          # a gateway with embedded fakes, for a first try
  brackenbend check deploy/examples/front.xml
  brackenbend serve -c front.xml
  brackenbend scenario                    # the scripted bad day, its rules audited`,
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exitError{err, exitUsage} })
	root.AddCommand(
		serveCommand(),
		checkCommand(),
		schemaCommand(),
		upCommand(),
		scenarioCommand(),
		engineCommand(),
		registerCommand(),
		plannerCommand(),
		rolesCommand(),
		simulateCommand(),
		compareCommand(),
		loadCommand(),
		nodeCommand(),
	)
	return root
}

// exactly wants n arguments, with the usage exit code.
func exactly(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(cmd, args); err != nil {
			return exitError{err, exitUsage}
		}
		return nil
	}
}
