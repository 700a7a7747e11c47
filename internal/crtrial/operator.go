package crtrial

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// author is the operator of a deployment.
const author = "trial"

// Apply applies a document and sets its version to the one in force.
func (d *Deployment) Apply(ctx context.Context, doc *crdoc.Service) error {
	result, err := d.Change(ctx, crwire.Change{Kind: crwire.KindApply, Service: doc})
	if err != nil {
		return err
	}
	if result.Code != crwire.CodeOK {
		return fmt.Errorf("apply %s: %s %s", doc.Name, result.Code, result.Text)
	}
	doc.Version = result.Version
	return nil
}

// Zone takes an availability zone out of service or brings it back.
func (d *Deployment) Zone(ctx context.Context, zone string, out bool) error {
	kind := crwire.KindZoneIn
	if out {
		kind = crwire.KindZoneOut
	}
	_, err := d.Change(ctx, crwire.Change{Kind: kind, Zone: zone})
	return err
}

// Change sends a change under a fresh ID to the first instance that answers,
// and sends it again elsewhere when an answer is lost.
func (d *Deployment) Change(ctx context.Context, c crwire.Change) (crwire.Result, error) {
	client := &crnet.Client{}
	client.Open()
	defer client.Close()
	c.ID, c.Author = rand.Text(), author
	var errs []error
	for _, addr := range d.control {
		var result crwire.Result
		err := client.JSON(ctx, addr, "/change", c, &result)
		var refused *crnet.StatusError
		if errors.As(err, &refused) && refused.Status != http.StatusServiceUnavailable {
			err = json.Unmarshal([]byte(refused.Body), &result)
		}
		if err == nil {
			return result, nil
		}
		errs = append(errs, err)
	}
	return crwire.Result{}, errors.Join(errs...)
}

// View returns the configuration in force at the first control instance that
// answers.
func (d *Deployment) View(ctx context.Context) (*crwire.View, error) {
	client := &crnet.Client{}
	client.Open()
	defer client.Close()
	var errs []error
	for _, addr := range d.control {
		var view crwire.View
		err := client.JSON(ctx, addr, "/view", nil, &view)
		if err == nil {
			return &view, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}
