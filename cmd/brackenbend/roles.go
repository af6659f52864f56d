package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"brackenbend/internal/planner"
	"brackenbend/internal/telemetry"
	"brackenbend/roles"
)

func plannerCommand() *cobra.Command {
	var url, level, admin string
	var fronts []string
	var every time.Duration
	var set roles.Config
	cmd := &cobra.Command{
		Use:   "planner --register URL",
		Short: "Share engines out to reading and writing, as the work asks",
		Long: `Run a planner of engine roles until SIGTERM or SIGINT. It reads the register's book, asks the engines how they stand
once a second, writes changes into the book and tells them to the engines. Several may run: a write from old news is
refused. With none running, roles stay as they are. docs/roles.md has the law and what each figure means.`,
		Example: `  brackenbend planner --register http://127.0.0.1:9200 --min-stay 2m`,
		Args:    exactly(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := set.Validate(); err != nil {
				return coded{err, exitUsage}
			}
			log, err := telemetry.NewLogger(os.Stderr, "json", level, 100)
			if err != nil {
				return coded{err, exitUsage}
			}
			m := planner.NewMetrics()
			if admin != "" {
				l, err := net.Listen("tcp", admin)
				if err != nil {
					return fmt.Errorf("--admin: %w", err)
				}
				defer l.Close()
				go func() {
					if err := telemetry.ServeAdmin(l, m.Registry, func() string { return "" }); !errors.Is(err, net.ErrClosed) {
						log.Error("admin ended", zap.Error(err))
					}
				}()
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			r := &planner.Runner{Register: rolesClient(url), Settings: set, Replicas: fronts, Interval: every, Log: log, Metrics: m}
			return r.Run(ctx)
		},
	}
	f := cmd.Flags()
	f.StringVar(&url, "register", "", "URL of the register")
	f.StringSliceVar(&fronts, "front", nil, "admin address of a front that is asked what it refused; any number")
	f.StringVar(&admin, "admin", "", "address for health and metrics; none = not served")
	f.StringVar(&level, "log-level", "info", "debug, info, warn or error")
	f.DurationVar(&every, "every", time.Second, "time between two looks")
	f.DurationVar(&set.MinDwell, "min-stay", time.Minute, "the stated rate: no engine changes sooner after its last change")
	f.Float64Var(&set.MaxConcurrent, "at-once", 0.1, "part of the engines that may be on their way at once; one at least")
	f.DurationVar(&set.ChangeTime, "change-time", 10*time.Second, "what a change takes by and large: drained, switched, half warm")
	f.DurationVar(&set.WarmUp, "warm", 3*time.Second, "of it, what comes after the engine says that it changed")
	f.DurationVar(&set.ChangeTimeout, "turn-time", 2*time.Minute, "a change that is not done by then is called off")
	f.DurationVar(&set.StaleAfter, "stale-after", 5*time.Second, "older figures count as none")
	_ = cmd.MarkFlagRequired("register")
	return cmd
}

func rolesClient(url string) planner.Client {
	return planner.Client{URL: url, HTTP: &http.Client{Timeout: 10 * time.Second}}
}

func rolesCommand() *cobra.Command {
	var url string
	cmd := &cobra.Command{
		Use:   "roles",
		Short: "See, pin and force the roles of engines",
		Example: `  brackenbend roles show --register http://127.0.0.1:9200
  brackenbend roles pin decode-3 --register http://127.0.0.1:9200
  brackenbend roles force decode-3 reader --register http://127.0.0.1:9200`,
	}
	cmd.PersistentFlags().StringVar(&url, "register", "", "URL of the register")
	_ = cmd.MarkPersistentFlagRequired("register")
	// change is a sub-command that rewrites one engine's entry.
	change := func(use, short string, args int, do func(b roles.Assignments, args []string) (roles.Assignments, error)) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: exactly(args), RunE: func(cmd *cobra.Command, args []string) error {
			c := rolesClient(url)
			b, err := c.Update(cmd.Context(), func(b roles.Assignments) (roles.Assignments, error) { return do(b, args) })
			if err != nil {
				return err
			}
			return showRoles(cmd.OutOrStdout(), planner.View{Assignments: b}, args[0])
		}}
	}
	entry := func(f func(*roles.Assignment)) func(roles.Assignments, []string) (roles.Assignments, error) {
		return func(b roles.Assignments, args []string) (roles.Assignments, error) { return b.Edit(args[0], f) }
	}
	role := func(f func(b roles.Assignments, id string, r roles.Role) (roles.Assignments, error)) func(roles.Assignments, []string) (roles.Assignments, error) {
		return func(b roles.Assignments, args []string) (roles.Assignments, error) {
			r, err := roles.ParseRole(args[1])
			if err != nil {
				return b, coded{err, exitUsage}
			}
			return f(b, args[0], r)
		}
	}
	cmd.AddCommand(&cobra.Command{Use: "show [ENGINE]", Short: "Print the book", Args: cobra.MaximumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		c := rolesClient(url)
		v, err := c.View(cmd.Context())
		if err != nil {
			return err
		}
		return showRoles(cmd.OutOrStdout(), v, args...)
	}},
		change("pin ENGINE", "Keep an engine in its role", 1, entry(func(e *roles.Assignment) { e.Pinned = true })),
		change("unpin ENGINE", "Let an engine change again", 1, entry(func(e *roles.Assignment) { e.Pinned = false })),
		change("forbid ENGINE ROLE", "Never order an engine to read (reader) or to write (writer)", 2, role(func(b roles.Assignments, id string, r roles.Role) (roles.Assignments, error) {
			return b.Edit(id, func(e *roles.Assignment) {
				e.CanPrefill, e.CanDecode = e.CanPrefill && !r.Prefills(), e.CanDecode && !r.Decodes()
			})
		})),
		change("allow ENGINE ROLE", "Take back forbid", 2, role(func(b roles.Assignments, id string, r roles.Role) (roles.Assignments, error) {
			return b.Edit(id, func(e *roles.Assignment) {
				e.CanPrefill, e.CanDecode = e.CanPrefill || r.Prefills(), e.CanDecode || r.Decodes()
			})
		})),
		change("force ENGINE ROLE", "Order an engine to a role now; pin it to keep it there", 2, role(func(b roles.Assignments, id string, r roles.Role) (roles.Assignments, error) {
			return b.Start(id, r, "forced by an operator")
		})),
		change("call-off ENGINE", "Order an engine that is on its way back to its role", 1, func(b roles.Assignments, args []string) (roles.Assignments, error) {
			return b.Revert(args[0], "called off by an operator")
		}))
	return cmd
}

// showRoles prints the book, or the named engines of it.
func showRoles(out io.Writer, v planner.View, only ...string) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "ENGINE\tROLE\tSTATE\tORDER\tCHANGED\tMAY\tWHY")
	found := 0
	for _, id := range v.Assignments.Names() {
		if len(only) > 0 && !slices.Contains(only, id) {
			continue
		}
		found++
		e := v.Assignments.Entries[id]
		state, changed, may := "serves", "never", ""
		switch {
		case !e.Serving && e.Target == e.Role:
			state = "on its way back"
		case !e.Serving:
			state = "to " + e.Target.String()
		}
		if e.ChangedAt > 0 {
			changed = time.Since(time.Unix(0, int64(e.ChangedAt))).Round(time.Second).String() + " ago"
		}
		if e.CanPrefill {
			may += "read "
		}
		if e.CanDecode {
			may += "write "
		}
		if e.Pinned {
			may = "pinned"
		}
		fmt.Fprintf(w, "%s\t%v\t%s\t%d\t%s\t%s\t%s\n", id, e.Role, state, e.Order, changed, may, e.Reason)
	}
	if found < len(only) {
		return fmt.Errorf("%w: %s", roles.ErrUnknownEngine, only[0])
	}
	return w.Flush()
}
