package crreplica

import (
	"context"
	"net/http"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crquorum"
)

const (
	// stepPath takes a Batch.
	stepPath = "/quorum/step"
	// queueSize bounds the messages that wait for one instance.
	queueSize = 512
	// batchSize bounds the messages of one call.
	batchSize = 64
	// callTimeout bounds a call; bulkTimeout one with a snapshot.
	callTimeout = time.Second
	bulkTimeout = 60 * time.Second
	// bodyMax bounds the body of a call, in bytes.
	bodyMax = 256 << 20
)

// Batch is a call from one instance to another.
type Batch struct {
	From uint64 `json:"from"`
	// Addr is the sender's host:port.
	Addr     string             `json:"addr"`
	Messages []crquorum.Message `json:"messages"`
}

// linkKey names a link; snapshots have one of their own, so that heartbeats
// don't wait for them.
type linkKey struct {
	to   uint64
	addr string
	bulk bool
}

// link sends messages to one instance.
type link struct {
	key    linkKey
	from   uint64
	self   string
	client *crnet.Client
	queue  chan crquorum.Message
	quit   chan struct{}
}

// send hands messages to the links of their receivers.
func (r *Replica) send(messages []crquorum.Message) {
	for _, m := range messages {
		addr := r.address(m.To)
		if addr == "" {
			continue
		}
		l := r.link(linkKey{m.To, addr, m.Kind == crquorum.KindSnapshot})
		select {
		case l.queue <- m:
		default:
			r.metrics.dropped.Inc()
		}
	}
}

// link returns the link of a key; an instance that has moved gets a new one.
func (r *Replica) link(key linkKey) *link {
	if l, ok := r.links[key]; ok {
		return l
	}
	for other, l := range r.links {
		if other.to == key.to && other.addr != key.addr {
			close(l.quit)
			delete(r.links, other)
		}
	}
	l := &link{
		key: key, from: r.Settings.ID, self: r.self(), client: r.Client,
		queue: make(chan crquorum.Message, queueSize), quit: make(chan struct{}),
	}
	r.links[key] = l
	r.group.Go(l.run)
	return l
}

// self returns the host:port of this instance.
func (r *Replica) self() string {
	if r.Settings.Address != "" {
		return r.Settings.Address
	}
	return r.Settings.Members[r.Settings.ID]
}

// run sends what is queued until quit is closed and the queue is empty.
func (l *link) run() {
	for {
		select {
		case m := <-l.queue:
			l.call(m)
		case <-l.quit:
			select {
			case m := <-l.queue:
				l.call(m)
			default:
				return
			}
		}
	}
}

// call sends a message and those that wait behind it. After a failure it drops
// what is queued: newer messages bring the receiver up to date.
func (l *link) call(m crquorum.Message) {
	batch := Batch{From: l.from, Addr: l.self, Messages: []crquorum.Message{m}}
	for len(batch.Messages) < batchSize && len(l.queue) > 0 {
		batch.Messages = append(batch.Messages, <-l.queue)
	}
	timeout := callTimeout
	if l.key.bulk {
		timeout = bulkTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var answer struct{}
	if l.client.JSON(ctx, l.key.addr, stepPath, batch, &answer) == nil {
		return
	}
	for len(l.queue) > 0 {
		<-l.queue
	}
}

// serveStep takes messages from another instance.
func (r *Replica) serveStep(w http.ResponseWriter, req *http.Request) {
	var b Batch
	if !crnet.ReadJSON(w, req, bodyMax, &b) {
		return
	}
	select {
	case r.inbox <- b:
		crnet.WriteJSON(w, http.StatusOK, struct{}{})
	case <-req.Context().Done():
	case <-r.ended:
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	}
}
