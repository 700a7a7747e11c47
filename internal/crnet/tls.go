package crnet

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"cardamomring.dev/pkg/crdoc"
)

// recheckInterval is the minimum time between two checks of the key files for
// changes.
const recheckInterval = time.Second

// ServerTLS returns the server configuration of TLS, or nil if cfg is nil. A
// client certificate must be signed by the authority; if requireCert is set,
// clients without a certificate are rejected. Changed files are reloaded without
// a restart.
func ServerTLS(cfg *crdoc.TLS, requireCert bool) (*tls.Config, error) {
	if cfg == nil {
		return nil, nil
	}
	files := &keyFiles{cfg: *cfg}
	if _, err := files.current(); err != nil {
		return nil, err
	}
	auth := tls.VerifyClientCertIfGiven
	if requireCert {
		auth = tls.RequireAndVerifyClientCert
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			keys, err := files.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: keys.certs,
				ClientAuth: auth, ClientCAs: keys.pool,
			}, nil
		},
	}, nil
}

// ClientTLS returns the client configuration of TLS, or nil if cfg is nil. If
// cfg.Cert is empty, the client presents no certificate. A changed certificate is
// reloaded without a restart, but a changed authority is not. Therefore a new
// authority must be added to all files before certificates signed by it are used.
func ClientTLS(cfg *crdoc.TLS) (*tls.Config, error) {
	if cfg == nil {
		return nil, nil
	}
	files := &keyFiles{cfg: *cfg}
	first, err := files.current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    first.pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			keys, err := files.current()
			if err != nil || len(keys.certs) == 0 {
				return &tls.Certificate{}, err
			}
			return &keys.certs[0], nil
		},
	}, nil
}

// keyFiles reads the PEM files of a process and caches their contents. It is safe
// for concurrent use.
type keyFiles struct {
	cfg crdoc.TLS

	mu        sync.Mutex
	keys      *keys
	checkedAt time.Time
	fileTimes [3]time.Time
}

// keys are the contents of the files.
type keys struct {
	certs []tls.Certificate
	pool  *x509.CertPool
}

// current returns the keys, after a reload if the files have changed. If the
// reload fails, it returns the previous keys.
func (f *keyFiles) current() (*keys, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keys != nil && time.Since(f.checkedAt) < recheckInterval {
		return f.keys, nil
	}
	f.checkedAt = time.Now()
	fileTimes := f.modTimes()
	if f.keys != nil && fileTimes == f.fileTimes {
		return f.keys, nil
	}
	next, err := f.load()
	if err != nil {
		if f.keys != nil {
			return f.keys, nil
		}
		return nil, err
	}
	f.keys, f.fileTimes = next, fileTimes
	return next, nil
}

// modTimes returns the modification time of each file.
func (f *keyFiles) modTimes() [3]time.Time {
	var out [3]time.Time
	for i, file := range []string{f.cfg.Cert, f.cfg.Key, f.cfg.CA} {
		if info, err := os.Stat(file); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// load reads the files and parses their contents.
func (f *keyFiles) load() (*keys, error) {
	out := &keys{pool: x509.NewCertPool()}
	if f.cfg.Cert != "" {
		cert, err := tls.LoadX509KeyPair(f.cfg.Cert, f.cfg.Key)
		if err != nil {
			return nil, fmt.Errorf("read certificate: %w", err)
		}
		out.certs = []tls.Certificate{cert}
	}
	pem, err := os.ReadFile(f.cfg.CA)
	if err != nil {
		return nil, fmt.Errorf("read certificate authority: %w", err)
	}
	if !out.pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("read certificate authority: %s contains no certificate", f.cfg.CA)
	}
	return out, nil
}
