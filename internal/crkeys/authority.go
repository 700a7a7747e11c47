// Package crkeys generates the credentials of processes: a certificate authority,
// certificates signed by it, and the secrets that seal connection IDs.
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
	// authorityValidity is the validity period of a new authority.
	authorityValidity = 10 * 365 * 24 * time.Hour
	// certValidity is the validity period of an issued certificate.
	certValidity = 397 * 24 * time.Hour
	// clockSkew is subtracted from the start of the validity period, for machines
	// whose clock is behind.
	clockSkew = time.Hour
	// serialBits is the length of a random serial number.
	serialBits = 127
)

// PEM block types.
const (
	blockCert = "CERTIFICATE"
	blockKey  = "PRIVATE KEY"
)

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	Cert []byte
	Key  []byte
}

// Authority signs certificates.
type Authority struct {
	cert *x509.Certificate
	key  crypto.Signer
}

// NewAuthority generates an authority with a new key. The parameter now is the
// current time.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate the key of the authority: %w", err)
	}
	template, err := newTemplate("cardamomring authority", now, authorityValidity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("sign the certificate of the authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse the certificate of the authority: %w", err)
	}
	return &Authority{cert: cert, key: key}, nil
}

// ParseAuthority parses the certificate and the key of an authority.
func ParseAuthority(p Pair) (*Authority, error) {
	certDER, err := decodeBlock(p.Cert, blockCert)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, fmt.Errorf("parse the certificate of the authority: %w", err)
	}
	keyDER, err := decodeBlock(p.Key, blockKey)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(keyDER)
	if err != nil {
		return nil, fmt.Errorf("parse the key of the authority: %w", err)
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return nil, fmt.Errorf("key of the authority has type %T, which cannot sign", key)
	}
	return &Authority{cert: cert, key: signer}, nil
}

// Pair returns the certificate and the key of the authority.
func (a *Authority) Pair() (Pair, error) { return encodePair(a.cert.Raw, a.key) }

// Issue generates a key and signs a certificate for it. The parameter name is the
// common name, hosts are IP addresses or host names. The certificate is valid for
// TLS servers and clients.
func (a *Authority) Issue(name string, hosts []string, now time.Time) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("generate the key of %s: %w", name, err)
	}
	template, err := newTemplate(name, now, certValidity)
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
	return encodePair(der, key)
}

// newTemplate returns a template with the fields that all certificates share.
func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate a serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

// encodePair returns a certificate and its key in PEM.
func encodePair(certDER []byte, key crypto.Signer) (Pair, error) {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, fmt.Errorf("encode the key: %w", err)
	}
	return Pair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: blockCert, Bytes: certDER}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: blockKey, Bytes: keyDER}),
	}, nil
}

// decodeBlock returns the bytes of the first PEM block. It returns an error if the
// block is not of the given type.
func decodeBlock(data []byte, blockType string) ([]byte, error) {
	b, _ := pem.Decode(data)
	if b == nil || b.Type != blockType {
		return nil, fmt.Errorf("first PEM block is missing or not of type %q", blockType)
	}
	return b.Bytes, nil
}
