package crtrial

import (
	"context"
	"time"

	"cardamomring.dev/pkg/crdoc"
	"cardamomring.dev/pkg/croper"
)

const (
	// operatorName is the name under which changes are made.
	operatorName = "trial"
	// changeTimeout is the time limit of one change including its retries.
	changeTimeout = 20 * time.Second
)

// Apply applies a service document and sets doc.Version to the version in
// force.
func (d *Deployment) Apply(ctx context.Context, doc *crdoc.Service) error {
	result, err := d.ApplyKeepingVersion(ctx, doc)
	if err == nil {
		doc.Version = result.Version
	}
	return err
}

// ApplyKeepingVersion applies a service document and leaves doc.Version
// unchanged. Each call uses a client of its own, so concurrent calls act as
// different operators.
func (d *Deployment) ApplyKeepingVersion(ctx context.Context, doc *crdoc.Service) (croper.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	client := d.newOperatorClient()
	defer client.Close()
	return client.Apply(ctx, doc)
}

// SetZoneOut takes an availability zone out of service, or brings it back.
func (d *Deployment) SetZoneOut(ctx context.Context, zone string, out bool) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	client := d.newOperatorClient()
	defer client.Close()
	_, err := client.SetZoneOut(ctx, zone, out)
	return err
}

// newOperatorClient returns an open client of the control instances. The caller
// must close it.
func (d *Deployment) newOperatorClient() *croper.Client {
	client := &croper.Client{Control: d.controlAddrs, Operator: operatorName}
	client.Open()
	return client
}
