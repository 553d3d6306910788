package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a case, one line for each thing that was sent, answered or run.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	since time.Time
}

func newRecorder(out io.Writer) *recorder { return &recorder{out: out, since: time.Now()} }

func (r *recorder) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %-10s %s\n", time.Since(r.since).Seconds(), who, fmt.Sprintf(format, args...))
	_, _ = io.WriteString(r.out, line)
	if who == "script" {
		_, _ = io.WriteString(os.Stdout, line)
	}
}
