package crspread

import "time"

// Report is what a server has last said about its load.
type Report struct {
	// Slots is how many requests the server runs at the same time, and Latency
	// the average time of a request; 0 if nothing is known of the server.
	Slots   int
	Latency time.Duration
	// Busy is the number of requests in progress or queued at that moment.
	Busy int
	// LastingBusy is the average number of requests in progress or queued over the
	// last seconds, and KeptBusy the part of it on kept flows.
	LastingBusy, KeptBusy float64
	// Kept is the number of flows that stay open between requests, and KeptRate
	// how many such flows were opened in the last second.
	Kept, KeptRate int
}

// Candidate is a server that may take a flow.
type Candidate struct {
	Report
	// Age is the time since the report.
	Age time.Duration
	// Placed is the number of flows that the chooser has placed on the server
	// since the report.
	Placed int
	// Price is added to the expected wait: what it costs to cross a zone, or to
	// be tried anew after a failure.
	Price time.Duration
}

// Flow is what is known of the flow that is placed.
type Flow struct {
	// Kept is set if the flow will stay open between many requests.
	Kept bool
}

// Part is how one candidate was weighed. Loads are shares of its slots.
type Part struct {
	// Trust is the weight of the moment that was reported, from 0 to 1; the rest
	// is the weight of what lasts.
	Trust float64
	// Base is the load that the candidate is expected to have without the flows
	// that are being placed by all choosers.
	Base float64
	// Wait is the expected delay of a request there, and PriceLoad the load by
	// which Base of a candidate without a price may be higher until this one is
	// as good.
	Wait      time.Duration
	PriceLoad float64
	// Odds is the probability with which the candidate is chosen.
	Odds float64
}
