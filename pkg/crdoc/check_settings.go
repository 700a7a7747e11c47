package crdoc

import (
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"slices"
	"strings"
)

const (
	// keyLen is the length of a Key's secret, in bytes.
	keyLen = 32
	// maxKeyID is the largest Key ID.
	maxKeyID = 7
	// minMTU and maxMTU bound MTU, in bytes: QUIC needs datagrams of 1,200
	// bytes, and a datagram has at most 65,535.
	minMTU = 1280
	maxMTU = 65535
)

// logLevels lists the valid log levels; empty means info.
var logLevels = []string{"", "debug", "info", "warn", "error"}

// Role is the function of a process in the system.
type Role int

const (
	// RoleBalancer forwards datagrams and requests to agents.
	RoleBalancer Role = iota
	// RoleAgent runs requests on a backend server.
	RoleAgent
	// RoleControl holds the configuration.
	RoleControl
)

// Check returns all findings of the settings. It reads no files; see CheckFiles.
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
	if s.MTU != 0 && (s.MTU < minMTU || s.MTU > maxMTU) {
		f.Add("mtu", "must be from %d to %d bytes, is %d", minMTU, maxMTU, s.MTU)
	}
	s.checkKeys(&f)
	s.checkSections(&f)
	s.checkListeners(&f)
	return f
}

// CheckRole reports a missing section of the role that the process is to start as.
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

// CheckFiles reports files named in the settings that can't be read or have the
// wrong content: keys that aren't 32 bytes in hexadecimal, and certificates
// without a PEM block. read returns the content of a file.
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

// ParseKey returns the secret of a key file: 32 bytes, written in hexadecimal.
// It fails for any other content.
func ParseKey(data []byte) ([]byte, error) {
	secret, err := hex.DecodeString(strings.TrimSpace(string(data)))
	if err != nil || len(secret) != keyLen {
		return nil, fmt.Errorf("want %d bytes in hexadecimal", keyLen)
	}
	return secret, nil
}

// checkPEM reports a file that can't be read or has no PEM block.
func checkPEM(f *Findings, place, file string, read func(file string) ([]byte, error)) {
	if data, ok := readFile(f, place, file, read); ok {
		if block, _ := pem.Decode(data); block == nil {
			f.Add(place, "%s: holds no PEM block", file)
		}
	}
}

// readFile reads a file, and reports a missing name or a failed read.
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

// checkKeys reports key IDs that are out of range or not unique.
func (s *Settings) checkKeys(f *Findings) {
	seen := map[int]string{}
	for i, key := range s.Keys {
		place := fmt.Sprintf("keys[%d].id", i)
		if key.ID < 0 || key.ID > maxKeyID {
			f.Add(place, "must be from 0 to %d, is %d", maxKeyID, key.ID)
		}
		if first, ok := seen[key.ID]; ok {
			f.Add(place, "stands twice: the same as %s", first)
			continue
		}
		seen[key.ID] = place
	}
}
