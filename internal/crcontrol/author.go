package crcontrol

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"
)

const (
	headerAuthorization = "Authorization"
	// headerOperator is the name that a client gives where control admits
	// every operator.
	headerOperator = "Cr-Operator"
	// unverified marks an author that nothing proved.
	unverified = " (unverified)"
)

// errDenied refuses an operator without credentials.
var errDenied = errors.New("no operator's token or certificate")

// author returns who sent a change, from the credentials alone.
func (c *Control) author(r *http.Request) (string, error) {
	tokens := c.Settings.Replica.Tokens
	if name, ok := tokenOwner(tokens, r.Header.Get(headerAuthorization)); ok {
		return name, nil
	}
	if len(tokens) > 0 {
		return "", errDenied
	}
	name := r.Header.Get(headerForwarded)
	if name != "" {
		return name, nil
	}
	name = r.Header.Get(headerOperator)
	if name == "" || len(name) > nameMax {
		name = "anonymous"
	}
	return name + unverified, nil
}

// tokenOwner returns the operator whose token the header holds.
func tokenOwner(tokens map[string]string, header string) (string, bool) {
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	given := []byte(hex.EncodeToString(sum[:]))
	owner, found := "", false
	for name, want := range tokens {
		if subtle.ConstantTimeCompare(given, []byte(strings.ToLower(want))) == 1 {
			owner, found = name, true
		}
	}
	return owner, found
}
