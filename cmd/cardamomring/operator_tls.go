package main

import (
	"errors"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/pkg/crdoc"
	"cardamomring.dev/pkg/croper"
)

// setUpTLS configures the client for TLS if the arguments name certificates.
func (a *operatorArgs) setUpTLS(client *croper.Client) error {
	if a.CA == "" {
		if a.Cert != "" || a.Key != "" {
			return errors.New("--cert and --key need --ca")
		}
		return nil
	}
	config, err := crnet.ClientTLS(&crdoc.TLS{Cert: a.Cert, Key: a.Key, CA: a.CA})
	client.TLS = config
	return err
}
