package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"brackenbend/internal/config"
	"brackenbend/internal/load"
)

func loadCommand() *cobra.Command {
	var clients, model, html, jsonFile string
	var rate float64
	var quiet bool
	p := load.Plan{Length: 30 * time.Second, Most: 2000}
	cmd := &cobra.Command{
		Use:   "load FRONT...",
		Short: "Send load at running fronts and measure what clients see",
		Long: `Send the clients of a day file at fronts that run (host:port, each try to one by lot): sessions begin at their times however
slow answers are, and times count from when a request should have been sent. Clients retry as published SDKs do. Prints
what each class saw: service, ends, times to the first token, between tokens and to the end. Only loopback addresses are
taken unless --anywhere is given.`,
		Example: "  brackenbend up &\n  brackenbend load 127.0.0.1:8080 --model stand-in --rate 20 --for 20s --html load.html",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var from []string
			if clients != "" {
				from = []string{clients}
			}
			d, err := loadDay(from)
			if err != nil {
				return err
			}
			if rate < 0 || rate > 5000 {
				return coded{fmt.Errorf("--rate: up to 5000 a second"), exitUsage}
			}
			if rate > 0 {
				d.Rate = config.Rate(rate)
			}
			p.Day, p.Fronts, p.Model = d, args, model
			if !quiet {
				bar := progressbar.NewOptions(1000, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription("sending"),
					progressbar.OptionThrottle(100*time.Millisecond), progressbar.OptionClearOnFinish())
				defer func() { _ = bar.Finish() }()
				p.Progress = func(done float64, open int) {
					bar.Describe(fmt.Sprintf("%d open", open))
					_ = bar.Set(int(done * 1000))
				}
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			rep, err := load.Run(ctx, p)
			if err != nil {
				if strings.HasPrefix(err.Error(), "load: ") {
					return coded{err, exitUsage}
				}
				return err
			}
			if err := rep.WriteText(cmd.OutOrStdout()); err != nil {
				return err
			}
			if html != "" {
				if err := writeFile(html, func(f *os.File) error { return rep.WriteHTML(f) }); err != nil {
					return err
				}
			}
			if jsonFile != "" {
				return writeFile(jsonFile, func(f *os.File) error { return rep.WriteJSON(f) })
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&clients, "clients", "", "day file whose clients are sent; none = the default day's")
	f.StringVar(&model, "model", "day", "model that is asked for")
	f.Float64Var(&rate, "rate", 0, "requests a second; 0 = the day's")
	f.DurationVar(&p.Length, "for", p.Length, "how long sessions begin, up to 1h")
	f.IntVar(&p.Most, "most", p.Most, "requests open at once; sessions past it do not begin and are counted")
	f.BoolVar(&p.Anywhere, "anywhere", false, "send to addresses that are not loopback")
	f.StringVar(&html, "html", "", "write a page with plots")
	f.StringVar(&jsonFile, "json", "", "write all figures")
	f.BoolVarP(&quiet, "quiet", "q", false, "no progress bar")
	return cmd
}
