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
	// keysMax is the maximum number of keys in use at once. Key IDs are below
	// it.
	keysMax = 8
)

// Labels for deriving separate keys from one secret.
const (
	labelID       = "cardamomring connection id"
	labelEnvelope = "cardamomring envelope"
)

// Keyring holds the keys that all processes share. The primary key, the first
// in the settings, seals; every key opens. To rotate keys, append the new key on
// every process before moving it to the front on any of them, and remove the old
// key when no connection uses it any more. A Keyring is safe for concurrent use.
type Keyring struct {
	primary int
	secrets [keysMax][]byte
	ids     [keysMax]cipher.Block
	macs    [keysMax]cipher.Block
}

// LoadKeyring loads the key files listed in the settings. The first key is the
// primary key.
func LoadKeyring(keys []crdoc.Key, read func(name string) ([]byte, error)) (*Keyring, error) {
	if len(keys) == 0 {
		return nil, errors.New("keys: at least one key is required")
	}
	k := &Keyring{primary: keys[0].ID}
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

// add adds the key with the given ID, whose secret is given in hexadecimal.
func (k *Keyring) add(id int, text string) error {
	if id < 0 || id >= keysMax {
		return fmt.Errorf("id %d: want 0 to %d", id, keysMax-1)
	}
	if k.secrets[id] != nil {
		return fmt.Errorf("id %d is used twice", id)
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

// Derive derives a key from the primary key for the use named by label.
// Processes with the same primary key derive the same key.
func (k *Keyring) Derive(label string) ([secretLen]byte, error) {
	var out [secretLen]byte
	key, err := hkdf.Key(sha256.New, k.secrets[k.primary], nil, label, secretLen)
	if err != nil {
		return out, fmt.Errorf("derive %q: %w", label, err)
	}
	copy(out[:], key)
	return out, nil
}

// derivedBlock returns the AES-128 cipher whose key is derived from a secret
// and a label.
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
