package main

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// logLines bounds the lines that wait for the log's reader.
	logLines = 4096
	// logFlushWait is how long a process that ends waits for the log's reader.
	logFlushWait = 500 * time.Millisecond
)

// logWriter hands lines on without ever waiting for their reader: a log whose reader stands still must not stop the process. Lines that find
// the queue full are dropped and counted. Any goroutine may use it.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// newLogWriter begins to hand lines on to a writer.
func newLogWriter(to io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, logLines), done: make(chan struct{})}
	go w.run(to)
	return w
}

// Write queues one line; it never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *logWriter) run(to io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if dropped := w.dropped.Swap(0); dropped > 0 {
			fmt.Fprintf(to, `{"level":"WARN","msg":"lines of this log were dropped because nobody read it","lines":%d}`+"\n", dropped)
		}
		to.Write(line)
	}
}

// flush waits until what was written before is handed on, for logFlushWait at most; nothing may be written after it.
func (w *logWriter) flush() {
	timer := time.NewTimer(logFlushWait)
	defer timer.Stop()
	select {
	case w.lines <- nil:
	case <-timer.C:
		return
	}
	select {
	case <-w.done:
	case <-timer.C:
	}
}
