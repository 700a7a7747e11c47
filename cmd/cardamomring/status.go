package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/croper"
)

// statusArgs are the arguments of status.
type statusArgs struct {
	operatorArgs
}

// statusReport is the output of status.
type statusReport struct {
	// Revision is the highest revision in force at any instance.
	Revision uint64 `json:"rev"`
	// ZonesOut are the zones that are out of service.
	ZonesOut []string `json:"out"`
	// Instances are the control instances.
	Instances []croper.Instance `json:"instances"`
	// Agents are the agents that are members.
	Agents []crwire.Member `json:"agents"`
	// Daemons are the balancers and agents that follow the feed.
	Daemons []crwire.Follower `json:"daemons"`
}

// runStatus prints members, zones and the revision of each process. The exit code
// is 1 if no quorum answers.
func runStatus(ctx context.Context, a *statusArgs, out, errOut io.Writer) int {
	return runOperator(ctx, &a.operatorArgs, out, errOut, func(ctx context.Context, o *operator) int {
		report := statusReport{Instances: o.client.Instances(ctx)}
		view, err := o.client.View(ctx)
		if err == nil {
			report.Revision, report.ZonesOut = view.Revision, view.ZonesOut
			report.Agents = slices.SortedFunc(maps.Values(view.Members), func(a, b crwire.Member) int {
				return cmp.Compare(a.Name, b.Name)
			})
		}
		report.collectDaemons()
		code := o.printStatus(&report)
		if err != nil {
			return o.printError(err)
		}
		return code
	})
}

// collectDaemons sets Daemons to the latest poll of each balancer and agent at any
// instance.
func (v *statusReport) collectDaemons() {
	latest := map[string]crwire.Follower{}
	for _, in := range v.Instances {
		if in.Status == nil {
			continue
		}
		v.Revision = max(v.Revision, in.Status.Revision)
		for _, f := range in.Status.Followers {
			if known, ok := latest[f.Name]; !ok || f.AgeMillis < known.AgeMillis {
				latest[f.Name] = f
			}
		}
	}
	v.Daemons = slices.SortedFunc(maps.Values(latest), func(a, b crwire.Follower) int {
		return cmp.Compare(a.Name, b.Name)
	})
}

// printStatus prints the report.
func (o *operator) printStatus(v *statusReport) int {
	if o.Output == outputJSON {
		return o.printJSON(v)
	}
	fmt.Fprintf(o.out, "revision %d, zones out: %v\n\n", v.Revision, v.ZonesOut)
	rows := [][]string{{"CONTROL", "NAME", "ROLE", "TERM", "REVISION", "STATE"}}
	for _, in := range v.Instances {
		rows = append(rows, instanceRow(&in))
	}
	code := o.printTable(rows)
	fmt.Fprintln(o.out)
	rows = [][]string{{"AGENT", "NUMBER", "SERVICE", "ZONE", "HOST", "STATE"}}
	for _, m := range v.Agents {
		rows = append(rows, []string{m.Name, fmt.Sprint(m.Num), m.Service, m.Zone, m.Host, m.State.String()})
	}
	code = max(code, o.printTable(rows))
	fmt.Fprintln(o.out)
	rows = [][]string{{"PROCESS", "REVISION", "BEHIND"}}
	for _, f := range v.Daemons {
		rows = append(rows, []string{f.Name, fmt.Sprint(f.Revision), fmt.Sprint(v.Revision - min(f.Revision, v.Revision))})
	}
	return max(code, o.printTable(rows))
}

// instanceRow returns the row of a control instance.
func instanceRow(in *croper.Instance) []string {
	s := in.Status
	if s == nil {
		return []string{in.Address, "-", "-", "-", "-", "no answer"}
	}
	role, state := s.Members[s.ID].Role, "fresh"
	if s.Leading {
		role = "leader"
	}
	if !s.QuorumContact {
		state = "stale"
	}
	return []string{in.Address, s.Name, role, fmt.Sprint(s.Term), fmt.Sprint(s.Revision), state}
}
