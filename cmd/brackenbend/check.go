package main

import (
	"fmt"
	"os"
	"reflect"

	"github.com/spf13/cobra"

	"brackenbend/internal/config"
	"brackenbend/internal/simulation/scenario"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings file: every problem with line, column and mend",
		Example: "  brackenbend check front.xml",
		Args:    exactly(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			set, err := config.Load(args[0])
			if err != nil {
				return configError(err)
			}
			if err := set.RoutingConfig().Validate(); err != nil {
				return coded{fmt.Errorf("%s: %w", args[0], err), exitConfig}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: in order: %d classes, %d tenants, %d kinds of engine, %d models\n", args[0],
				len(set.Classes), len(set.Tenants), len(set.Kinds), len(set.Models))
			return nil
		},
	}
}

func schemaCommand() *cobra.Command {
	return &cobra.Command{
		Use:       "schema [settings|day]",
		Short:     "Print the XML Schema of settings or day files",
		Example:   "  brackenbend schema > brackenbend.xsd\n  brackenbend schema day > day.xsd",
		ValidArgs: []string{"settings", "day"},
		Args:      cobra.MatchAll(cobra.MaximumNArgs(1), cobra.OnlyValidArgs),
		RunE: func(_ *cobra.Command, args []string) error {
			text := config.Schema()
			if len(args) == 1 && args[0] == "day" {
				text = config.SchemaOf("day", reflect.TypeFor[scenario.Day]())
			}
			_, err := os.Stdout.Write(text)
			return err
		},
	}
}
