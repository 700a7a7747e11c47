package crtrial

import (
	"context"
	"time"

	"cardamomring.dev/pkg/crdoc"
	"cardamomring.dev/pkg/croper"
)

const (
	// author is the operator of a deployment.
	author = "trial"
	// changeTimeout bounds one change, with all its tries.
	changeTimeout = 20 * time.Second
)

// Apply applies a document and sets its version to the one in force.
func (d *Deployment) Apply(ctx context.Context, doc *crdoc.Service) error {
	result, err := d.ApplyWithoutUpdate(ctx, doc)
	if err == nil {
		doc.Version = result.Version
	}
	return err
}

// ApplyWithoutUpdate applies a document for an operator of its own and leaves it as it is.
func (d *Deployment) ApplyWithoutUpdate(ctx context.Context, doc *crdoc.Service) (croper.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	client := d.operator()
	defer client.Close()
	return client.Apply(ctx, doc)
}

// SetZoneOut takes an availability zone out of service or brings it back.
func (d *Deployment) SetZoneOut(ctx context.Context, zone string, out bool) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	client := d.operator()
	defer client.Close()
	_, err := client.SetZoneOut(ctx, zone, out)
	return err
}

// operator returns a client of the control instances; close it after use.
func (d *Deployment) operator() *croper.Client {
	client := &croper.Client{Control: d.control, Operator: author}
	client.Open()
	return client
}
