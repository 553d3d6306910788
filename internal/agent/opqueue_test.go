package agent

import (
	"testing"
	"time"
)

func TestOpQueuesKeepOrderWithinAKeyOnly(t *testing.T) {
	var q opQueues
	blocked, release := make(chan struct{}), make(chan struct{})
	order := make(chan string, 3)
	q.push("a", func() { close(blocked); <-release; order <- "a1" })
	q.push("a", func() { order <- "a2" })
	<-blocked
	q.push("b", func() { order <- "b" })
	if got := <-order; got != "b" {
		t.Fatalf("%s ran first, want b, which waits for nothing", got)
	}
	close(release)
	for _, want := range []string{"a1", "a2"} {
		if got := <-order; got != want {
			t.Fatalf("%s ran, want %s", got, want)
		}
	}
	for deadline := time.Now().Add(5 * time.Second); !q.idle(); {
		if time.Now().After(deadline) {
			t.Fatal("queues are not idle after all functions have run")
		}
		time.Sleep(time.Millisecond)
	}
}
