package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/cragent"
	"cardamomring.dev/internal/crbalancer"
	"cardamomring.dev/internal/crcontrol"
	"cardamomring.dev/internal/crobs"
	"cardamomring.dev/pkg/crdoc"
)

// runRole runs a role from its settings file until ctx ends.
func runRole(ctx context.Context, role crdoc.Role, file string, errOut io.Writer) int {
	settings, err := loadSettings(role, file)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	logger, err := crobs.NewLog(settings.Log, errOut)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	ready := func(addr string) { logger.Infof("%s listens on %s", settings.Name, addr) }
	registry := prometheus.NewRegistry()
	switch role {
	case crdoc.RoleBalancer:
		err = (&crbalancer.Balancer{Settings: settings, Ready: ready, Registry: registry, Logf: logger.Warnf}).Run(ctx)
	case crdoc.RoleAgent:
		err = (&cragent.Agent{Settings: settings, Ready: ready, Registry: registry, Logf: logger.Warnf}).Run(ctx)
	case crdoc.RoleControl:
		err = (&crcontrol.Control{Settings: settings, Ready: ready, Registry: registry, Logf: logger.Infof}).Run(ctx)
	}
	if err != nil {
		logger.Errorf("%s stopped: %v", settings.Name, err)
		return exitFailed
	}
	logger.Infof("%s stopped", settings.Name)
	return exitOK
}

// loadSettings reads a settings file and checks it for a role.
func loadSettings(role crdoc.Role, file string) (*crdoc.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	settings, err := crdoc.ParseSettings(data, os.ReadFile)
	var findings crdoc.Findings
	if errors.As(err, &findings) {
		return nil, findings.In(file)
	}
	if err != nil {
		return nil, err
	}
	return settings, settings.CheckRole(role).In(file).Err()
}
