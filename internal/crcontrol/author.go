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
	// headerOperator is the name that a client gives where control admits
	// every operator.
	headerOperator = "Cr-Operator"
	// unverified marks an author that nothing proved.
	unverified = " (unverified)"
	// operatorPrefix begins the common name of an operator's certificate.
	// Any other certificate of the authority is a process's.
	operatorPrefix = "operator."
)

// errDenied refuses an operator without credentials.
var errDenied = errors.New("no operator's token or certificate")

// author returns who sent a change, from the credentials alone.
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
	if name == "" || len(name) > nameMax {
		name = "anonymous"
	}
	return name + unverified, nil
}

// forProcesses lets only the system's own processes through.
func (c *Control) forProcesses(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if c.Settings.TLS != nil && !isProcess(r) {
			c.deny(w, "a process's certificate is needed")
			return
		}
		next(w, r)
	}
}

// forReaders lets processes and operators through.
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

// deny refuses a call for its credentials.
func (c *Control) deny(w http.ResponseWriter, text string) {
	c.metrics.denied.Inc()
	crnet.WriteJSON(w, http.StatusForbidden, crwire.Unavailable{Text: text})
}

// isProcess reports whether a process's certificate proves the caller.
func isProcess(r *http.Request) bool {
	_, operator := certOwner(r)
	return r.TLS != nil && len(r.TLS.VerifiedChains) > 0 && !operator
}

// certOwner returns the operator whose certificate proves the caller.
func certOwner(r *http.Request) (string, bool) {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return "", false
	}
	return strings.CutPrefix(r.TLS.VerifiedChains[0][0].Subject.CommonName, operatorPrefix)
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
