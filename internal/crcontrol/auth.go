package crcontrol

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
)

const (
	headerAuthorization = "Authorization"
	// headerOperator is the header with the operator's name. It is used only
	// where control admits every operator.
	headerOperator = "Cr-Operator"
	// unverified is appended to the name of an author who is not authenticated.
	unverified = " (unverified)"
	// operatorPrefix is the prefix of the common name in an operator's
	// certificate. Any other certificate of the authority belongs to a process.
	operatorPrefix = "operator."
)

// errDenied is returned for an operator without valid credentials.
var errDenied = errors.New("no operator's token or certificate")

// author returns the author of a change. If tokens or TLS are configured, the author
// must be authenticated. Otherwise the name in headerOperator is used and marked as
// unverified.
func (c *Control) author(r *http.Request) (string, error) {
	if name, ok := certOwner(r); ok {
		return name, nil
	}
	tokens := c.Settings.Replica.Tokens
	if name, ok := tokenOwner(tokens, r.Header.Get(headerAuthorization)); ok {
		return name, nil
	}
	if len(tokens) > 0 || c.Settings.TLS != nil {
		return "", errDenied
	}
	name := r.Header.Get(headerOperator)
	if name == "" || len(name) > maxTextBytes {
		name = "anonymous"
	}
	return name + unverified, nil
}

// forProcesses restricts a handler to processes of the system.
func (c *Control) forProcesses(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if c.Settings.TLS != nil && !isProcess(r) {
			c.deny(w, "a certificate of a process is required")
			return
		}
		next(w, r)
	}
}

// forReaders restricts a handler to processes of the system and operators.
func (c *Control) forReaders(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if c.Settings.TLS != nil && !isProcess(r) {
			if _, err := c.author(r); err != nil {
				c.deny(w, err.Error())
				return
			}
		}
		next(w, r)
	}
}

// deny rejects a call because of its credentials.
func (c *Control) deny(w http.ResponseWriter, text string) {
	c.metrics.deniedCalls.Inc()
	crnet.WriteJSON(w, http.StatusForbidden, crwire.Unavailable{Text: text})
}

// isProcess reports whether the caller has authenticated with the certificate of
// a process.
func isProcess(r *http.Request) bool {
	_, operator := certOwner(r)
	return r.TLS != nil && len(r.TLS.VerifiedChains) > 0 && !operator
}

// certOwner returns the name of the operator if the caller has authenticated with
// an operator's certificate.
func certOwner(r *http.Request) (string, bool) {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return "", false
	}
	return strings.CutPrefix(r.TLS.VerifiedChains[0][0].Subject.CommonName, operatorPrefix)
}

// tokenOwner returns the name of the operator to whom the token in the header
// belongs; tokens maps names to SHA-256 sums of tokens in hex.
func tokenOwner(tokens map[string]string, header string) (string, bool) {
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	got := []byte(hex.EncodeToString(sum[:]))
	owner, found := "", false
	for name, want := range tokens {
		if subtle.ConstantTimeCompare(got, []byte(strings.ToLower(want))) == 1 {
			owner, found = name, true
		}
	}
	return owner, found
}
