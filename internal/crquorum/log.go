package crquorum

import (
	"fmt"
	"slices"
)

// indexedConfig is a configuration and the index of its entry or snapshot.
type indexedConfig struct {
	index  uint64
	config Config
}

// entryLog is the log in memory: the last snapshot and the entries that haven't
// been compacted.
type entryLog struct {
	snap Snapshot
	// base and baseTerm are the index and term of the entry before entries[0].
	// base is at most snap.Index.
	base, baseTerm uint64
	entries        []Entry
	// lastTaken is the last index that Take has returned for syncing.
	lastTaken uint64
	// configs are the configurations of the snapshot and of later entries,
	// oldest first. Never empty.
	configs []indexedConfig
}

// open initializes the log with the state read from disk.
func (l *entryLog) open(snap *Snapshot, entries []Entry) error {
	*l = entryLog{configs: []indexedConfig{{}}}
	if snap != nil {
		l.snap = *snap
		l.base, l.baseTerm = snap.Index, snap.Term
		l.configs[0] = indexedConfig{snap.Index, snap.Config}
	}
	if len(entries) > 0 && entries[0].Index <= l.snap.Index {
		l.base, l.baseTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	if len(entries) > 0 && entries[0].Index != l.base+1 {
		return fmt.Errorf("log starts at entry %d, want %d", entries[0].Index, l.base+1)
	}
	if err := l.append(entries); err != nil {
		return err
	}
	if l.last() < l.snap.Index {
		return fmt.Errorf("log ends at entry %d, before its snapshot at %d", l.last(), l.snap.Index)
	}
	l.lastTaken = l.last()
	return nil
}

func (l *entryLog) last() uint64     { return l.base + uint64(len(l.entries)) }
func (l *entryLog) lastTerm() uint64 { t, _ := l.term(l.last()); return t }

// config returns the latest configuration in the log, committed or not.
func (l *entryLog) config() Config { return l.configs[len(l.configs)-1].config }

// configIndex returns the index of the latest configuration.
func (l *entryLog) configIndex() uint64 { return l.configs[len(l.configs)-1].index }

// configAt returns the latest configuration up to index, empty if there is none.
func (l *entryLog) configAt(index uint64) indexedConfig {
	for _, c := range slices.Backward(l.configs) {
		if c.index <= index {
			return c
		}
	}
	return indexedConfig{}
}

// term returns the term of the entry at index; false if it isn't in the log.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index == l.snap.Index && index > 0:
		return l.snap.Term, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// between returns the entries in (lo, hi] without copying them.
func (l *entryLog) between(lo, hi uint64) []Entry {
	if lo >= hi {
		return nil
	}
	return l.entries[lo-l.base : hi-l.base : hi-l.base]
}

// append appends entries; the first must directly follow the last one in the
// log.
func (l *entryLog) append(entries []Entry) error {
	for _, e := range entries {
		if e.Index != l.last()+1 {
			return fmt.Errorf("gap in the log: entry %d follows entry %d", e.Index, l.last())
		}
		l.entries = append(l.entries, e)
		if e.Kind != EntryConfig || e.Index <= l.snap.Index {
			continue
		}
		c, err := decodeConfig(e.Data)
		if err != nil {
			return fmt.Errorf("entry %d: %w", e.Index, err)
		}
		l.configs = append(l.configs, indexedConfig{e.Index, c})
	}
	return nil
}

// truncate removes the entry at index and all later ones.
func (l *entryLog) truncate(index uint64) {
	keep := l.entries[:index-l.base-1]
	l.entries = keep[:len(keep):len(keep)]
	l.lastTaken = min(l.lastTaken, index-1)
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= index {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// compact replaces the snapshot by one at index with the given data. It removes
// the entries up to index except for the last keep ones.
func (l *entryLog) compact(index uint64, data []byte, keep uint64) {
	term, _ := l.term(index)
	for len(l.configs) > 1 && l.configs[1].index <= index {
		l.configs = l.configs[1:]
	}
	l.snap = Snapshot{Index: index, Term: term, Config: l.configs[0].config, Data: data}
	base := l.base
	if index > keep {
		base = max(base, index-keep)
	}
	baseTerm, _ := l.term(base)
	l.entries = append([]Entry(nil), l.entries[base-l.base:]...)
	l.base, l.baseTerm = base, baseTerm
}

// restore replaces the whole log by a snapshot from the leader.
func (l *entryLog) restore(snap Snapshot) {
	*l = entryLog{
		snap: snap, base: snap.Index, baseTerm: snap.Term, lastTaken: snap.Index,
		configs: []indexedConfig{{snap.Index, snap.Config}},
	}
}

// findConflictByTerm returns the highest index up to index whose term is at most
// term, and its term. A log with an entry of that index and term can't match
// this log above the returned index.
func (l *entryLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	for index = min(index, l.last()); index > l.base; index-- {
		if t, _ := l.term(index); t <= term {
			return index, t
		}
	}
	return index, l.baseTerm
}
