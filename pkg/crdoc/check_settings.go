package crdoc

import (
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"maps"
	"slices"
	"strings"
)

const (
	// keyBytes is the length of a Key's secret.
	keyBytes = 32
	// keyMax is the largest Key ID.
	keyMax = 7
	// mtuLow and mtuHigh bound MTU, in bytes: QUIC needs 1,200 in each
	// datagram, and a datagram is at most 65,535.
	mtuLow  = 1280
	mtuHigh = 65535
	// digestChars is the length of a SHA-256 digest in hexadecimal.
	digestChars = 64
)

// logLevels are the levels of a log; empty means info.
var logLevels = []string{"", "debug", "info", "warn", "error"}

// Role is what a process does.
type Role int

const (
	// RoleBalancer forwards datagrams and requests to agents.
	RoleBalancer Role = iota
	// RoleAgent runs requests on a backend server.
	RoleAgent
	// RoleControl holds the configuration.
	RoleControl
)

// Check returns everything wrong with the settings.
func (s *Settings) Check() Findings {
	var f Findings
	checkName(&f, "name", s.Name)
	if len(s.Zones) == 0 {
		f.Add("zones", "name every availability zone of the system")
	}
	checkList(&f, "zones", s.Zones, func(place, zone string) { checkName(&f, place, zone) })
	checkZone(&f, "zone", s.Zone, s.Zones)
	if s.Admin != "" {
		checkAddress(&f, "admin", s.Admin, 0)
	}
	if !slices.Contains(logLevels, s.Log.Level) {
		f.Add("log.level", "%q: want debug, info, warn or error", s.Log.Level)
	}
	checkList(&f, "control", s.Control, func(place, address string) { checkAddress(&f, place, address, 1) })
	if s.MTU != 0 && (s.MTU < mtuLow || s.MTU > mtuHigh) {
		f.Add("mtu", "must be from %d to %d bytes, is %d", mtuLow, mtuHigh, s.MTU)
	}
	s.checkKeys(&f)
	s.checkSections(&f)
	s.checkListeners(&f)
	return f
}

// CheckRole returns what a process needs to start as a role.
func (s *Settings) CheckRole(role Role) Findings {
	var f Findings
	section, present := "replica", s.Replica != nil
	switch role {
	case RoleBalancer:
		section, present = "balancer", s.Balancer != nil
	case RoleAgent:
		section, present = "agent", s.Agent != nil
	case RoleControl:
	}
	if !present {
		f.Add(section, "the section of this role is missing")
	}
	return f
}

// CheckFiles returns what is wrong with the files that the settings name.
func (s *Settings) CheckFiles(read func(file string) ([]byte, error)) Findings {
	var f Findings
	for i, key := range s.Keys {
		place := fmt.Sprintf("keys[%d].file", i)
		if data, ok := readFile(&f, place, key.File, read); ok {
			if _, err := ParseKey(data); err != nil {
				f.Add(place, "%s: %v", key.File, err)
			}
		}
	}
	if s.TLS != nil {
		checkPEM(&f, "tls.cert", s.TLS.Cert, read)
		checkPEM(&f, "tls.key", s.TLS.Key, read)
		checkPEM(&f, "tls.ca", s.TLS.CA, read)
	}
	if s.Agent != nil && s.Agent.Cert != "" {
		checkPEM(&f, "agent.cert", s.Agent.Cert, read)
		checkPEM(&f, "agent.key", s.Agent.Key, read)
	}
	return f
}

// ParseKey reads the content of a Key's file.
func ParseKey(data []byte) ([]byte, error) {
	secret, err := hex.DecodeString(strings.TrimSpace(string(data)))
	if err != nil || len(secret) != keyBytes {
		return nil, fmt.Errorf("want %d bytes in hexadecimal", keyBytes)
	}
	return secret, nil
}

// checkPEM reports a file that can't be read or holds no PEM block.
func checkPEM(f *Findings, place, file string, read func(file string) ([]byte, error)) {
	if data, ok := readFile(f, place, file, read); ok {
		if block, _ := pem.Decode(data); block == nil {
			f.Add(place, "%s: holds no PEM block", file)
		}
	}
}

// readFile reads a file and reports why it can't.
func readFile(f *Findings, place, file string, read func(file string) ([]byte, error)) ([]byte, bool) {
	if file == "" {
		f.Add(place, "is missing")
		return nil, false
	}
	data, err := read(file)
	if err != nil {
		f.Add(place, "%v", err)
		return nil, false
	}
	return data, true
}

// checkKeys reports keys that can't be told apart.
func (s *Settings) checkKeys(f *Findings) {
	seen := map[int]string{}
	for i, key := range s.Keys {
		place := fmt.Sprintf("keys[%d].id", i)
		if key.ID < 0 || key.ID > keyMax {
			f.Add(place, "must be from 0 to %d, is %d", keyMax, key.ID)
		}
		if first, ok := seen[key.ID]; ok {
			f.Add(place, "stands twice: the same as %s", first)
			continue
		}
		seen[key.ID] = place
	}
}

// checkSections reports what is wrong within the roles' sections.
func (s *Settings) checkSections(f *Findings) {
	if s.Balancer == nil && s.Agent == nil && s.Replica == nil {
		f.Add("", "name at least one section: balancer, agent or replica")
	}
	if s.Balancer != nil {
		s.Balancer.check(f)
	}
	if s.Agent != nil {
		s.Agent.check(f)
	}
	if s.Replica != nil {
		s.Replica.check(f)
	}
	if (s.Balancer != nil || s.Agent != nil) && len(s.Control) == 0 {
		f.Add("control", "name at least one control instance")
	}
	if len(s.Keys) == 0 && (s.Balancer != nil && s.Balancer.Datagrams || s.Agent != nil && s.Agent.Datagram != "") {
		f.Add("keys", "datagrams need at least one key")
	}
}

// check reports what is wrong in the section of a balancer.
func (b *Balancer) check(f *Findings) {
	checkAddress(f, "balancer.http", b.HTTP, 0)
	if b.Return != "" {
		checkAddress(f, "balancer.return", b.Return, 0)
	}
	for _, address := range slices.Sorted(maps.Keys(b.Listen)) {
		place := fmt.Sprintf("balancer.listen[%q]", address)
		checkAddress(f, place, address, 1)
		checkAddress(f, place, b.Listen[address], 0)
	}
}

// check reports what is wrong in the section of an agent.
func (a *Agent) check(f *Findings) {
	checkName(f, "agent.service", a.Service)
	if a.Host == "" {
		f.Add("agent.host", "is missing")
	}
	checkAddress(f, "agent.backend", a.Backend, 1)
	checkAddress(f, "agent.run", a.Run, 0)
	if a.Datagram != "" {
		checkAddress(f, "agent.datagram", a.Datagram, 0)
	}
	if a.Weight < 1 {
		f.Add("agent.weight", "must be at least 1, is %d", a.Weight)
	}
	if (a.Cert == "") != (a.Key == "") {
		f.Add("agent.cert", "cert and key go together")
	}
}

// check reports what is wrong in the section of a control instance.
func (r *Replica) check(f *Findings) {
	if r.ID < 1 {
		f.Add("replica.id", "must be at least 1")
	}
	checkAddress(f, "replica.listen", r.Listen, 0)
	if r.Data == "" {
		f.Add("replica.data", "is missing")
	}
	if _, ok := r.Members[r.ID]; !ok {
		f.Add("replica.members", "instance %d itself is not a member", r.ID)
	}
	seen := map[string]string{}
	for _, id := range slices.Sorted(maps.Keys(r.Members)) {
		place := fmt.Sprintf(`replica.members["%d"]`, id)
		checkAddress(f, place, r.Members[id], 0)
		unique(f, seen, r.Members[id], place)
	}
	if r.Lease < 0 {
		f.Add("replica.lease", "must not be negative")
	}
	for _, name := range slices.Sorted(maps.Keys(r.Tokens)) {
		digest := r.Tokens[name]
		if _, err := hex.DecodeString(digest); err != nil || len(digest) != digestChars {
			f.Add(fmt.Sprintf("replica.tokens[%q]", name), "want a SHA-256 digest in hexadecimal")
		}
	}
}

// checkListeners reports two listeners of the process on one TCP address.
func (s *Settings) checkListeners(f *Findings) {
	seen := map[string]string{}
	listen := func(place, address string) {
		if !strings.HasSuffix(address, ":0") {
			unique(f, seen, address, place)
		}
	}
	listen("admin", s.Admin)
	if s.Balancer != nil {
		listen("balancer.http", s.Balancer.HTTP)
	}
	if s.Agent != nil {
		listen("agent.run", s.Agent.Run)
	}
	if s.Replica != nil {
		listen("replica.listen", s.Replica.Listen)
	}
}
