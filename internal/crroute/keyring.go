package crroute

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"cardamomring.dev/pkg/crdoc"
)

const (
	// secretLen is the length of a key file's secret, in bytes.
	secretLen = 32
	// keysMax is how many keys may be in use at once; an ID is below it.
	keysMax = 8
)

// Labels that tell apart the keys derived from one secret.
const (
	labelID       = "cardamomring connection id"
	labelEnvelope = "cardamomring envelope"
)

// Keyring holds the shared keys. The first one seals; all of them open. A
// new key is added behind the first on every process before it is moved to
// the front on any, and removed when no connection uses it any more. It is
// safe for concurrent use.
type Keyring struct {
	first   int
	secrets [keysMax][]byte
	ids     [keysMax]cipher.Block
	macs    [keysMax]cipher.Block
}

// LoadKeyring reads the key files of the settings, newest first.
func LoadKeyring(keys []crdoc.Key, read func(name string) ([]byte, error)) (*Keyring, error) {
	if len(keys) == 0 {
		return nil, errors.New("keys: name at least one key")
	}
	k := &Keyring{first: keys[0].ID}
	var errs []error
	for i, key := range keys {
		data, err := read(key.File)
		if err == nil {
			err = k.add(key.ID, strings.TrimSpace(string(data)))
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("keys[%d]: %w", i, err))
		}
	}
	return k, errors.Join(errs...)
}

// add takes one key from its hexadecimal text.
func (k *Keyring) add(id int, text string) error {
	if id < 0 || id >= keysMax {
		return fmt.Errorf("id %d: want 0 to %d", id, keysMax-1)
	}
	if k.secrets[id] != nil {
		return fmt.Errorf("id %d stands twice", id)
	}
	secret, err := hex.DecodeString(text)
	if err != nil || len(secret) != secretLen {
		return fmt.Errorf("id %d: want %d bytes in hexadecimal", id, secretLen)
	}
	k.secrets[id] = secret
	if k.ids[id], err = derivedBlock(secret, labelID); err != nil {
		return err
	}
	k.macs[id], err = derivedBlock(secret, labelEnvelope)
	return err
}

// Derive returns a key for another use, the same on every process whose
// first key is the same.
func (k *Keyring) Derive(label string) ([secretLen]byte, error) {
	var out [secretLen]byte
	key, err := hkdf.Key(sha256.New, k.secrets[k.first], nil, label, secretLen)
	if err != nil {
		return out, fmt.Errorf("derive %q: %w", label, err)
	}
	copy(out[:], key)
	return out, nil
}

// derivedBlock returns an AES-128 block cipher for one use of a secret.
func derivedBlock(secret []byte, label string) (cipher.Block, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, label, aes.BlockSize)
	if err != nil {
		return nil, fmt.Errorf("derive %q: %w", label, err)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, fmt.Errorf("cipher: %w", err)
	}
	return block, nil
}
