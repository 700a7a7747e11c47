package crquorum

import "fmt"

// configAt is a configuration and the index of the entry that brought it.
type configAt struct {
	index  uint64
	config Config
}

// entryLog is the log in memory: a snapshot and the entries that are kept.
type entryLog struct {
	snap Snapshot
	// base and baseTerm are the index and term before the first entry;
	// base is at most snap.Index.
	base, baseTerm uint64
	entries        []Entry
	// handed is the last index given to the driver for syncing.
	handed uint64
	// configs are those of the snapshot and of later entries. Never empty.
	configs []configAt
}

// open fills the log from what was on disk.
func (l *entryLog) open(snap *Snapshot, entries []Entry) error {
	*l = entryLog{configs: []configAt{{}}}
	if snap != nil {
		l.snap = *snap
		l.base, l.baseTerm = snap.Index, snap.Term
		l.configs[0] = configAt{snap.Index, snap.Config}
	}
	if len(entries) > 0 && entries[0].Index <= l.snap.Index {
		l.base, l.baseTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	if len(entries) > 0 && entries[0].Index != l.base+1 {
		return fmt.Errorf("the log starts at %d, want %d", entries[0].Index, l.base+1)
	}
	if err := l.append(entries); err != nil {
		return err
	}
	if l.last() < l.snap.Index {
		return fmt.Errorf("the log ends at %d, before the snapshot at %d", l.last(), l.snap.Index)
	}
	l.handed = l.last()
	return nil
}

func (l *entryLog) last() uint64     { return l.base + uint64(len(l.entries)) }
func (l *entryLog) lastTerm() uint64 { t, _ := l.term(l.last()); return t }

// config is the latest configuration in the log, committed or not.
func (l *entryLog) config() Config { return l.configs[len(l.configs)-1].config }

// configIndex is the index of the latest configuration.
func (l *entryLog) configIndex() uint64 { return l.configs[len(l.configs)-1].index }

// term returns the term of an entry; false when the log doesn't hold it.
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

// between returns the entries after lo up to hi, sharing memory.
func (l *entryLog) between(lo, hi uint64) []Entry {
	if lo >= hi {
		return nil
	}
	return l.entries[lo-l.base : hi-l.base : hi-l.base]
}

// append adds entries that follow the last one.
func (l *entryLog) append(entries []Entry) error {
	for _, e := range entries {
		if e.Index != l.last()+1 {
			return fmt.Errorf("entry %d follows entry %d", e.Index, l.last())
		}
		l.entries = append(l.entries, e)
		if e.Kind != EntryConfig || e.Index <= l.snap.Index {
			continue
		}
		c, err := decodeConfig(e.Data)
		if err != nil {
			return fmt.Errorf("entry %d: %w", e.Index, err)
		}
		l.configs = append(l.configs, configAt{e.Index, c})
	}
	return nil
}

// truncate removes the entries from index on.
func (l *entryLog) truncate(index uint64) {
	keep := l.entries[:index-l.base-1]
	l.entries = keep[:len(keep):len(keep)]
	l.handed = min(l.handed, index-1)
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= index {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// compact takes a snapshot at index and keeps that many entries before it.
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

// restore replaces the whole log by a snapshot.
func (l *entryLog) restore(snap Snapshot) {
	*l = entryLog{
		snap: snap, base: snap.Index, baseTerm: snap.Term, handed: snap.Index,
		configs: []configAt{{snap.Index, snap.Config}},
	}
}

// agree returns the highest index at most index whose term is at most term:
// two logs can't agree above it.
func (l *entryLog) agree(index, term uint64) (uint64, uint64) {
	for index = min(index, l.last()); index > l.base; index-- {
		if t, _ := l.term(index); t <= term {
			return index, t
		}
	}
	return index, l.baseTerm
}
