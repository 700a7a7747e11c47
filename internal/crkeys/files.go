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
	// secretBytes is the length of a secret.
	secretBytes = 32
	// modePrivate and modePublic are the modes of files.
	modePrivate = 0o600
	modePublic  = 0o644
	// modeFolder is the mode of a new folder.
	modeFolder = 0o700
	// authorityName is the file name of the authority, without its ending.
	authorityName = "ca"
)

// WriteAuthority makes an authority and writes ca.pem and ca-key.pem to a
// folder. It never overwrites.
func WriteAuthority(dir string, now time.Time) error {
	authority, err := NewAuthority(now)
	if err != nil {
		return err
	}
	pair, err := authority.Pair()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, modeFolder); err != nil {
		return fmt.Errorf("make the folder: %w", err)
	}
	return writePair(dir, authorityName, pair)
}

// WriteCert issues a certificate by a folder's authority and writes NAME.pem
// and NAME-key.pem there. It never overwrites.
func WriteCert(dir, name string, hosts []string, now time.Time) error {
	if name == authorityName || name != filepath.Base(name) {
		return fmt.Errorf("%q can't be the name of a certificate", name)
	}
	var pair Pair
	var err error
	certFile, keyFile := files(dir, authorityName)
	if pair.Cert, err = os.ReadFile(certFile); err != nil {
		return fmt.Errorf("read the authority: %w", err)
	}
	if pair.Key, err = os.ReadFile(keyFile); err != nil {
		return fmt.Errorf("read the authority: %w", err)
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

// NewSecret returns a fresh secret in the form of its file.
func NewSecret() []byte {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // never fails, see crypto/rand
	return []byte(hex.EncodeToString(secret) + "\n")
}

// WriteSecret writes a fresh secret. It never overwrites.
func WriteSecret(file string) error { return writeNew(file, NewSecret(), modePrivate) }

// files returns the names of a certificate's and a key's file.
func files(dir, name string) (cert, key string) {
	return filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem")
}

// writePair writes the key first: a certificate without its key is no use.
func writePair(dir, name string, p Pair) error {
	certFile, keyFile := files(dir, name)
	if _, err := os.Stat(certFile); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s stands already", certFile)
	}
	if err := writeNew(keyFile, p.Key, modePrivate); err != nil {
		return err
	}
	return writeNew(certFile, p.Cert, modePublic)
}

// writeNew writes a file that must not exist, and syncs it.
func writeNew(file string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if errors.Is(err, os.ErrExist) {
		return fmt.Errorf("%s stands already", file)
	}
	if err != nil {
		return fmt.Errorf("create: %w", err)
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	return nil
}
