package crkeys

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	// secretBytes is the length of a secret before its encoding.
	secretBytes     = 32
	privateFileMode = 0o600
	publicFileMode  = 0o644
	dirMode         = 0o700
	// authorityName is the base of the file names of the authority.
	authorityName = "ca"
)

// WriteAuthority generates an authority and writes ca.pem and ca-key.pem to dir,
// which it creates if necessary. It never overwrites a file.
func WriteAuthority(dir string, now time.Time) error {
	authority, err := NewAuthority(now)
	if err != nil {
		return err
	}
	pair, err := authority.Pair()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	return writePair(dir, authorityName, pair)
}

// WriteCert issues a certificate signed by the authority in dir and writes
// NAME.pem and NAME-key.pem to dir. It never overwrites a file.
func WriteCert(dir, name string, hosts []string, now time.Time) error {
	if name == authorityName || name != filepath.Base(name) {
		return fmt.Errorf("%q is not a valid certificate name", name)
	}
	var pair Pair
	var err error
	certFile, keyFile := pairFiles(dir, authorityName)
	if pair.Cert, err = os.ReadFile(certFile); err != nil {
		return fmt.Errorf("read certificate authority: %w", err)
	}
	if pair.Key, err = os.ReadFile(keyFile); err != nil {
		return fmt.Errorf("read certificate authority: %w", err)
	}
	authority, err := ParseAuthority(pair)
	if err != nil {
		return err
	}
	issued, err := authority.Issue(name, hosts, now)
	if err != nil {
		return err
	}
	return writePair(dir, name, issued)
}

// NewSecret returns a new random secret in the format of a secret file.
func NewSecret() []byte {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // never fails, see crypto/rand
	return []byte(hex.EncodeToString(secret) + "\n")
}

// WriteSecret writes a new random secret to a file. It never overwrites a file.
func WriteSecret(file string) error { return writeNew(file, NewSecret(), privateFileMode) }

// pairFiles returns the file names of a certificate and its key.
func pairFiles(dir, name string) (cert, key string) {
	return filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem")
}

// writePair writes a key and its certificate. The key comes first, as a certificate
// without its key is useless.
func writePair(dir, name string, p Pair) error {
	certFile, keyFile := pairFiles(dir, name)
	if _, err := os.Stat(certFile); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s stands already", certFile)
	}
	if err := writeNew(keyFile, p.Key, privateFileMode); err != nil {
		return err
	}
	return writeNew(certFile, p.Cert, publicFileMode)
}

// writeNew creates a file, writes data to it and syncs it. It returns an error if
// the file exists.
func writeNew(file string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if errors.Is(err, os.ErrExist) {
		return fmt.Errorf("%s stands already", file)
	}
	if err != nil {
		return fmt.Errorf("create file: %w", err)
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	return nil
}
