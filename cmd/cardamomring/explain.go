package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/pkg/crdoc"
)

// explainArgs are the arguments of explain.
type explainArgs struct {
	Address  string        `arg:"positional,required" placeholder:"ADDRESS" help:"IP:PORT that the caller sends to, or the IP if only one route has it"`
	Balancer string        `arg:"--balancer,required" placeholder:"HOST:PORT" help:"where the balancer serves its metrics"`
	Caller   string        `arg:"--caller" placeholder:"IP:PORT" help:"where the flow comes from; an example when absent"`
	JSON     bool          `arg:"--json" help:"print JSON"`
	Timeout  time.Duration `arg:"--timeout" default:"5s" help:"time to wait for the balancer"`
}

// runExplain prints where a balancer would send a new flow. The exit code is 1 if the
// balancer can't say, or if its view is old.
func runExplain(ctx context.Context, a *explainArgs, out, errOut io.Writer) int {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	client := &crnet.Client{}
	client.Open()
	defer client.Close()
	var e cropaque.Explanation
	query := url.Values{"address": {a.Address}, "caller": {a.Caller}}
	if err := client.JSON(ctx, a.Balancer, "/explain?"+query.Encode(), nil, &e); err != nil {
		return printExplainError(errOut, a, err)
	}
	if err := printExplanation(out, &e, a); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	if !e.Fresh {
		fmt.Fprintf(errOut, "view too old: control has not confirmed revision %d lately (age %s)\n", e.Revision, formatAge(e.Age))
		return exitFailed
	}
	return exitOK
}

// printExplainError prints why there is no explanation and returns the exit code.
func printExplainError(errOut io.Writer, a *explainArgs, err error) int {
	var status *crnet.StatusError
	if !errors.As(err, &status) {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	text := strings.TrimSpace(status.Body)
	if text == "404 page not found" {
		text = "explains nothing; only balancers of opaque services do"
	}
	fmt.Fprintf(errOut, "balancer %s: %s\n", a.Balancer, text)
	if status.Status == http.StatusBadRequest {
		return exitUsage
	}
	return exitFailed
}

// printExplanation prints an explanation as text or JSON.
func printExplanation(out io.Writer, e *cropaque.Explanation, a *explainArgs) error {
	if a.JSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(e)
	}
	from := e.Caller.String()
	if a.Caller == "" {
		from += " (an example; the short list depends on the caller)"
	}
	fmt.Fprintf(out, "flow      %s to %s, route %s\n", from, e.Address, e.Route)
	fmt.Fprintf(out, "view      revision %d, confirmed %s ago\n", e.Revision, formatAge(e.Age))
	fmt.Fprintf(out, "outcome   %s: %s\n", e.Outcome, outcomeText(e))
	if e.Owner != "" {
		fmt.Fprintf(out, "owner     a flow with these addresses is open at %s; its packets go there\n", e.Owner)
	}
	if e.Link != nil {
		fmt.Fprintf(out, "link      %d of %d turns taken, %d uploads wait\n", e.Link.Turns, e.Link.Places, e.Link.Waiting)
	}
	for _, s := range e.Services {
		fmt.Fprintf(out, "\nservice %s, %.1f%% of the route's flows\n", s.Name, 100*s.Weight)
		if err := printAgents(out, s.Agents); err != nil {
			return err
		}
	}
	return nil
}

// outcomeText returns what an outcome means for the flow.
func outcomeText(e *cropaque.Explanation) string {
	switch e.Outcome {
	case cropaque.OutcomeOffered:
		if e.Choice == cropaque.ChoiceFastest {
			return "to the agent with the shortest expected latency"
		}
		return "to an agent that is drawn by its odds, for even load"
	case cropaque.OutcomeWaiting:
		return "it waits for a turn on the balancer's link"
	case cropaque.OutcomeHeld:
		return fmt.Sprintf("no agent gets offers now; the flow is held for %s, then its caller is reset", e.Hold.D())
	case cropaque.OutcomeRefused:
		return "its caller is reset; the link can't carry it in time"
	}
	return "it can't be placed"
}

// printAgents prints the short list of a service.
func printAgents(out io.Writer, agents []cropaque.AgentOutlook) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "AGENT\tZONE\tSTATE\tLAST REFUSAL\tREPORT\tBUSY\tPLACED\tBASE\tWAITING\tFAILURES\tZONE PRICE\tRANDOM\tLOAD\tODDS")
	for _, a := range agents {
		state, refusal, age, busy, load := a.State.String(), "-", "-", "-", "-"
		if a.Silence > 0 {
			state += " " + formatTime(a.Silence)
		}
		if a.Refusal != cropaque.ReasonNone {
			refusal = a.Refusal.String() + " " + formatTime(a.Ago)
		}
		if r := a.Report; r != nil {
			age, busy = formatTime(r.Age), fmt.Sprintf("%d+%d/%d", r.Busy, r.Queued, r.Slots)
		}
		if a.Load != nil {
			load = fmt.Sprintf("%.2f+%.2f", a.Load.Base, a.Load.Price)
		}
		x := a.Expected
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t<%s\t%s\t%.1f%%\n", a.Name, a.Zone, state, refusal, age, busy, a.Placed,
			formatTime(x.Base), formatTime(x.Waiting), formatTime(x.Failures), formatTime(x.Zone), formatTime(x.Random), load, 100*a.Odds)
	}
	return w.Flush()
}

// formatTime returns a duration, rounded for a table.
func formatTime(d crdoc.Duration) string {
	if d.D() >= time.Second {
		return d.D().Round(100 * time.Millisecond).String()
	}
	return d.D().Round(100 * time.Microsecond).String()
}

// formatAge returns an age that may be unknown.
func formatAge(age *crdoc.Duration) string {
	if age == nil {
		return "unknown"
	}
	return formatTime(*age)
}
