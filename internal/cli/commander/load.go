package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bamboospread/internal/kernel/loader"
	"bamboospread/internal/load/generator"
)

func newLoadCommand() *cobra.Command {
	var c generator.Config
	var service, output string
	var tenants []string
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send requests in an open loop and measure the answers",
		Long: "Send requests at a fixed mean rate, whether or not earlier ones were answered, and\n" +
			"measure latency from the time at which each was due. Answers are compared with\n" +
			"those of a stand-in upstream, so the command is only useful with stand-ins.",
		Example: "  bamboospread load --targets http://127.0.0.1:8080 --service labelling --rate 500 --duration 10s\n" +
			"  bamboospread load --targets http://127.0.0.1:8080 --service labelling --tenants packhouse=4,export-desk=1 --output json\n" +
			"  bamboospread load --targets http://127.0.0.1:7400 --rate 500   # straight to an upstream",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var f loader.Findings
			checkLoad(&f, &c, tenants, output)
			if err := settingsError(f.Err()); err != nil {
				return err
			}
			if service != "" {
				c.Path = "/v1/services/" + service + "/load"
			}
			report := generator.New(c).Run(cmd.Context())
			if err := writeLoad(cmd.OutOrStdout(), report, output); err != nil {
				return ExitError{Code: ExitFailed, Err: err}
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&c.Targets, "targets", []string{"http://127.0.0.1:8080"}, "URLs of entries or upstreams, used in turn")
	flags.StringVar(&service, "service", "", "service to call through entries; empty: the targets are upstreams")
	flags.StringVar(&c.Method, "method", "GET", "GET or POST")
	flags.Float64Var(&c.Rate, "rate", 100, "requests per second")
	flags.DurationVar(&c.Duration, "duration", 10*time.Second, "length of the measured period")
	flags.DurationVar(&c.WarmUp, "warm-up", 2*time.Second, "time under load before the measured period")
	flags.DurationVar(&c.Slice, "slice", 0, "also report latency per slice of this length; 0: no slices")
	flags.DurationVar(&c.Timeout, "timeout", generator.DefaultTimeout, "deadline of a request")
	flags.IntVar(&c.BodyBytes, "body-bytes", 256, "size of the body of a POST, or of the answer to a GET")
	flags.StringSliceVar(&tenants, "tenants", nil, "tenants with their shares of the load, as NAME=SHARE")
	flags.BoolVar(&c.Keyed, "keyed", false, "send an Idempotency-Key with each request")
	flags.IntVar(&c.MaxInFlight, "max-in-flight", generator.DefaultMaxInFlight, "limit of requests in flight; arrivals above it are not sent")
	flags.Uint64Var(&c.Seed, "seed", 1, "seed of the random arrival times")
	flags.StringVar(&output, "output", "text", "text or json")
	return cmd
}

func checkLoad(f *loader.Findings, c *generator.Config, tenants []string, output string) {
	if c.Rate <= 0 {
		f.Add("rate", "%g is not above 0", c.Rate)
	}
	if c.Duration <= 0 {
		f.Add("duration", "%s is not above 0", c.Duration)
	}
	if c.Method != "GET" && c.Method != "POST" {
		f.Add("method", "%q: must be GET or POST", c.Method)
	}
	for i, target := range c.Targets {
		if !strings.HasPrefix(target, "http://") {
			f.Add("targets", "%q is not an http URL", target)
		}
		c.Targets[i] = strings.TrimRight(target, "/")
	}
	for _, tenant := range tenants {
		name, text, _ := strings.Cut(tenant, "=")
		share, err := strconv.ParseFloat(text, 64)
		if err != nil || name == "" || share <= 0 {
			f.Add("tenants", "%q: must be NAME=SHARE with a share above 0", tenant)
		}
		c.Tenants = append(c.Tenants, generator.Tenant{Name: name, Share: share})
	}
	if output != "text" && output != "json" {
		f.Add("output", "%q: must be text or json", output)
	}
}

func writeLoad(w io.Writer, r generator.Report, output string) error {
	if output == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	line := func(name string, l generator.Latency) {
		fmt.Fprintf(w, "%-9s %8d  mean %.2f  p50 %.2f  p90 %.2f  p99 %.2f  p99.9 %.2f  max %.2f ms\n",
			name, l.Count, l.Mean, l.P50, l.P90, l.P99, l.P999, l.Max)
	}
	fmt.Fprintf(w, "offered %d in %.1f s, good %d (%.1f a second), wrong %d\n", r.Offered, r.Seconds, r.Good, r.Goodput, r.Wrong)
	for outcome, n := range r.Outcomes {
		fmt.Fprintf(w, "%-9s %8d\n", outcome, n)
	}
	line("good", r.Latency)
	line("refused", r.Refused)
	line("lag", r.Lag)
	for _, s := range r.Slices {
		line(s.From.String(), s.Latency)
	}
	return nil
}
