package owner

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkConfigChange measures the store transactions for each acknowledged
// configuration change, with one operator and with operators that race each other
// at all entries. Polls are not counted.
func BenchmarkConfigChange(b *testing.B) {
	for _, racing := range []bool{false, true} {
		b.Run(fmt.Sprintf("racing=%v", racing), func(b *testing.B) {
			w := newWorld(1, simProcesses, Timing{})
			w.run(10 * time.Second)
			w.configTxns = 0
			if racing {
				w.operatorRate = 0.2
			}
			for ackCount(w) < b.N {
				if !racing {
					w.procs[0].changeProfile("a", ^uint64(0))
					continue
				}
				w.run(simStep)
			}
			if w.oracle.violation != "" {
				b.Fatal(w.oracle.violation)
			}
			b.ReportMetric(float64(w.configTxns)/float64(ackCount(w)), "txns/change")
		})
	}
}

func ackCount(w *world) int { return len(w.oracle.acks) }

// BenchmarkInForce measures, in virtual time, the delay between the
// acknowledgement of a change and the moment when all entries know it.
func BenchmarkInForce(b *testing.B) {
	w := newWorld(1, simProcesses, Timing{})
	w.run(10 * time.Second)
	var sum, worst time.Duration
	for range b.N {
		c := w.procs[0].changeProfile("a", ^uint64(0))
		start := w.now
		for !knownByAll(w, c.result.Version) {
			w.run(10 * time.Millisecond)
		}
		sum += w.now - start
		worst = max(worst, w.now-start)
		w.run(time.Duration(w.rng.Intn(1000)) * time.Millisecond)
	}
	b.ReportMetric(sum.Seconds()*1000/float64(b.N), "virtual-ms/change")
	b.ReportMetric(worst.Seconds()*1000, "virtual-ms-max")
}

func knownByAll(w *world, version uint64) bool {
	for _, p := range w.procs {
		if p.conf.Current().Version < version {
			return false
		}
	}
	return true
}
