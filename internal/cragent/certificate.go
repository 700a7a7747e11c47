package cragent

import (
	"crypto/tls"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// certificatePollInterval is how often the certificate's files are looked at.
const certificatePollInterval = 2 * time.Second

// certificate is the certificate shown to callers. It follows its files;
// connections that stand keep what they were opened with.
type certificate struct {
	certFile string
	keyFile  string
	logf     func(format string, args ...any)

	pair     atomic.Pointer[tls.Certificate]
	modTimes [2]time.Time
}

// load reads the files.
func (c *certificate) load() error {
	if c.certFile == "" || c.keyFile == "" {
		return errors.New("agent.cert, agent.key: name the files shown to HTTP/3 callers")
	}
	c.modTimes = c.readModTimes()
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("certificate %s: %w", c.certFile, err)
	}
	c.pair.Store(&pair)
	return nil
}

// get serves tls.Config.GetCertificate.
func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.pair.Load(), nil }

// watch reads the files again when they have changed, until done is closed. A
// pair that doesn't fit together is tried again later.
func (c *certificate) watch(done <-chan struct{}) {
	tick := time.NewTicker(certificatePollInterval)
	defer tick.Stop()
	for failing := false; ; {
		select {
		case <-tick.C:
		case <-done:
			return
		}
		if !failing && c.readModTimes() == c.modTimes {
			continue
		}
		err := c.load()
		if err != nil && !failing {
			c.logf("keeping the certificate: %v", err)
		}
		if err == nil {
			c.logf("certificate %s reloaded", c.certFile)
		}
		failing = err != nil
	}
}

// readModTimes returns when the files were changed.
func (c *certificate) readModTimes() [2]time.Time {
	var out [2]time.Time
	for i, name := range []string{c.certFile, c.keyFile} {
		if info, err := os.Stat(name); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}
