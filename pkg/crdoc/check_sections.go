package crdoc

import (
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// digestLen is the length of a SHA-256 digest in hexadecimal characters.
const digestLen = 64

// checkSections reports invalid fields of the roles' sections, and settings that
// a section present requires.
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
	if len(s.Keys) == 0 && (s.Balancer != nil && s.Balancer.Datagrams || s.Agent != nil && s.Agent.DatagramAddr != "") {
		f.Add("keys", "datagrams need at least one key")
	}
}

// check reports invalid fields of a balancer's section.
func (b *Balancer) check(f *Findings) {
	checkAddress(f, "balancer.http", b.HTTP, 0)
	if b.ReturnAddr != "" {
		checkAddress(f, "balancer.return", b.ReturnAddr, 0)
	}
	for _, address := range slices.Sorted(maps.Keys(b.Listen)) {
		place := fmt.Sprintf("balancer.listen[%q]", address)
		checkAddress(f, place, address, 1)
		checkAddress(f, place, b.Listen[address], 0)
	}
}

// check reports invalid fields of an agent's section.
func (a *Agent) check(f *Findings) {
	checkName(f, "agent.service", a.Service)
	if a.Host == "" {
		f.Add("agent.host", "is missing")
	}
	checkAddress(f, "agent.backend", a.Backend, 1)
	checkAddress(f, "agent.run", a.Listen, 0)
	if a.DatagramAddr != "" {
		checkAddress(f, "agent.datagram", a.DatagramAddr, 0)
	}
	if a.Weight < 1 {
		f.Add("agent.weight", "must be at least 1, is %d", a.Weight)
	}
	if a.Reply != ReplyBalancer {
		f.Add("agent.reply", "%s is not supported yet; want %s", a.Reply, ReplyBalancer)
	}
	if (a.Cert == "") != (a.Key == "") {
		f.Add("agent.cert", "cert and key must be set together")
	}
}

// check reports invalid fields of a control instance's section.
func (r *Replica) check(f *Findings) {
	if r.ID < 1 {
		f.Add("replica.id", "must be at least 1")
	}
	checkAddress(f, "replica.listen", r.Listen, 0)
	if r.DataDir == "" {
		f.Add("replica.data", "is missing")
	}
	if r.Address != "" {
		checkAddress(f, "replica.address", r.Address, 1)
	}
	if _, ok := r.Members[r.ID]; !ok {
		f.Add("replica.members", "instance %d itself is not a member", r.ID)
	}
	seen := map[string]string{}
	for _, id := range slices.Sorted(maps.Keys(r.Members)) {
		place := fmt.Sprintf(`replica.members["%d"]`, id)
		checkAddress(f, place, r.Members[id], 0)
		checkUnique(f, seen, r.Members[id], place)
	}
	if r.Lease < 0 {
		f.Add("replica.lease", "must not be negative")
	}
	for _, name := range slices.Sorted(maps.Keys(r.Tokens)) {
		digest := r.Tokens[name]
		if _, err := hex.DecodeString(digest); err != nil || len(digest) != digestLen {
			f.Add(fmt.Sprintf("replica.tokens[%q]", name), "want a SHA-256 digest in hexadecimal")
		}
	}
}

// checkListeners reports TCP addresses that two listeners of the process share.
func (s *Settings) checkListeners(f *Findings) {
	seen := map[string]string{}
	listen := func(place, address string) {
		if !strings.HasSuffix(address, ":0") {
			checkUnique(f, seen, address, place)
		}
	}
	listen("admin", s.Admin)
	if s.Balancer != nil {
		listen("balancer.http", s.Balancer.HTTP)
	}
	if s.Agent != nil {
		listen("agent.run", s.Agent.Listen)
	}
	if s.Replica != nil {
		listen("replica.listen", s.Replica.Listen)
	}
}
