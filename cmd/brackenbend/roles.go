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

// editFunc changes the assignment of the engine that args[0] names.
type editFunc func(assignments roles.Assignments, args []string) (roles.Assignments, error)

func rolesCommand() *cobra.Command {
	var url string
	cmd := &cobra.Command{
		Use:   "roles",
		Short: "Show and change the role assignments of engines",
		Example: `  brackenbend roles show --register http://127.0.0.1:9200
  brackenbend roles pin decode-3 --register http://127.0.0.1:9200
  brackenbend roles force decode-3 reader --register http://127.0.0.1:9200`,
	}
	cmd.PersistentFlags().StringVar(&url, "register", "", "URL of the API server")
	mustRequire(cmd.MarkPersistentFlagRequired("register"))
	cmd.AddCommand(
		showRolesCommand(&url),
		editCommand(&url, "pin ENGINE", "Keep an engine in its role: the planner does not change it", 1, setPinned(true)),
		editCommand(&url, "unpin ENGINE", "Undo pin", 1, setPinned(false)),
		editCommand(&url, "forbid ENGINE ROLE", "Forbid a role to an engine: reader (prefill) or writer (decode)", 2,
			withRoleArgument(forbidRole)),
		editCommand(&url, "allow ENGINE ROLE", "Undo forbid", 2, withRoleArgument(allowRole)),
		editCommand(&url, "force ENGINE ROLE",
			"Assign an engine to a role now: reader, writer or both; use pin to keep it there", 2,
			withRoleArgument(forceRole)),
		editCommand(&url, "call-off ENGINE", "Revert the pending role change of an engine", 1, revertChange),
	)
	return cmd
}

func showRolesCommand(url *string) *cobra.Command {
	return &cobra.Command{
		Use:   "show [ENGINE]",
		Short: "Print the assignments of all engines, or of one",
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

// editCommand returns a sub-command that changes the assignment of one engine and prints it.
func editCommand(url *string, use, short string, args int, apply editFunc) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  exactArgs(args),
		RunE: func(cmd *cobra.Command, args []string) error {
			client := newPlannerClient(*url)
			assignments, err := client.Update(cmd.Context(), func(assignments roles.Assignments) (roles.Assignments, error) {
				return apply(assignments, args)
			})
			if err != nil {
				return err
			}
			return printAssignments(cmd.OutOrStdout(), assignments, args[0])
		},
	}
}

func setPinned(pinned bool) editFunc {
	return func(assignments roles.Assignments, args []string) (roles.Assignments, error) {
		return assignments.Edit(args[0], func(a *roles.Assignment) { a.Pinned = pinned })
	}
}

// withRoleArgument returns an editFunc that calls apply with the engine and the role that args name.
func withRoleArgument(apply func(roles.Assignments, string, roles.Role) (roles.Assignments, error)) editFunc {
	return func(assignments roles.Assignments, args []string) (roles.Assignments, error) {
		role, err := roles.ParseRole(args[1])
		if err != nil {
			return assignments, exitError{err, exitUsage}
		}
		return apply(assignments, args[0], role)
	}
}

func forbidRole(assignments roles.Assignments, engine string, role roles.Role) (roles.Assignments, error) {
	return assignments.Edit(engine, func(a *roles.Assignment) {
		a.CanPrefill = a.CanPrefill && !role.Prefills()
		a.CanDecode = a.CanDecode && !role.Decodes()
	})
}

func allowRole(assignments roles.Assignments, engine string, role roles.Role) (roles.Assignments, error) {
	return assignments.Edit(engine, func(a *roles.Assignment) {
		a.CanPrefill = a.CanPrefill || role.Prefills()
		a.CanDecode = a.CanDecode || role.Decodes()
	})
}

func forceRole(assignments roles.Assignments, engine string, role roles.Role) (roles.Assignments, error) {
	return assignments.Start(engine, role, "forced by an operator")
}

func revertChange(assignments roles.Assignments, args []string) (roles.Assignments, error) {
	return assignments.Revert(args[0], "called off by an operator")
}

// printAssignments prints all assignments, or those of the named engines.
func printAssignments(out io.Writer, assignments roles.Assignments, engineNames ...string) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	p := printer{out: w}
	p.printf("ENGINE\tROLE\tSTATE\tORDER\tCHANGED\tMAY\tWHY\n")
	printedCount := 0
	for _, engine := range assignments.Names() {
		if len(engineNames) > 0 && !slices.Contains(engineNames, engine) {
			continue
		}
		printedCount++
		a := assignments.Entries[engine]
		p.printf("%s\t%v\t%s\t%d\t%s\t%s\t%s\n",
			engine, a.Role, assignmentState(a), a.CommandNumber, assignmentAge(a), allowedStages(a), a.Reason)
	}
	if printedCount < len(engineNames) {
		return fmt.Errorf("%w: %s", roles.ErrUnknownEngine, engineNames[0])
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
		return "reverting"
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
