package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/test/procs/harness"
)

// BenchmarkEntrySlope measures the CPU and memory use of an entry without work as
// the number of linked agents grows.
func BenchmarkEntrySlope(b *testing.B) {
	if !firstRun(b) {
		return
	}
	h := harness.New(b)
	entry := h.StartEntry("e1", "z1")
	h.StartEntry("e2", "z2")
	started := 0
	for _, agents := range []int{0, 40, 80, 160} {
		for ; started < agents; started++ {
			h.StartWorker(fmt.Sprintf("w%d", started), "z1", fmt.Sprintf("r%d", started/9), 8)
		}
		h.WaitReady()
		before, err := entry.Usage()
		if err != nil {
			b.Fatal(err)
		}
		time.Sleep(idleDuration)
		after, err := entry.Usage()
		if err != nil {
			b.Fatal(err)
		}
		name := fmt.Sprintf("agents%d", agents)
		b.ReportMetric((after.CPU-before.CPU).Seconds()/idleDuration.Seconds()*100, name+"-entry-core%")
		b.ReportMetric(float64(after.RSSBytes)/1e6, name+"-entry-MB")
	}
}
