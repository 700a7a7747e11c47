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

// limitMetric is the name of the gauge of the backend server's concurrency limit.
const limitMetric = "cardamomring_agent_limit"

// percentile99 is the percentile of latencies that the reports show.
const percentile99 = 99

// loop prints a progress report every demoPrintInterval until ctx ends.
func (d *demo) loop(ctx context.Context) {
	ticker := time.NewTicker(demoPrintInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.printProgress()
		case <-ctx.Done():
			return
		}
	}
}

// printProgress prints what happened since the last report.
func (d *demo) printProgress() {
	now := time.Since(d.startTime)
	fmt.Fprintf(d.out, "\n%4.0fs %s\n", now.Seconds(), d.phase(now))
	d.tally.mu.Lock()
	for i := range d.tally.classes {
		c := &d.tally.classes[i]
		printCount(d, i, c.windowOutcomes, c.windowLatencies)
		c.windowOutcomes = [crcall.OutcomeUnknown + 1]int{}
		c.windowLatencies.Reset()
	}
	d.tally.mu.Unlock()
	fmt.Fprintf(d.out, "      limits %s\n", d.formatLimits())
}

// phase returns a description of the events in progress at a time of the demo.
func (d *demo) phase(now time.Duration) string {
	var parts []string
	if now >= d.timeOf(burstStart) && now < d.timeOf(burstEnd) {
		parts = append(parts, "burst of clockings")
	}
	if now >= d.timeOf(zoneOutStart) && now < d.timeOf(zoneOutEnd) {
		parts = append(parts, "zone "+demoZoneOut+" is out")
	}
	if len(parts) == 0 {
		return "routine"
	}
	return strings.Join(parts, ", ")
}

// printCount prints the outcomes and the 99th percentile of one class.
func printCount(d *demo, class int, n [crcall.OutcomeUnknown + 1]int, latencies *hdrhistogram.Histogram) {
	c := &demoClasses[class]
	p99 := time.Duration(latencies.ValueAtPercentile(percentile99)) * time.Microsecond
	fmt.Fprintf(d.out, "      %-14s %-9s answered %6d  refused %4d  unknown %3d  p99 %8s\n",
		c.service, c.name, n[crcall.OutcomeDone], n[crcall.OutcomeNotrun], n[crcall.OutcomeUnknown],
		p99.Round(time.Millisecond/10))
}

// formatLimits returns the concurrency limit of each backend server as text.
func (d *demo) formatLimits() string {
	parts := make([]string, 0, len(d.agentNames))
	for _, name := range d.agentNames {
		node := d.deployment.Node(name)
		if node == nil {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s %.0f", name, gaugeValue(node.Registry, limitMetric)))
	}
	return strings.Join(parts, ", ")
}

// gaugeValue returns the value of a gauge without labels, 0 if it doesn't exist.
func gaugeValue(registry *prometheus.Registry, name string) float64 {
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

// printSummary prints the counts of the whole demo and compares the answers to callers
// with the requests that the backend servers ran. It returns a failure if a keyed
// request ran twice or was answered without having run.
func (d *demo) printSummary() int {
	fmt.Fprintf(d.out, "\nwhole demo\n")
	unknown := 0
	for i := range d.tally.classes {
		c := &d.tally.classes[i]
		printCount(d, i, c.outcomes, c.latencies)
		unknown += c.outcomes[crcall.OutcomeUnknown]
	}
	runs := map[string]int{}
	for i, backend := range d.backends {
		total := 0
		for body, n := range backend.Runs() {
			runs[body] += n
			total += n
		}
		fmt.Fprintf(d.out, "      %-17s ran %6d requests\n", d.agentNames[i], total)
	}
	doubled, vanished := 0, 0
	for key, n := range runs {
		if key != "" && n > 1 {
			doubled++
		}
	}
	for _, key := range d.tally.answeredKeys {
		if runs[key] == 0 {
			vanished++
		}
	}
	fmt.Fprintf(d.out, "clockings and deposits: %d answered, doubled %d, vanished %d; unknown outcomes %d\n",
		len(d.tally.answeredKeys), doubled, vanished, unknown)
	if doubled+vanished > 0 {
		return exitFailed
	}
	return exitOK
}
