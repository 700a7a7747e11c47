// Package crkeys makes what processes prove themselves with: a certificate
// authority, certificates that it signs, and the secrets that seal
// connection IDs.
package crkeys

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"time"
)

const (
	// authorityLife is how long a new authority is valid.
	authorityLife = 10 * 365 * 24 * time.Hour
	// certLife is how long an issued certificate is valid.
	certLife = 397 * 24 * time.Hour
	// backdate tolerates clocks that are behind.
	backdate = time.Hour
	// serialBits is the size of a random serial number.
	serialBits = 127
)

// PEM block types.
const (
	blockCert = "CERTIFICATE"
	blockKey  = "PRIVATE KEY"
)

// Pair is a certificate and its private key, both PEM.
type Pair struct {
	Cert []byte
	Key  []byte
}

// Authority signs certificates.
type Authority struct {
	cert *x509.Certificate
	key  crypto.Signer
}

// NewAuthority makes an authority with a fresh key at a time.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make the authority's key: %w", err)
	}
	template, err := newTemplate("cardamomring authority", now, authorityLife)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("sign the authority's certificate: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("read the authority's certificate: %w", err)
	}
	return &Authority{cert: cert, key: key}, nil
}

// ParseAuthority reads an authority's certificate and key.
func ParseAuthority(p Pair) (*Authority, error) {
	certDER, err := block(p.Cert, blockCert)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, fmt.Errorf("read the authority's certificate: %w", err)
	}
	keyDER, err := block(p.Key, blockKey)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(keyDER)
	if err != nil {
		return nil, fmt.Errorf("read the authority's key: %w", err)
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return nil, fmt.Errorf("the authority's key (%T) can't sign", key)
	}
	return &Authority{cert: cert, key: signer}, nil
}

// Pair returns the authority's certificate and key.
func (a *Authority) Pair() (Pair, error) { return encode(a.cert.Raw, a.key) }

// Issue signs a certificate for a name and its hosts, which are IP numbers or
// host names. It serves both sides of TLS.
func (a *Authority) Issue(name string, hosts []string, now time.Time) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("make the key of %s: %w", name, err)
	}
	template, err := newTemplate(name, now, certLife)
	if err != nil {
		return Pair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, host := range hosts {
		if ip := net.ParseIP(host); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
			continue
		}
		template.DNSNames = append(template.DNSNames, host)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return Pair{}, fmt.Errorf("sign the certificate of %s: %w", name, err)
	}
	return encode(der, key)
}

// newTemplate returns what all certificates share.
func newTemplate(name string, now time.Time, life time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("draw a serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(life),
	}, nil
}

// encode writes a certificate and its key as PEM.
func encode(certDER []byte, key crypto.Signer) (Pair, error) {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, fmt.Errorf("write the key: %w", err)
	}
	return Pair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: blockCert, Bytes: certDER}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: blockKey, Bytes: keyDER}),
	}, nil
}

// block returns the first PEM block, which must have a type.
func block(data []byte, kind string) ([]byte, error) {
	b, _ := pem.Decode(data)
	if b == nil || b.Type != kind {
		return nil, fmt.Errorf("want a PEM block %q", kind)
	}
	return b.Bytes, nil
}
