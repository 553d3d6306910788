package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/client"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	"github.com/coltsfootlug/coltsfootlug/test/procs/harness"
)

const loadDuration = 5 * time.Second

// startRequestSystem starts two entries and three minions with the given slots.
func startRequestSystem(b *testing.B, slots int) (*harness.Harness, []*harness.Entry, []*harness.Minion) {
	h := harness.New(b)
	entries := []*harness.Entry{h.StartEntry("e1", "z1"), h.StartEntry("e2", "z2")}
	var minions []*harness.Minion
	for _, zone := range []string{"z1", "z2", "z3"} {
		minions = append(minions, h.StartMinion("m-"+zone, zone, slots))
	}
	h.WaitReady()
	h.SetProfile(profile(harness.Profile, "county"))
	return h, entries, minions
}

// runClosedLoop runs callers for the duration d, each of which calls again as soon
// as its last call has ended. It returns the number of calls and of failed calls.
func runClosedLoop(callers int, d time.Duration, l *latencies, call func(caller int, n int64) error) (int64, int64) {
	var calls, failed atomic.Int64
	var done sync.WaitGroup
	end := time.Now().Add(d)
	for c := range callers {
		done.Go(func() {
			for time.Now().Before(end) {
				began := time.Now()
				if err := call(c, calls.Add(1)); err != nil {
					failed.Add(1)
				}
				l.record(time.Since(began))
			}
		})
	}
	done.Wait()
	return calls.Load(), failed.Load()
}

// BenchmarkRequestPath compares calls through an entry and an agent with direct
// calls to the minion in the same run.
func BenchmarkRequestPath(b *testing.B) {
	if !firstRun(b) {
		return
	}
	h, entries, minions := startRequestSystem(b, 64)
	body, _ := json.Marshal(standin.MinionCall{Size: 1000})
	for _, callers := range []int{1, 32} {
		directLatencies := newLatencies()
		n, failed := runClosedLoop(callers, loadDuration, directLatencies, func(c int, n int64) error {
			return callMinion(minions[c%len(minions)], n, body)
		})
		name := fmt.Sprintf("direct-c%d", callers)
		reportLoad(b, directLatencies, name, n, failed)
		for _, idempotent := range []bool{true, false} {
			entryLatencies := newLatencies()
			clients := []*client.Client{h.ClientOf(entries[0]), h.ClientOf(entries[1])}
			n, failed = runClosedLoop(callers, loadDuration, entryLatencies, func(c int, n int64) error {
				return callEntry(clients[c%2], fmt.Sprintf("path-%d-%t-%d", callers, idempotent, n), idempotent, body)
			})
			name := fmt.Sprintf("path-c%d", callers)
			if !idempotent {
				name = fmt.Sprintf("claimed-c%d", callers)
			}
			reportLoad(b, entryLatencies, name, n, failed)
		}
	}
}

func reportLoad(b *testing.B, l *latencies, name string, n, failed int64) {
	l.report(b, name)
	b.ReportMetric(float64(n)/loadDuration.Seconds(), name+"-per-s")
	b.ReportMetric(float64(failed), name+"-failed")
}

var directClient = http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func callMinion(m *harness.Minion, n int64, body []byte) error {
	req, err := http.NewRequest(http.MethodPost, m.URL()+"/call", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(external.HeaderRequestID, fmt.Sprintf("direct-%d", n))
	resp, err := directClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer standin.MinionAnswer
	return json.NewDecoder(resp.Body).Decode(&answer)
}

// callEntry calls the service through an entry. It sends the key only with a call
// that is not idempotent, which the entry then claims in the table.
func callEntry(c *client.Client, key string, idempotent bool, body []byte) error {
	r := client.Request{
		Service: harness.Service, Profile: harness.Profile, Idempotent: idempotent,
		Timeout: callTimeout, ContentType: "application/json", Body: body,
	}
	if !idempotent {
		r.Key = key
	}
	_, err := c.Request(context.Background(), r)
	return err
}

// BenchmarkBurst measures the effect of a saturating burst of one client account on
// the latency of the paced requests of another.
func BenchmarkBurst(b *testing.B) {
	if !firstRun(b) {
		return
	}
	h, entries, _ := startRequestSystem(b, 4)
	h.SetProfile(profile("flood", "other"))
	clients := []*client.Client{h.ClientOf(entries[0]), h.ClientOf(entries[1])}
	baseline := newLatencies()
	runPacedLoad(clients, baseline)
	baseline.report(b, "alone")
	stop := make(chan struct{})
	var flood sync.WaitGroup
	var done, refused atomic.Int64
	for c := range 200 {
		flood.Go(func() { runBurstCaller(clients[c%2], stop, &done, &refused) })
	}
	time.Sleep(time.Second)
	underBurst := newLatencies()
	failed := runPacedLoad(clients, underBurst)
	close(stop)
	flood.Wait()
	underBurst.report(b, "under-burst")
	b.ReportMetric(float64(failed), "under-burst-failed")
	b.ReportMetric(float64(done.Load()), "burst-done")
	b.ReportMetric(float64(refused.Load()), "burst-refused")
}

// runPacedLoad sends a request of 20 ms every 25 ms for loadDuration and returns the
// number of failed requests.
func runPacedLoad(clients []*client.Client, l *latencies) int64 {
	body, _ := json.Marshal(standin.MinionCall{SleepMS: 20})
	var failed atomic.Int64
	var done sync.WaitGroup
	for n := range int(loadDuration / (25 * time.Millisecond)) {
		done.Go(func() {
			began := time.Now()
			if err := callEntry(clients[n%2], "", true, body); err != nil {
				failed.Add(1)
			}
			l.record(time.Since(began))
		})
		time.Sleep(25 * time.Millisecond)
	}
	done.Wait()
	return failed.Load()
}

// runBurstCaller sends requests in a closed loop until stop is closed.
func runBurstCaller(c *client.Client, stop <-chan struct{}, done, refused *atomic.Int64) {
	body, _ := json.Marshal(standin.MinionCall{SleepMS: 20})
	for {
		select {
		case <-stop:
			return
		default:
		}
		_, err := c.Request(context.Background(), client.Request{
			Service: harness.Service, Profile: "flood", Idempotent: true,
			Timeout: callTimeout, ContentType: "application/json", Body: body,
		})
		if err != nil {
			refused.Add(1)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		done.Add(1)
	}
}
