package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"cardamomring.dev/internal/crbalancer"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/pkg/crdoc"
)

// explainArgs are the arguments of explain.
type explainArgs struct {
	Address  string        `arg:"positional" placeholder:"ADDRESS" help:"of an opaque service: IP:PORT that the caller sends to, or the IP if only one route has it"`
	Host     string        `arg:"--host" placeholder:"NAME" help:"of an HTTP service: its name or host name"`
	Path     string        `arg:"--path" default:"/" help:"path of the HTTP request"`
	Method   string        `arg:"--method" default:"GET" help:"method of the HTTP request"`
	Balancer string        `arg:"--balancer,required" placeholder:"HOST:PORT" help:"where the balancer serves its metrics"`
	Caller   string        `arg:"--caller" placeholder:"IP:PORT" help:"where the flow comes from; an example when absent"`
	JSON     bool          `arg:"--json" help:"print JSON"`
	Timeout  time.Duration `arg:"--timeout" default:"5s" help:"time to wait for the balancer"`
}

// explanation is what opaque and HTTP services have in common.
type explanation struct {
	Revision uint64          `json:"rev"`
	Fresh    bool            `json:"fresh"`
	Age      *crdoc.Duration `json:"age"`
}

// runExplain prints where a balancer would send a new flow or request. The exit code is 1 if the
// balancer can't say, or if its view is old.
func runExplain(ctx context.Context, a *explainArgs, out, errOut io.Writer) int {
	if (a.Address == "") == (a.Host == "") {
		fmt.Fprintln(errOut, "explain: want either ADDRESS or --host")
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	client := &crnet.Client{}
	client.Open()
	defer client.Close()
	query := url.Values{"address": {a.Address}, "caller": {a.Caller}}
	if a.Host != "" {
		query = url.Values{"host": {a.Host}, "path": {a.Path}, "method": {a.Method}, "caller": {a.Caller}}
	}
	var data json.RawMessage
	if err := client.JSON(ctx, a.Balancer, "/explain?"+query.Encode(), nil, &data); err != nil {
		return printExplainError(errOut, a, err)
	}
	var e explanation
	err := json.Unmarshal(data, &e)
	if err == nil {
		err = a.print(out, data)
	}
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	if !e.Fresh {
		fmt.Fprintf(errOut, "view too old: control has not confirmed revision %d lately: confirmed %s\n", e.Revision, formatAge(e.Age))
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
		text = "explains nothing; only balancers do"
	}
	fmt.Fprintf(errOut, "balancer %s: %s\n", a.Balancer, text)
	if status.Status == http.StatusBadRequest {
		return exitUsage
	}
	return exitFailed
}

// print prints an explanation as text or JSON.
func (a *explainArgs) print(out io.Writer, data json.RawMessage) error {
	if a.JSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(data)
	}
	if a.Host != "" {
		var e crbalancer.Explanation
		if err := json.Unmarshal(data, &e); err != nil {
			return err
		}
		return a.printRequest(out, &e)
	}
	var e cropaque.Explanation
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	return a.printFlow(out, &e)
}

// from returns the caller for the output.
func (a *explainArgs) from(caller netip.AddrPort) string {
	if a.Caller == "" {
		return caller.String() + " (an example; the agents depend on the caller)"
	}
	return caller.String()
}

// printRequest prints where a request to an HTTP service would go.
func (a *explainArgs) printRequest(out io.Writer, e *crbalancer.Explanation) error {
	class := "none matches; the request is refused"
	if c := e.Class; c != nil {
		class = fmt.Sprintf("%s, priority %t, repeatable %t, deadline %s", c.Name, c.Priority, c.Repeatable, c.Deadline.D())
	}
	fmt.Fprintf(out, "request   %s %s from %s to service %s\n", a.Method, a.Path, a.from(e.Caller), e.Service)
	fmt.Fprintf(out, "view      revision %d, confirmed %s\n", e.Revision, formatAge(e.Age))
	fmt.Fprintf(out, "class     %s\n", class)
	fmt.Fprintf(out, "chain     of a new flow:%s\n\n", chainText(e.Chain))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "AGENT\tZONE\tSTATE\tODDS ON THE PLAIN LISTENER")
	for _, g := range e.Agents {
		state := g.State.String()
		if g.ZoneOut {
			state += ", zone out"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f%%\n", g.Name, g.Zone, state, 100*g.Odds)
	}
	return w.Flush()
}

// chainText returns the agents of a chain in order.
func chainText(chain []crbalancer.ChainLink) string {
	if len(chain) == 0 {
		return " no agent; it is dropped"
	}
	text := ""
	for _, l := range chain {
		text += " " + l.Name
		if !l.Accepts {
			text += " (if it owns the flow)"
		}
	}
	return text
}

// printFlow prints where a flow to an opaque service would go.
func (a *explainArgs) printFlow(out io.Writer, e *cropaque.Explanation) error {
	fmt.Fprintf(out, "flow      %s to %s, route %s\n", a.from(e.Caller), e.Address, e.Route)
	fmt.Fprintf(out, "view      revision %d, confirmed %s\n", e.Revision, formatAge(e.Age))
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

// formatAge returns how long ago something was, if that is known.
func formatAge(age *crdoc.Duration) string {
	if age == nil {
		return "at an unknown time"
	}
	return formatTime(*age) + " ago"
}
