package main

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"brackenbend/roles"
)

// change rewrites the assignment of the engine named first in args.
type change func(table roles.Assignments, args []string) (roles.Assignments, error)

func rolesCommand() *cobra.Command {
	var url string
	cmd := &cobra.Command{
		Use:   "roles",
		Short: "See, pin and force the roles of engines",
		Example: `  brackenbend roles show --register http://127.0.0.1:9200
  brackenbend roles pin decode-3 --register http://127.0.0.1:9200
  brackenbend roles force decode-3 reader --register http://127.0.0.1:9200`,
	}
	cmd.PersistentFlags().StringVar(&url, "register", "", "URL of the API server")
	mustRequire(cmd.MarkPersistentFlagRequired("register"))
	cmd.AddCommand(
		showRolesCommand(&url),
		changeCommand(&url, "pin ENGINE", "Keep an engine in its role", 1, setPinned(true)),
		changeCommand(&url, "unpin ENGINE", "Let an engine change again", 1, setPinned(false)),
		changeCommand(&url, "forbid ENGINE ROLE", "Never assign an engine to prefill (reader) or to decode (writer)", 2,
			withRole(forbidRole)),
		changeCommand(&url, "allow ENGINE ROLE", "Take back forbid", 2, withRole(allowRole)),
		changeCommand(&url, "force ENGINE ROLE", "Assign an engine to a role now; pin it to keep it there", 2,
			withRole(forceRole)),
		changeCommand(&url, "call-off ENGINE", "Revert the pending change of an engine", 1, revertChange),
	)
	return cmd
}

func showRolesCommand(url *string) *cobra.Command {
	return &cobra.Command{
		Use:   "show [ENGINE]",
		Short: "Print the assignments",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client := newPlannerClient(*url)
			view, err := client.View(cmd.Context())
			if err != nil {
				return err
			}
			return printAssignments(cmd.OutOrStdout(), view.Assignments, args...)
		},
	}
}

// changeCommand is a sub-command that rewrites one engine's assignment and prints it.
func changeCommand(url *string, use, short string, args int, apply change) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  exactly(args),
		RunE: func(cmd *cobra.Command, args []string) error {
			client := newPlannerClient(*url)
			table, err := client.Update(cmd.Context(), func(table roles.Assignments) (roles.Assignments, error) {
				return apply(table, args)
			})
			if err != nil {
				return err
			}
			return printAssignments(cmd.OutOrStdout(), table, args[0])
		},
	}
}

func setPinned(pinned bool) change {
	return func(table roles.Assignments, args []string) (roles.Assignments, error) {
		return table.Edit(args[0], func(a *roles.Assignment) { a.Pinned = pinned })
	}
}

// withRole reads the role that is the second argument.
func withRole(apply func(roles.Assignments, string, roles.Role) (roles.Assignments, error)) change {
	return func(table roles.Assignments, args []string) (roles.Assignments, error) {
		role, err := roles.ParseRole(args[1])
		if err != nil {
			return table, exitError{err, exitUsage}
		}
		return apply(table, args[0], role)
	}
}

func forbidRole(table roles.Assignments, id string, role roles.Role) (roles.Assignments, error) {
	return table.Edit(id, func(a *roles.Assignment) {
		a.CanPrefill = a.CanPrefill && !role.Prefills()
		a.CanDecode = a.CanDecode && !role.Decodes()
	})
}

func allowRole(table roles.Assignments, id string, role roles.Role) (roles.Assignments, error) {
	return table.Edit(id, func(a *roles.Assignment) {
		a.CanPrefill = a.CanPrefill || role.Prefills()
		a.CanDecode = a.CanDecode || role.Decodes()
	})
}

func forceRole(table roles.Assignments, id string, role roles.Role) (roles.Assignments, error) {
	return table.Start(id, role, "forced by an operator")
}

func revertChange(table roles.Assignments, args []string) (roles.Assignments, error) {
	return table.Revert(args[0], "called off by an operator")
}

// printAssignments prints all assignments, or those of the named engines.
func printAssignments(out io.Writer, table roles.Assignments, only ...string) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	p := printer{out: w}
	p.printf("ENGINE\tROLE\tSTATE\tORDER\tCHANGED\tMAY\tWHY\n")
	found := 0
	for _, id := range table.Names() {
		if len(only) > 0 && !slices.Contains(only, id) {
			continue
		}
		found++
		a := table.Entries[id]
		p.printf("%s\t%v\t%s\t%d\t%s\t%s\t%s\n",
			id, a.Role, assignmentState(a), a.CommandNumber, assignmentAge(a), allowedStages(a), a.Reason)
	}
	if found < len(only) {
		return fmt.Errorf("%w: %s", roles.ErrUnknownEngine, only[0])
	}
	if p.err != nil {
		return p.err
	}
	return w.Flush()
}

func assignmentState(a roles.Assignment) string {
	switch {
	case a.Serving:
		return "serves"
	case a.Target == a.Role:
		return "on its way back"
	}
	return "to " + a.Target.String()
}

func assignmentAge(a roles.Assignment) string {
	if a.ChangedAt <= 0 {
		return "never"
	}
	return time.Since(time.Unix(0, int64(a.ChangedAt))).Round(time.Second).String() + " ago"
}

func allowedStages(a roles.Assignment) string {
	if a.Pinned {
		return "pinned"
	}
	stages := ""
	if a.CanPrefill {
		stages += "read "
	}
	if a.CanDecode {
		stages += "write "
	}
	return stages
}
