package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// blockedWriter is a log's reader that stands still until it is released. asked gets a value when a line reaches it.
type blockedWriter struct {
	asked    chan struct{}
	released chan struct{}
	text     strings.Builder
}

func newBlockedWriter() *blockedWriter {
	return &blockedWriter{asked: make(chan struct{}, 3*logLines), released: make(chan struct{})}
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	w.asked <- struct{}{}
	<-w.released
	return w.text.Write(line)
}

// Guards against a process that stands still because nobody reads its log (FAULT, issue 42).
func TestALogThatNobodyReadsStopsNobody(t *testing.T) {
	reader := newBlockedWriter()
	writer := newLogWriter(reader)
	written := make(chan struct{})
	go func() {
		for i := range 2 * logLines {
			fmt.Fprintf(writer, "line %d\n", i)
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("a writer waits for the log's reader")
	}
	begun := time.Now()
	writer.flush()
	if took := time.Since(begun); took > 4*logFlushWait {
		t.Errorf("the end of the process waits %v for the log's reader", took)
	}
	close(reader.released)
}

func TestALogTellsHowManyLinesWereDropped(t *testing.T) {
	reader := newBlockedWriter()
	writer := newLogWriter(reader)
	for i := range 2 * logLines {
		fmt.Fprintf(writer, "line %d\n", i)
		if i == 0 {
			// The first line is with the reader before any is dropped.
			<-reader.asked
		}
	}
	close(reader.released)
	writer.flush()
	if text := reader.text.String(); !strings.HasPrefix(text, "line 0\n") || strings.Count(text, "were dropped") != 1 {
		t.Errorf("the log begins with %.40q and tells %d times of dropped lines", text, strings.Count(text, "were dropped"))
	}
}

func TestALogIsWholeAfterAFlush(t *testing.T) {
	pipeReader, pipeWriter := io.Pipe()
	text := make(chan string)
	go func() {
		all, _ := io.ReadAll(pipeReader)
		text <- string(all)
	}()
	writer := newLogWriter(pipeWriter)
	for i := range 100 {
		fmt.Fprintf(writer, "line %d\n", i)
	}
	writer.flush()
	pipeWriter.Close()
	if got := <-text; strings.Count(got, "\n") != 100 {
		t.Errorf("%d of 100 lines", strings.Count(got, "\n"))
	}
}
