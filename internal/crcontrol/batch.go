package crcontrol

import (
	"context"

	"cardamomring.dev/internal/crreplica"
)

const (
	// batchMax is how many items one commit takes.
	batchMax = 512
	// queueMax is how many items wait for a commit.
	queueMax = 4096
)

// batcher gathers what arrives while a commit is under way into the next
// one, so that many items share one sync.
type batcher[T, R any] struct {
	// commit carries out items and answers each, in order.
	commit func(ctx context.Context, items []T) ([]R, error)

	queue chan waiting[T, R]
}

// waiting is an item in the queue.
type waiting[T, R any] struct {
	item  T
	reply chan outcome[R]
}

// outcome is an item's answer.
type outcome[R any] struct {
	value R
	err   error
}

// newBatcher returns a batcher that needs a loop.
func newBatcher[T, R any](commit func(context.Context, []T) ([]R, error)) *batcher[T, R] {
	return &batcher[T, R]{commit: commit, queue: make(chan waiting[T, R], queueMax)}
}

// do hands an item to the loop and waits for its answer.
func (b *batcher[T, R]) do(ctx context.Context, item T) (R, error) {
	w := waiting[T, R]{item: item, reply: make(chan outcome[R], 1)}
	var none R
	select {
	case b.queue <- w:
	case <-ctx.Done():
		return none, crreplica.ErrNoQuorum
	}
	select {
	case o := <-w.reply:
		return o.value, o.err
	case <-ctx.Done():
		return none, crreplica.ErrNoQuorum
	}
}

// loop commits batches until ctx ends.
func (b *batcher[T, R]) loop(ctx context.Context) {
	for {
		select {
		case first := <-b.queue:
			b.run(ctx, b.gather(first))
		case <-ctx.Done():
			return
		}
	}
}

// gather returns first and what else waits.
func (b *batcher[T, R]) gather(first waiting[T, R]) []waiting[T, R] {
	batch := []waiting[T, R]{first}
	for len(batch) < batchMax {
		select {
		case w := <-b.queue:
			batch = append(batch, w)
		default:
			return batch
		}
	}
	return batch
}

// run commits a batch and answers its items.
func (b *batcher[T, R]) run(ctx context.Context, batch []waiting[T, R]) {
	items := make([]T, len(batch))
	for i, w := range batch {
		items[i] = w.item
	}
	values, err := b.commit(ctx, items)
	for i, w := range batch {
		o := outcome[R]{err: err}
		if err == nil {
			o.value = values[i]
		}
		w.reply <- o
	}
}
