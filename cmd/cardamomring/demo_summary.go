package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/pkg/crcall"
)

// limitName is the gauge of an agent's limit.
const limitName = "cardamomring_agent_limit"

// quantile99 is the quantile that the summary shows, in percent.
const quantile99 = 99

// loop prints a block each tick until ctx ends.
func (d *demo) loop(ctx context.Context) {
	tick := time.NewTicker(demoTick)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			d.printTick()
		case <-ctx.Done():
			return
		}
	}
}

// printTick prints what happened since the last tick.
func (d *demo) printTick() {
	now := time.Since(d.begun)
	fmt.Fprintf(d.out, "\n%4.0fs %s\n", now.Seconds(), d.phase(now))
	d.tally.mu.Lock()
	for i := range d.tally.classes {
		c := &d.tally.classes[i]
		printCount(d, i, c.window, c.recent)
		c.window = [crcall.OutcomeUnknown + 1]int{}
		c.recent.Reset()
	}
	d.tally.mu.Unlock()
	fmt.Fprintf(d.out, "      limits %s\n", d.limits())
}

// phase names what goes on at a time of the demo.
func (d *demo) phase(now time.Duration) string {
	var parts []string
	if now >= d.part(burstBegins) && now < d.part(burstEnds) {
		parts = append(parts, "burst of clockings")
	}
	if now >= d.part(zoneOutBegin) && now < d.part(zoneOutEnd) {
		parts = append(parts, "zone "+demoZone+" is out")
	}
	if len(parts) == 0 {
		return "routine"
	}
	return strings.Join(parts, ", ")
}

// printCount prints one class.
func printCount(d *demo, class int, n [crcall.OutcomeUnknown + 1]int, took *hdrhistogram.Histogram) {
	c := &demoClasses[class]
	p99 := time.Duration(took.ValueAtPercentile(quantile99)) * time.Microsecond
	fmt.Fprintf(d.out, "      %-14s %-9s answered %6d  refused %4d  unknown %3d  p99 %8s\n",
		c.service, c.name, n[crcall.OutcomeDone], n[crcall.OutcomeNotrun], n[crcall.OutcomeUnknown],
		p99.Round(time.Millisecond/10))
}

// limits returns the limit of each agent's backend server.
func (d *demo) limits() string {
	parts := make([]string, 0, len(d.names))
	for _, name := range d.names {
		node := d.deployment.Node(name)
		if node == nil {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s %.0f", name, gaugeOf(node.Registry, limitName)))
	}
	return strings.Join(parts, ", ")
}

// gaugeOf reads a gauge without labels, 0 when there is none.
func gaugeOf(registry *prometheus.Registry, name string) float64 {
	families, err := registry.Gather()
	if err != nil {
		return 0
	}
	for _, f := range families {
		if f.GetName() == name && len(f.GetMetric()) > 0 {
			return f.GetMetric()[0].GetGauge().GetValue()
		}
	}
	return 0
}

// summarise prints the whole demo's counts and compares what callers were
// told with what the backend servers ran.
func (d *demo) summarise() int {
	fmt.Fprintf(d.out, "\nwhole demo\n")
	unknown := 0
	for i := range d.tally.classes {
		c := &d.tally.classes[i]
		printCount(d, i, c.outcomes, c.took)
		unknown += c.outcomes[crcall.OutcomeUnknown]
	}
	runs := map[string]int{}
	for i, backend := range d.backends {
		total := 0
		for body, n := range backend.Runs() {
			runs[body] += n
			total += n
		}
		fmt.Fprintf(d.out, "      %-17s ran %6d requests\n", d.names[i], total)
	}
	doubled, vanished := 0, 0
	for key, n := range runs {
		if key != "" && n > 1 {
			doubled++
		}
	}
	for _, key := range d.tally.done {
		if runs[key] == 0 {
			vanished++
		}
	}
	fmt.Fprintf(d.out, "clockings and deposits: %d answered, doubled %d, vanished %d; unknown outcomes %d\n",
		len(d.tally.done), doubled, vanished, unknown)
	if doubled+vanished > 0 {
		return exitFailed
	}
	return exitOK
}
