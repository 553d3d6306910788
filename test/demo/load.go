package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	loadInterval = 25 * time.Millisecond
	loadTimeout  = 10 * time.Second
)

// sample is the answer to one request of the background load.
type sample struct {
	at      time.Time
	outcome string
	minion  string
	err     error
}

// load sends a request every loadInterval until it is stopped.
type load struct {
	url  string
	stop chan struct{}
	done sync.WaitGroup

	mu      sync.Mutex
	samples []sample
}

func startLoad(url string) *load {
	l := &load{url: url, stop: make(chan struct{})}
	l.done.Add(1)
	go l.run()
	return l
}

func (l *load) run() {
	defer l.done.Done()
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-t.C:
			l.done.Add(1)
			go func() {
				defer l.done.Done()
				l.sendRequest(n)
			}()
		}
	}
}

// sendRequest sends request n and records its outcome. The answer must echo the body
// of the request.
func (l *load) sendRequest(n int) {
	s := sample{}
	client := http.Client{Timeout: loadTimeout}
	body := fmt.Sprintf(`{"sleep_ms":20,"survey":%d}`, n)
	req, err := http.NewRequest(http.MethodPost, l.url+"/v1/services/assessment/requests", bytes.NewBufferString(body))
	if err != nil {
		l.record(sample{err: err})
		return
	}
	req.Header.Set("Coltsfoot-Profile", "survey")
	req.Header.Set("Coltsfoot-Idempotent", "true")
	req.Header.Set("Idempotency-Key", fmt.Sprintf("demo-%d", n))
	resp, err := client.Do(req)
	if err != nil {
		l.record(sample{at: time.Now(), err: err})
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	s.at, s.err = time.Now(), err
	s.outcome = resp.Header.Get("Coltsfoot-Outcome")
	var answer struct {
		Minion string `json:"minion"`
		Echo   []byte `json:"echo"`
	}
	if s.outcome == "done" && (json.Unmarshal(data, &answer) != nil || string(answer.Echo) != body) {
		s.err = fmt.Errorf("request %d got the answer of another request: %q", n, data)
	}
	s.minion = answer.Minion
	l.record(s)
}

func (l *load) record(s sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, s)
}

// stopAndWait stops the load and waits until all requests have ended.
func (l *load) stopAndWait() {
	close(l.stop)
	l.done.Wait()
}

// doneByMinion returns how many requests each minion completed between from and to.
func (l *load) doneByMinion(from, to time.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]int{}
	for _, s := range l.samples {
		if s.outcome == "done" && s.at.After(from) && s.at.Before(to) {
			out[s.minion]++
		}
	}
	return out
}

// outcomes returns the number of requests by outcome, and the errors of those that
// failed without one or got a wrong answer.
func (l *load) outcomes() (counts map[string]int, failures []error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts = map[string]int{}
	for _, s := range l.samples {
		if s.err != nil {
			failures = append(failures, s.err)
			continue
		}
		counts[s.outcome]++
	}
	return counts, failures
}

// formatCounts formats counts as "a 3, b 4", sorted by name.
func formatCounts(m map[string]int) string {
	var parts []string
	for k, v := range m {
		parts = append(parts, fmt.Sprintf("%s %d", k, v))
	}
	sort.Strings(parts)
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
