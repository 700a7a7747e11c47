package main

import "time"

// plannedLead is how long the new instance runs before the old one is stopped; site
// files name up to 2 s.
const plannedLead = 2 * time.Second

// startCore starts three control instances and sends the first configuration.
func startCore(f *fleet) ([]*machine, *operator) {
	var core []*machine
	for i, zone := range []string{"z-a", "z-b", "z-c"} {
		m := f.addMachine("control", zone, 10+i)
		m.bootstrap = true
		core = append(core, m)
	}
	f.seeds = core
	for _, m := range core {
		if err := m.start(); err != nil {
			f.note("start: %v", err)
			return nil, nil
		}
	}
	op := &operator{f: f, list: core}
	if op.put(1, config(1, "non_idempotent"), 2*ackTime) == nil {
		f.note("the first configuration isn't acknowledged")
		return nil, nil
	}
	return core, op
}

// playReplacedCore replaces a control instance as planned: an empty one at another
// address starts first, then the old one gets SIGTERM and is gone for good. When the new
// one has had catch_up_s, another instance loses its disk right after it has acknowledged
// a configuration. TROUBLE=replace and TROUBLE=wipe play one of the two alone.
func playReplacedCore(f *fleet) int {
	core, op := startCore(f)
	if core == nil {
		return exitNotRun
	}
	time.Sleep(contactTime + catchUpTime)
	running := core
	if f.trouble == "1" || f.trouble == "replace" {
		successor := f.addMachine("control", core[0].zone, 20)
		if err := successor.start(); err != nil {
			f.note("start: %v", err)
			return exitNotRun
		}
		caughtUp := time.Now().Add(catchUpTime)
		time.Sleep(plannedLead)
		go func() {
			core[0].stop()
			f.note("%s is gone for good", core[0].name)
		}()
		running = []*machine{core[1], core[2], successor}
		op.list, op.next = running, 0
		time.Sleep(time.Until(caughtUp))
		f.note("%s has run for catch_up_s", successor.name)
	}
	taker := op.put(2, config(2, "non_idempotent"), 2*ackTime)
	if taker == nil {
		f.note("version 2 isn't acknowledged")
		return exitNotRun
	}
	f.note("version 2 is acknowledged by %s", taker.name)
	if f.trouble == "1" || f.trouble == "wipe" {
		if err := taker.wipe(darkTime); err != nil {
			f.note("wipe: %v", err)
			return exitNotRun
		}
	}
	f.note("all machines run and reach each other")
	defer noteRemovals(f, running)
	return readBack(f, op, 2)
}

// readBack checks that an acknowledged version can be read back after recovery_s.
func readBack(f *fleet, op *operator, version int) int {
	time.Sleep(recoveryTime)
	if got := op.read(2 * recoveryTime); got >= version {
		f.note("version %d is read back", got)
		return exitHeld
	}
	f.note("RULE BROKEN: version %d was acknowledged and can't be read back %s after all machines were back", version, 3*recoveryTime)
	f.note("the next configuration is sent to see whether the instances still take any")
	if op.put(version+1, config(version+1, "non_idempotent"), recoveryTime) == nil {
		f.note("it isn't acknowledged either")
	}
	return exitBroken
}

// noteRemovals notes when the instances removed another one from the group.
func noteRemovals(f *fleet, running []*machine) {
	for _, m := range running {
		for _, line := range m.logs("removed unreachable instance") {
			f.note("log of %s: %s", m.name, line)
		}
	}
}
