package rpc

import (
	"net"
	"strconv"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// maxAddressBytes bounds the length of an address.
const maxAddressBytes = 300

// ValidAddress reports whether a process can be called at an address: a host, and a port
// if there is one.
func ValidAddress(address string) bool {
	if address == "" || len(address) > maxAddressBytes {
		return false
	}
	if !strings.Contains(address, ":") {
		return true
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// Dial returns a connection to another process of coltsfootlug at an IP address
// and port. It connects only at the first call.
func Dial(address string, options ...grpc.DialOption) (*grpc.ClientConn, error) {
	options = append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
		grpc.WithNoProxy(),
	}, options...)
	return grpc.NewClient("passthrough:///"+address, options...)
}

// Parameters of QuickReconnect. The delays are short because a takeover has to
// complete within the time in which urgent work must start.
const (
	reconnectMinDelay   = 50 * time.Millisecond
	reconnectMaxDelay   = 150 * time.Millisecond
	connectTimeout      = 250 * time.Millisecond
	reconnectMultiplier = 1.6
	reconnectJitter     = 0.2
	// keepaliveInterval is the shortest interval that grpc-go allows.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = time.Second
)

// QuickReconnect returns dial options with which a lost connection is
// re-established quickly.
func QuickReconnect() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectMinDelay, MaxDelay: reconnectMaxDelay, Multiplier: reconnectMultiplier, Jitter: reconnectJitter},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	}
}
