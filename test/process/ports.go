package process

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"

	"github.com/juju/errors"
)

// Ports for tests are below the system's ephemeral range, so that no outgoing
// connection and no listener on port 0 uses one of them. Each test process
// locks whole blocks of ports, so that two processes never share one.
const (
	firstPort  = 10_000
	lastPort   = 29_999
	blockPorts = 50
)

// portPool allocates ports from the blocks that this process has locked. The
// locks are held until the process ends.
type portPool struct {
	mu    sync.Mutex
	locks []*os.File
	next  int // next port of the last block
	end   int
	block int // next block to try
}

var ports portPool

// FreeAddresses returns n free addresses with the given IP. Their ports are
// reserved for this process until it ends.
func FreeAddresses(ip string, n int) ([]string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	var out []string
	for len(out) < n {
		port, err := ports.takePort()
		if err != nil {
			return nil, err
		}
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		if canListen(address) {
			out = append(out, address)
		}
	}
	return out, nil
}

// canListen reports whether the address is free: a process that does not use
// the port locks may have taken the port.
func canListen(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}

func (p *portPool) takePort() (int, error) {
	for p.next == p.end {
		if err := p.lockBlock(); err != nil {
			return 0, err
		}
	}
	port := p.next
	p.next++
	return port, nil
}

// lockBlock locks the next block that no other process has locked.
func (p *portPool) lockBlock() error {
	dir := filepath.Join(os.TempDir(), "coltsfoot-test-ports")
	if err := os.MkdirAll(dir, 0o777); err != nil {
		return errors.Trace(err)
	}
	for first := firstPort + p.block*blockPorts; first+blockPorts-1 <= lastPort; first += blockPorts {
		p.block++
		lock, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("%d.lock", first)), os.O_CREATE|os.O_RDWR, 0o666)
		if err != nil {
			return errors.Annotatef(err, "lock of ports from %d", first)
		}
		if syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
			_ = lock.Close() // another process holds the block
			continue
		}
		p.locks = append(p.locks, lock)
		p.next, p.end = first, first+blockPorts
		return nil
	}
	return errors.Errorf("no free block of ports between %d and %d", firstPort, lastPort)
}
