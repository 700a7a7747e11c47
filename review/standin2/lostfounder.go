package main

import "time"

const (
	// founderLife is how long the machine runs that is lost at the first start.
	founderLife = 100 * time.Millisecond
	// successorDelay is when its successor comes; site files name up to 2 s.
	successorDelay = 2 * time.Second
)

// playLostFounder starts three control instances for the first time. One of them is lost
// for good as it starts; an empty machine at another address replaces it. The
// configuration must be acknowledged within ack_ms of a stable core.
func playLostFounder(f *fleet) int {
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
			return exitNotRun
		}
	}
	running := core
	if f.trouble == "1" {
		time.Sleep(founderLife)
		f.note("%s loses power and is gone for good", core[0].name)
		core[0].kill()
		time.Sleep(successorDelay)
		successor := f.addMachine("control", core[0].zone, 20)
		if err := successor.start(); err != nil {
			f.note("start: %v", err)
			return exitNotRun
		}
		running = []*machine{core[1], core[2], successor}
	}
	op := &operator{f: f, list: running}
	if op.put(1, config(1, "non_idempotent"), contactTime+catchUpTime+10*ackTime) != nil {
		f.note("the first configuration is acknowledged")
		return exitHeld
	}
	f.note("RULE BROKEN: three of three control instances run and reach each other, and a valid configuration isn't acknowledged for %s", contactTime+catchUpTime+10*ackTime)
	return exitBroken
}
