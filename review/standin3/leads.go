package main

import (
	"fmt"
	"io"
	"strings"
)

// leads reports whether a control instance says that it leads.
func leads(o *operator, c *proc) bool {
	resp, err := o.client.Get(fmt.Sprintf("http://%s:%d/status", c.internal(), portInternal))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return strings.Contains(string(data), `"leading":true`)
}

// internal returns the address at which a control instance itself listens.
func (p *proc) internal() string {
	if p.bind != "" {
		return p.bind
	}
	return p.ip
}
