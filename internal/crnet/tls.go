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

// recheck is how often the files of keys are looked at for a change.
const recheck = time.Second

// ServerTLS returns the listening side of TLS between processes, or nil when
// set is nil. Clients that show a certificate must have one of the
// authority; strict refuses those that show none. Changed files are read
// again without a restart.
func ServerTLS(set *crdoc.TLS, strict bool) (*tls.Config, error) {
	if set == nil {
		return nil, nil
	}
	files := &keyFiles{set: *set}
	if _, err := files.current(); err != nil {
		return nil, err
	}
	auth := tls.VerifyClientCertIfGiven
	if strict {
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

// ClientTLS returns the calling side of TLS, or nil when set is nil. A
// client without a certificate of its own leaves Cert empty. A changed
// certificate is read again without a restart, a changed authority isn't: so
// a new authority is added to all files before certificates of it are used.
func ClientTLS(set *crdoc.TLS) (*tls.Config, error) {
	if set == nil {
		return nil, nil
	}
	files := &keyFiles{set: *set}
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

// keyFiles are the PEM files of a process. It is safe for concurrent use.
type keyFiles struct {
	set crdoc.TLS

	mu      sync.Mutex
	keys    *keys
	looked  time.Time
	changed [3]time.Time
}

// keys are what the files hold.
type keys struct {
	certs []tls.Certificate
	pool  *x509.CertPool
}

// current returns the keys, read again when the files have changed. Files
// that can't be read leave the keys as they were.
func (f *keyFiles) current() (*keys, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keys != nil && time.Since(f.looked) < recheck {
		return f.keys, nil
	}
	f.looked = time.Now()
	changed := f.times()
	if f.keys != nil && changed == f.changed {
		return f.keys, nil
	}
	next, err := f.read()
	if err != nil {
		if f.keys != nil {
			return f.keys, nil
		}
		return nil, err
	}
	f.keys, f.changed = next, changed
	return next, nil
}

// times returns when each file was changed.
func (f *keyFiles) times() [3]time.Time {
	var out [3]time.Time
	for i, file := range []string{f.set.Cert, f.set.Key, f.set.CA} {
		if info, err := os.Stat(file); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// read reads the files.
func (f *keyFiles) read() (*keys, error) {
	out := &keys{pool: x509.NewCertPool()}
	if f.set.Cert != "" {
		cert, err := tls.LoadX509KeyPair(f.set.Cert, f.set.Key)
		if err != nil {
			return nil, fmt.Errorf("read the certificate: %w", err)
		}
		out.certs = []tls.Certificate{cert}
	}
	pem, err := os.ReadFile(f.set.CA)
	if err != nil {
		return nil, fmt.Errorf("read the authority: %w", err)
	}
	if !out.pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("read the authority: %s holds no certificate", f.set.CA)
	}
	return out, nil
}
