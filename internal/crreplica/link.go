package crreplica

import (
	"context"
	"net/http"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crquorum"
)

const (
	// stepPath is the path to which a Batch is posted.
	stepPath = "/quorum/step"
	// linkQueueCapacity limits the messages queued for one instance.
	linkQueueCapacity = 512
	// maxBatchMessages limits the messages in one call.
	maxBatchMessages = 64
	// callTimeout limits a call without a snapshot, snapshotCallTimeout one
	// with a snapshot.
	callTimeout         = time.Second
	snapshotCallTimeout = 60 * time.Second
	// maxBodyBytes limits the body of a call.
	maxBodyBytes = 256 << 20
)

// Batch is the body of a call from one instance to another.
type Batch struct {
	From uint64 `json:"from"`
	// Addr is the sender's host:port.
	Addr     string             `json:"addr"`
	Messages []crquorum.Message `json:"messages"`
}

// linkKey identifies a link. Snapshots have a separate link, so that they don't
// delay heartbeats.
type linkKey struct {
	to        uint64
	addr      string
	snapshots bool
}

// link queues messages for one instance and sends them in batches.
type link struct {
	key      linkKey
	from     uint64
	fromAddr string
	client   *crnet.Client
	queue    chan crquorum.Message
	quit     chan struct{}
}

// send queues messages on the links to their receivers. It drops a message if the
// receiver's address is unknown or the queue is full.
func (r *Replica) send(messages []crquorum.Message) {
	for _, m := range messages {
		addr := r.memberAddr(m.To)
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

// link returns the link of a key, creating it if needed. It closes links to former
// addresses of the instance.
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
		key: key, from: r.Settings.ID, fromAddr: r.ownAddr(), client: r.Client,
		queue: make(chan crquorum.Message, linkQueueCapacity), quit: make(chan struct{}),
	}
	r.links[key] = l
	r.wg.Go(l.run)
	return l
}

// ownAddr returns the host:port of this instance.
func (r *Replica) ownAddr() string {
	if r.Settings.Address != "" {
		return r.Settings.Address
	}
	return r.Settings.Members[r.Settings.ID]
}

// run sends the queued messages until quit is closed and the queue is empty.
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

// call sends a message together with queued ones. If that fails, it drops the
// whole queue: newer messages will bring the receiver up to date.
func (l *link) call(m crquorum.Message) {
	batch := Batch{From: l.from, Addr: l.fromAddr, Messages: []crquorum.Message{m}}
	for len(batch.Messages) < maxBatchMessages && len(l.queue) > 0 {
		batch.Messages = append(batch.Messages, <-l.queue)
	}
	timeout := callTimeout
	if l.key.snapshots {
		timeout = snapshotCallTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var resp struct{}
	if l.client.JSON(ctx, l.key.addr, stepPath, batch, &resp) == nil {
		return
	}
	for len(l.queue) > 0 {
		<-l.queue
	}
}

// serveStep receives a batch of messages from another instance.
func (r *Replica) serveStep(w http.ResponseWriter, req *http.Request) {
	var b Batch
	if !crnet.ReadJSON(w, req, maxBodyBytes, &b) {
		return
	}
	select {
	case r.inbox <- b:
		crnet.WriteJSON(w, http.StatusOK, struct{}{})
	case <-req.Context().Done():
	case <-r.stopped:
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	}
}
