// Command brackenbend is a router for language-model serving with separate prefill and decode engines: the gateway, the
// node of the platform, the planner of engine roles, and the scenarios and simulations that they are tested with.
//
// Each command has its own file, which parses the flags and calls a package for the work.
package main

import (
	"errors"
	"os"

	"github.com/spf13/cobra"

	"brackenbend/internal/config"
)

// Exit codes; docs/operate.md lists them.
const (
	exitFailure   = 1 // the command failed
	exitUsage     = 2 // the command line is invalid; some errors of cobra, such as an unknown command, have exitFailure
	exitConfig    = 3 // an input file, such as settings or a scenario, is invalid
	exitViolation = 4 // a rule was violated or never checked, or the service was lower than the scenario expects
)

// exitError is an error that ends the program with its own exit code.
type exitError struct {
	error
	code int
}

// Unwrap returns the error without its exit code.
func (e exitError) Unwrap() error { return e.error }

// configError adds exitConfig to an error that lists the problems of a settings or scenario file. It returns any other
// error as it is.
func configError(err error) error {
	var problems config.Problems
	if errors.As(err, &problems) {
		return exitError{err, exitConfig}
	}
	return err
}

func main() { os.Exit(run(os.Args[1:])) }

// run executes a command line and returns its exit code.
func run(args []string) int {
	root := rootCommand()
	root.SetArgs(replaceDeprecated(args, os.Stderr))
	err := root.Execute()
	if err == nil {
		return 0
	}
	p := printer{out: os.Stderr} // the exit code reports the failure even if standard error can't be written
	p.printf("%v\n", err)
	var exitErr exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	return exitFailure
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "brackenbend",
		Short: "A router for language-model serving with separate prefill and decode engines",
		Example: `  brackenbend up                          # try it out: a gateway with fake engines, in one process
  brackenbend check deploy/examples/front.xml
  brackenbend serve -c front.xml
  brackenbend scenario                    # run the default fault scenario and check the rules`,
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
		apiServerCommand(),
		plannerCommand(),
		rolesCommand(),
		simulateCommand(),
		compareCommand(),
		loadCommand(),
		nodeCommand(),
	)
	return root
}

// exactArgs accepts exactly n arguments. Its error has the exit code exitUsage.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(cmd, args); err != nil {
			return exitError{err, exitUsage}
		}
		return nil
	}
}
