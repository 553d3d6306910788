package process

import (
	"net"
	"strconv"
	"testing"
)

// TestPortsAreNotShared guards against two test processes that use the same
// port: neither a second process, even while nothing listens on the port, nor
// the system for a listener on port 0 may get a port that was handed out.
func TestPortsAreNotShared(t *testing.T) {
	var first, second portPool // two pools lock blocks as two processes do
	seen := map[int]bool{}
	for range 2 * blockPorts {
		for _, pool := range []*portPool{&first, &second} {
			port, err := pool.takePort()
			if err != nil {
				t.Fatal(err)
			}
			if seen[port] || port < firstPort || port > lastPort {
				t.Fatalf("port %d was given twice or is out of range", port)
			}
			seen[port] = true
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	_, text, _ := net.SplitHostPort(l.Addr().String())
	if port, err := strconv.Atoi(text); err != nil || port <= lastPort {
		t.Fatalf("the system gives out port %q, which tests may use", text)
	}
}
