package cregress

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// pauseLimit is how long an upload keeps its turn without a packet: several
	// round trips within a region. openingLimit is the same before its first packet,
	// while it opens.
	pauseLimit, openingLimit = 50 * time.Millisecond, 150 * time.Millisecond
	// retention is how long an upload without packets is remembered.
	retention = 15 * time.Second
	// maxUploads limits the uploads that are remembered, at about 200 bytes each.
	maxUploads = 4096
	// turnMeans and turnWindows are what an upload may send in one turn while others
	// wait: so many times the mean upload, and at least so many windows.
	turnMeans, turnWindows = 2, 2
	// reserveShare is the share of a caller's time that is kept for an upload that is
	// late already. Until then those that can still be in time go first.
	reserveShare = 0.5
	// firstMeanWindows is the assumed size of an upload, in windows, before the
	// first one has ended, and meanWeight the weight of each that ends.
	firstMeanWindows = 2
	meanWeight       = 1.0 / 16
	// measureInterval is how long the rate that uploads get is measured, and
	// measureWeight the weight of each measurement.
	measureInterval, measureWeight = 500 * time.Millisecond, 0.25
)

// Verdict is a decision about an upload.
type Verdict int

const (
	// VerdictWait lets the upload wait before it is opened.
	VerdictWait Verdict = iota
	// VerdictOpen opens the upload now.
	VerdictOpen
	// VerdictTurn gives an open upload a turn.
	VerdictTurn
	// VerdictRefuse refuses the upload: it can't be carried before its caller gives
	// up.
	VerdictRefuse
)

// Request is an upload that a caller wants to open.
type Request struct {
	Flow Flow
	// ArrivedAt is when the caller began to open it, TargetAt when it expects the answer,
	// and GiveUpAt when it gives up.
	ArrivedAt, TargetAt, GiveUpAt time.Time
}

// Turns decides which uploads are open at once. When more callers upload at a crest of
// demand than the link carries, windows of all of them would wait on the link for
// longer than callers do before they send again, and all would be late. Only as many
// have a turn as the link carries without that. The others wait to be opened in the
// order of their callers' time left, where each further upload of a client account goes
// behind those of others, and those that are late already go behind those that aren't
// while they can. An upload that would time out while it opens is opened without a turn,
// and its packets wait. Set the exported fields before use. Turns is not safe for
// concurrent use.
type Turns struct {
	// Rate is what the link carries in a second, in bytes.
	Rate float64
	// WindowBytes is what a caller has under way at most, in bytes on the link.
	WindowBytes float64
	// QueueTime is how long packets may wait on the link without being sent again.
	QueueTime time.Duration
	// OpenLimit is how long after its arrival an upload is opened at the latest.
	OpenLimit time.Duration
	// AccountSpacing is by how much a further upload of a client account goes behind
	// those of other accounts.
	AccountSpacing time.Duration
	// Waits reports whether packets of a flow wait for the link.
	Waits func(Flow) bool

	uploads map[Flow]*upload
	// holders are the uploads with a turn, line those that wait for one, in order.
	holders, line []*upload
	// openAt is at or before the time when the next upload in line has to be opened.
	openAt time.Time
	// accounts counts the uploads of each client account.
	accounts map[netip.Addr]int
	// meanBytes is the average size of an upload on the link.
	meanBytes float64
	// carryRate is what uploads got of the link in a second while others waited.
	// sentBytes were sent since measuredAt, when uploads began to wait.
	carryRate, sentBytes float64
	measuredAt           time.Time
	// moved counts the uploads that came from other balancers.
	moved uint64
}

// upload is the state of an upload.
type upload struct {
	Request
	// order is the upload's place in line.
	order time.Time
	// opened is set once the upload may send, hasTurn while it has a turn, and queued
	// while it waits in line for one.
	opened, hasTurn, queued bool
	// fromStart is set if the opening was seen, so that bytes is the whole upload.
	fromStart bool
	// bytes were sent in all, turnBytes since the turn began.
	bytes, turnBytes float64
	lastPacketAt     time.Time
	// pauseAt is when the turn lapses without a further packet.
	pauseAt time.Time
}

// Init prepares the turns for use.
func (t *Turns) Init() {
	t.uploads, t.accounts = map[Flow]*upload{}, map[netip.Addr]int{}
	t.meanBytes, t.carryRate = firstMeanWindows*t.WindowBytes, t.Rate
}

// Places returns how many uploads have a turn at once.
func (t *Turns) Places() int {
	return max(1, int(t.Rate*t.QueueTime.Seconds()/t.WindowBytes))
}

// Arrive decides about a new upload.
func (t *Turns) Arrive(now time.Time, r Request) Verdict {
	t.end(r.Flow)
	t.lapse(now)
	u := t.newUpload(now, r)
	verdict := t.judge(now, u)
	switch verdict {
	case VerdictOpen:
		t.add(u)
		t.grant(now, u)
	case VerdictWait:
		t.add(u)
		t.enqueue(u)
	}
	return verdict
}

// Foresee returns what Arrive would decide about an upload. It changes nothing, so that
// turns that lapse now still count.
func (t *Turns) Foresee(now time.Time, r Request) Verdict {
	return t.judge(now, t.newUpload(now, r))
}

// newUpload returns an upload that begins.
func (t *Turns) newUpload(now time.Time, r Request) *upload {
	return &upload{
		Request: r, fromStart: true, lastPacketAt: now,
		order: r.GiveUpAt.Add(time.Duration(t.accounts[r.Flow.Caller.Addr()]) * t.AccountSpacing),
	}
}

// judge decides about a new upload.
func (t *Turns) judge(now time.Time, u *upload) Verdict {
	switch {
	case len(t.uploads) >= maxUploads:
		return VerdictRefuse
	case len(t.line) == 0 && len(t.holders) < t.Places():
		return VerdictOpen
	case t.carriedAt(now, u, t.position(u)).After(u.GiveUpAt):
		return VerdictRefuse
	}
	return VerdictWait
}

// add stores an upload.
func (t *Turns) add(u *upload) {
	t.uploads[u.Flow] = u
	t.accounts[u.Flow.Caller.Addr()]++
}

// grant gives an upload a turn.
func (t *Turns) grant(now time.Time, u *upload) {
	u.hasTurn, u.turnBytes = true, 0
	u.pauseAt = now.Add(pauseLimit)
	if u.bytes == 0 {
		u.pauseAt = now.Add(openingLimit)
	}
	u.opened = true
	t.holders = append(t.holders, u)
}

// position returns an upload's place in line.
func (t *Turns) position(u *upload) int {
	i, _ := slices.BinarySearchFunc(t.line, u, func(a, b *upload) int {
		if a.order.After(b.order) {
			return 1
		}
		return -1
	})
	return i
}

// enqueue adds an upload to the line.
func (t *Turns) enqueue(u *upload) {
	t.line, u.queued = slices.Insert(t.line, t.position(u), u), true
	t.openBy(u)
}

// openBy has the line looked at when an upload in it must be opened.
func (t *Turns) openBy(u *upload) {
	if at := u.ArrivedAt.Add(t.OpenLimit); !u.opened && (t.openAt.IsZero() || at.Before(t.openAt)) {
		t.openAt = at
	}
}

// measure updates the rate that uploads get.
func (t *Turns) measure(now time.Time) {
	d := now.Sub(t.measuredAt)
	switch {
	case len(t.line) == 0 || t.measuredAt.IsZero():
	case d < measureInterval:
		return
	default:
		t.carryRate += measureWeight * (min(t.Rate, max(t.Rate/2, t.sentBytes/d.Seconds())) - t.carryRate)
	}
	t.sentBytes, t.measuredAt = 0, now
}

// carriedAt returns when an upload with n others before it is carried.
func (t *Turns) carriedAt(now time.Time, u *upload, n int) time.Time {
	seconds := (float64(n)*t.meanBytes + max(0, t.meanBytes-u.bytes)) / max(1, t.carryRate)
	return now.Add(time.Duration(seconds * float64(time.Second)))
}

// lapse ends the turns of uploads that pause.
func (t *Turns) lapse(now time.Time) {
	t.holders = slices.DeleteFunc(t.holders, func(u *upload) bool {
		if now.Before(u.pauseAt) || t.Waits(u.Flow) {
			return false
		}
		u.hasTurn = false
		return true
	})
}

// first returns the index of the upload in line that goes first: one that has little
// time left, else one that can still be answered within its target, else the first.
func (t *Turns) first(now time.Time) int {
	first, found := 0, false
	for i, u := range t.line {
		if float64(u.GiveUpAt.Sub(now)) < reserveShare*float64(u.GiveUpAt.Sub(u.ArrivedAt)) {
			return i
		}
		if !found && !t.carriedAt(now, u, 0).After(u.TargetAt) {
			first, found = i, true
		}
	}
	return first
}

// Next returns the next decision that is due: VerdictOpen or VerdictRefuse for an
// upload that waited to be opened, VerdictTurn for an open one. It returns false if
// there is none.
func (t *Turns) Next(now time.Time) (Flow, Verdict, bool) {
	t.measure(now)
	t.lapse(now)
	for len(t.line) > 0 && len(t.holders) < t.Places() {
		i := t.first(now)
		u := t.line[i]
		t.line, u.queued = slices.Delete(t.line, i, i+1), false
		if now.After(u.GiveUpAt) {
			if u.opened {
				continue
			}
			t.end(u.Flow)
			return u.Flow, VerdictRefuse, true
		}
		verdict := VerdictTurn
		if !u.opened {
			verdict = VerdictOpen
		}
		t.grant(now, u)
		return u.Flow, verdict, true
	}
	return t.nextLate(now)
}

// nextLate decides about an upload in line that would time out while it opens.
func (t *Turns) nextLate(now time.Time) (Flow, Verdict, bool) {
	if t.openAt.IsZero() || now.Before(t.openAt) {
		return Flow{}, VerdictWait, false
	}
	for i, u := range t.line {
		if u.opened || now.Before(u.ArrivedAt.Add(t.OpenLimit)) {
			continue
		}
		if t.carriedAt(now, u, i).After(u.GiveUpAt) {
			t.end(u.Flow)
			return u.Flow, VerdictRefuse, true
		}
		u.opened = true
		return u.Flow, VerdictOpen, true
	}
	t.openAt = time.Time{}
	for _, u := range t.line {
		t.openBy(u)
	}
	return Flow{}, VerdictWait, false
}

// Carry records a packet with data that arrived from an upload's caller, and reports
// whether the upload has a turn. One that paused, or that another balancer opened, has
// one at once, as its backend server already waits for the rest.
func (t *Turns) Carry(now time.Time, flow Flow, giveUpAt time.Time) bool {
	u := t.uploads[flow]
	if u == nil {
		if len(t.uploads) >= maxUploads {
			return false
		}
		u = &upload{Request: Request{Flow: flow, ArrivedAt: now, GiveUpAt: giveUpAt}, order: giveUpAt}
		t.add(u)
		t.moved++
	}
	u.lastPacketAt = now
	switch {
	case u.hasTurn:
		u.pauseAt = now.Add(pauseLimit)
	case u.queued:
		// The caller's flow is open, perhaps by way of another balancer.
		u.opened = true
	default:
		t.grant(now, u)
	}
	return u.hasTurn
}

// Sent records that n bytes of an upload were sent, and reports whether it has a turn
// still. One that has sent more than others goes behind those that wait.
func (t *Turns) Sent(now time.Time, flow Flow, n int) bool {
	u := t.uploads[flow]
	if u == nil {
		return false
	}
	t.sentBytes += float64(n)
	u.bytes += float64(n)
	u.turnBytes += float64(n)
	u.lastPacketAt = now
	if !u.hasTurn {
		return false
	}
	u.pauseAt = now.Add(pauseLimit)
	if len(t.line) == 0 || u.turnBytes < max(turnMeans*t.meanBytes, turnWindows*t.WindowBytes) {
		return true
	}
	u.hasTurn = false
	t.holders = slices.DeleteFunc(t.holders, func(h *upload) bool { return h == u })
	u.order = t.line[len(t.line)-1].order
	t.enqueue(u)
	return false
}

// End forgets an upload that has ended, and learns its size.
func (t *Turns) End(flow Flow) {
	if u := t.uploads[flow]; u != nil && u.fromStart && u.bytes > 0 {
		t.meanBytes += meanWeight * (u.bytes - t.meanBytes)
	}
	t.end(flow)
}

// end forgets an upload.
func (t *Turns) end(flow Flow) {
	u := t.uploads[flow]
	if u == nil {
		return
	}
	delete(t.uploads, flow)
	same := func(other *upload) bool { return other == u }
	t.holders, t.line = slices.DeleteFunc(t.holders, same), slices.DeleteFunc(t.line, same)
	account := flow.Caller.Addr()
	if t.accounts[account]--; t.accounts[account] <= 0 {
		delete(t.accounts, account)
	}
}

// Sweep forgets the uploads without packets for long.
func (t *Turns) Sweep(now time.Time) {
	for flow, u := range t.uploads {
		if now.Sub(u.lastPacketAt) > retention {
			t.end(flow)
		}
	}
}

// NextAt returns when Next may have another decision, the zero time if no upload waits
// for a turn.
func (t *Turns) NextAt() time.Time {
	if len(t.line) == 0 {
		return time.Time{}
	}
	next := t.openAt
	for _, u := range t.holders {
		if !t.Waits(u.Flow) && (next.IsZero() || u.pauseAt.Before(next)) {
			next = u.pauseAt
		}
	}
	return next
}

// Counts returns how many uploads have a turn and how many wait for one.
func (t *Turns) Counts() (open, waiting int) { return len(t.holders), len(t.line) }

// Moved returns how many uploads came from other balancers.
func (t *Turns) Moved() uint64 { return t.moved }
