package crobs

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxWaitingBytes limits the lines that wait to be written, maxRoutineBytes those of
	// them that are routine.
	maxWaitingBytes, maxRoutineBytes = 256 << 10, 128 << 10
	// maxWriteBytes limits the lines that are written at once.
	maxWriteBytes = 32 << 10
	// outputCloseTimeout is how long Close waits for lines to be written.
	outputCloseTimeout = 500 * time.Millisecond
)

// Output writes log lines in the background, so that logging never waits for the reader of
// the output: whoever logs may hold a lock that traffic needs. What the reader doesn't take
// waits up to a limit. Beyond it lines are dropped, routine ones first, and counted by
// level, in a metric and in a line that follows when the output is read again. Lines that
// are not routine are written first. Set the exported fields before Open.
type Output struct {
	// W is where lines are written.
	W io.Writer
	// Registry is where the metric is registered.
	Registry *prometheus.Registry

	handler log.Handler
	// wake has a value when lines may wait; it is closed by Close.
	wake chan struct{}
	// written is closed when loop has ended.
	written chan struct{}
	total   *prometheus.CounterVec

	mu     sync.Mutex
	buf    bytes.Buffer
	closed bool
	// status and routine are the lines that wait.
	status, routine lineQueue
	// dropped counts the lines that were dropped since the last line about it.
	dropped map[log.Level]int
}

// line is an encoded log line.
type line struct {
	level log.Level
	data  []byte
}

// lineQueue holds lines in the order of their writing.
type lineQueue struct {
	lines []line
	bytes int
}

// push appends a line.
func (q *lineQueue) push(l line) {
	q.lines = append(q.lines, l)
	q.bytes += len(l.data)
}

// pop removes and returns the oldest line.
func (q *lineQueue) pop() line {
	l := q.lines[0]
	q.lines = q.lines[1:]
	q.bytes -= len(l.data)
	return l
}

// Open starts to write. encode returns the handler that encodes entries as lines to w.
func (o *Output) Open(encode func(w io.Writer) log.Handler) {
	o.handler = encode(&o.buf)
	o.wake, o.written = make(chan struct{}, 1), make(chan struct{})
	o.dropped = map[log.Level]int{}
	o.total = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "cardamomring", Subsystem: "log", Name: "lines_dropped_total",
		Help: "Log lines that were dropped because the output wasn't read or couldn't be written, by level.",
	}, []string{"level"})
	if o.Registry != nil {
		o.Registry.MustRegister(o.total)
	}
	go o.loop()
}

// Close writes what waits, for at most outputCloseTimeout. Lines that are logged later are
// dropped.
func (o *Output) Close() {
	o.mu.Lock()
	if !o.closed {
		o.closed = true
		close(o.wake)
	}
	o.mu.Unlock()
	select {
	case <-o.written:
	case <-time.After(outputCloseTimeout):
	}
}

// add encodes an entry and lets it wait to be written.
func (o *Output) add(e *log.Entry, routine bool) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	l, err := o.encode(e)
	if err != nil {
		return err
	}
	if o.closed {
		o.drop(l)
		return nil
	}
	for !routine && o.status.bytes+o.routine.bytes+len(l.data) > maxWaitingBytes && len(o.routine.lines) > 0 {
		o.drop(o.routine.pop())
	}
	switch {
	case o.status.bytes+o.routine.bytes+len(l.data) > maxWaitingBytes, routine && o.routine.bytes+len(l.data) > maxRoutineBytes:
		o.drop(l)
		return nil
	case routine:
		o.routine.push(l)
	default:
		o.status.push(l)
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return nil
}

// encode encodes an entry. Call it with mu held.
func (o *Output) encode(e *log.Entry) (line, error) {
	o.buf.Reset()
	if err := o.handler.HandleLog(e); err != nil {
		return line{}, err
	}
	return line{level: e.Level, data: bytes.Clone(o.buf.Bytes())}, nil
}

// drop counts a line that isn't written. Call it with mu held.
func (o *Output) drop(l line) {
	o.dropped[l.level]++
	o.total.WithLabelValues(l.level.String()).Inc()
}

// loop writes lines until Close.
func (o *Output) loop() {
	defer close(o.written)
	for open := true; open; {
		_, open = <-o.wake
		for batch := o.take(); len(batch) > 0; batch = o.take() {
			o.write(batch)
		}
	}
}

// take returns the lines that are written next.
func (o *Output) take() []line {
	o.mu.Lock()
	defer o.mu.Unlock()
	var batch []line
	for size := 0; size < maxWriteBytes && len(o.status.lines)+len(o.routine.lines) > 0; {
		q := &o.status
		if len(q.lines) == 0 {
			q = &o.routine
		}
		l := q.pop()
		batch, size = append(batch, l), size+len(l.data)
	}
	return batch
}

// write writes lines, and then a line about those that were dropped, if there are any.
func (o *Output) write(batch []line) {
	var data []byte
	for _, l := range batch {
		data = append(data, l.data...)
	}
	if _, err := o.W.Write(data); err != nil {
		// There is nowhere to log it.
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, l := range batch {
			o.drop(l)
		}
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.dropped) == 0 {
		return
	}
	fields := log.Fields{}
	for level, n := range o.dropped {
		fields[level.String()] = n
	}
	clear(o.dropped)
	e := &log.Entry{Level: log.WarnLevel, Fields: fields, Message: "log lines were dropped: the output wasn't read", Timestamp: time.Now()}
	if l, err := o.encode(e); err == nil {
		o.status.push(l)
	}
}

// outputHandler passes entries to an output.
type outputHandler struct {
	output  *Output
	routine bool
}

// HandleLog passes an entry to the output.
func (h *outputHandler) HandleLog(e *log.Entry) error { return h.output.add(e, h.routine) }

// Routine returns a logger for lines that are dropped first when the output isn't read.
func Routine(logger *log.Logger) *log.Logger {
	h, ok := logger.Handler.(*outputHandler)
	if !ok {
		return logger
	}
	return &log.Logger{Level: logger.Level, Handler: &outputHandler{output: h.output, routine: true}}
}
