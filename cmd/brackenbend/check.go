package main

import (
	"fmt"
	"os"
	"reflect"

	"github.com/spf13/cobra"

	"brackenbend/internal/config"
	"brackenbend/internal/simulation/scenario"
)

// formerScenarioSchema is the former name of the scenario schema, which the schema command still accepts.
const formerScenarioSchema = "day"

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings file and list its problems, each with line, column and fix",
		Example: "  brackenbend check front.xml",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			settings, err := config.Load(args[0])
			if err != nil {
				return configError(err)
			}
			if err := settings.RoutingConfig().Validate(); err != nil {
				return exitError{fmt.Errorf("%s: %w", args[0], err), exitConfig}
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: valid: %d classes, %d tenants, %d kinds of engine, %d models\n",
				args[0], len(settings.Classes), len(settings.Tenants), len(settings.Kinds), len(settings.Models))
			return err
		},
	}
}

func schemaCommand() *cobra.Command {
	return &cobra.Command{
		Use:       "schema [settings|scenario]",
		Short:     "Print the XML Schema of settings files (the default) or scenario files",
		Example:   "  brackenbend schema > brackenbend.xsd\n  brackenbend schema scenario > scenario.xsd",
		ValidArgs: []string{"settings", "scenario", formerScenarioSchema},
		Args:      cobra.MatchAll(cobra.MaximumNArgs(1), cobra.OnlyValidArgs),
		RunE: func(_ *cobra.Command, args []string) error {
			schema := config.Schema()
			if len(args) == 1 && args[0] != "settings" {
				schema = config.SchemaOf("day", reflect.TypeFor[scenario.Scenario]())
			}
			_, err := os.Stdout.Write(schema)
			return err
		},
	}
}
