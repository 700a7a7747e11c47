package crcontrol

import (
	"context"

	"cardamomring.dev/internal/crreplica"
)

const (
	// maxBatchItems bounds the items of one commit.
	maxBatchItems = 512
	// maxQueuedItems bounds the items that wait for a commit.
	maxQueuedItems = 4096
)

// batcher combines the items that arrive during a commit into the next commit, so
// that many items share one sync of the log.
type batcher[T, R any] struct {
	// commit processes items and returns a result for each, in order.
	commit func(ctx context.Context, items []T) ([]R, error)

	queue chan queuedItem[T, R]
}

// queuedItem is an item that waits for a commit.
type queuedItem[T, R any] struct {
	item  T
	reply chan itemResult[R]
}

// itemResult is the result of an item.
type itemResult[R any] struct {
	value R
	err   error
}

// newBatcher returns a batcher. The caller must run its loop.
func newBatcher[T, R any](commit func(context.Context, []T) ([]R, error)) *batcher[T, R] {
	return &batcher[T, R]{commit: commit, queue: make(chan queuedItem[T, R], maxQueuedItems)}
}

// do queues an item and waits for its result.
func (b *batcher[T, R]) do(ctx context.Context, item T) (R, error) {
	q := queuedItem[T, R]{item: item, reply: make(chan itemResult[R], 1)}
	var zero R
	select {
	case b.queue <- q:
	case <-ctx.Done():
		return zero, crreplica.ErrNoQuorum
	}
	select {
	case res := <-q.reply:
		return res.value, res.err
	case <-ctx.Done():
		return zero, crreplica.ErrNoQuorum
	}
}

// loop commits batches until ctx ends.
func (b *batcher[T, R]) loop(ctx context.Context) {
	for {
		select {
		case first := <-b.queue:
			b.commitBatch(ctx, b.collect(first))
		case <-ctx.Done():
			return
		}
	}
}

// collect returns a batch of first and the other queued items, up to maxBatchItems.
func (b *batcher[T, R]) collect(first queuedItem[T, R]) []queuedItem[T, R] {
	batch := []queuedItem[T, R]{first}
	for len(batch) < maxBatchItems {
		select {
		case q := <-b.queue:
			batch = append(batch, q)
		default:
			return batch
		}
	}
	return batch
}

// commitBatch commits a batch and delivers the result of each item.
func (b *batcher[T, R]) commitBatch(ctx context.Context, batch []queuedItem[T, R]) {
	items := make([]T, len(batch))
	for i, q := range batch {
		items[i] = q.item
	}
	values, err := b.commit(ctx, items)
	for i, q := range batch {
		res := itemResult[R]{err: err}
		if err == nil {
			res.value = values[i]
		}
		q.reply <- res
	}
}
