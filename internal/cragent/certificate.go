package cragent

import (
	"crypto/tls"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// certificatePollInterval is the interval at which the certificate files are
// checked for changes.
const certificatePollInterval = 2 * time.Second

// certificate is the TLS certificate presented to callers. It is reloaded when
// its files change; established connections keep the certificate of their
// handshake.
type certificate struct {
	certFile string
	keyFile  string
	logf     func(format string, args ...any)

	pair     atomic.Pointer[tls.Certificate]
	modTimes [2]time.Time
}

// load reads the certificate and its key from the files.
func (c *certificate) load() error {
	if c.certFile == "" || c.keyFile == "" {
		return errors.New("agent.cert and agent.key: files of the certificate for HTTP/3 callers are required")
	}
	c.modTimes = c.readModTimes()
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("certificate %s: %w", c.certFile, err)
	}
	c.pair.Store(&pair)
	return nil
}

// get implements tls.Config.GetCertificate.
func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.pair.Load(), nil }

// run reloads the files when they change, until done is closed. After a failed
// load, such as a key that doesn't match the certificate yet, it retries at each
// interval.
func (c *certificate) run(done <-chan struct{}) {
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
			c.logf("certificate not reloaded, keeping the previous one: %v", err)
		}
		if err == nil {
			c.logf("certificate %s reloaded", c.certFile)
		}
		failing = err != nil
	}
}

// readModTimes returns the modification times of the files.
func (c *certificate) readModTimes() [2]time.Time {
	var out [2]time.Time
	for i, name := range []string{c.certFile, c.keyFile} {
		if info, err := os.Stat(name); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}
