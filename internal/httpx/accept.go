package httpx

import (
	"math/rand/v2"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
)

const (
	// minAcceptPause and maxAcceptPause bound the pause after a failure to accept a
	// connection.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 200 * time.Millisecond
	// acceptReportInterval is the least time between two calls of OnAcceptFailure.
	acceptReportInterval = 10 * time.Second
)

// retryListener accepts again after a failure, for instance for want of descriptors, until
// it is closed. The HTTP library would end serving at the first failure. Accept must not be
// called concurrently.
type retryListener struct {
	net.Listener
	failures   metrics.Counter
	onFailure  func(error) // nil, or called at most once in acceptReportInterval
	reportedAt time.Time
}

func (l *retryListener) Accept() (net.Conn, error) {
	pause := kernel.Backoff{Min: minAcceptPause, Max: maxAcceptPause, Jitter: rand.Float64}
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.failures.Inc(1)
		l.report(err)
		time.Sleep(pause.Next())
	}
}

func (l *retryListener) report(err error) {
	if l.onFailure == nil || time.Since(l.reportedAt) < acceptReportInterval {
		return
	}
	l.reportedAt = time.Now()
	l.onFailure(err)
}
