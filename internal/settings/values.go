package settings

import (
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Address is a TCP address of an IP address and a port, such as
// "10.0.0.1:7000" or "[fd00::1]:7000". A listen address may have port 0.
type Address string

func (a Address) check() error {
	_, err := netip.ParseAddrPort(string(a))
	if err != nil {
		return errors.Errorf("%q is not an IP number and port, such as \"10.0.0.1:7000\"", string(a))
	}
	return nil
}

// unspecified reports whether the IP address is unspecified (0.0.0.0 or ::).
func (a Address) unspecified() bool {
	v, err := netip.ParseAddrPort(string(a))
	return err == nil && v.Addr().IsUnspecified()
}

// anyPort reports whether the port is 0, so that the operating system chooses it.
func (a Address) anyPort() bool {
	v, err := netip.ParseAddrPort(string(a))
	return err == nil && v.Port() == 0
}

// URL is the base URL of an HTTP service, with an IP address as its host.
type URL string

func (u URL) check() error {
	v, err := url.Parse(string(u))
	if err != nil || (v.Scheme != "http" && v.Scheme != "https") {
		return errors.Errorf("%q is not an HTTP URL, such as \"http://10.0.0.1:7000\"", string(u))
	}
	if _, err := netip.ParseAddr(v.Hostname()); err != nil {
		return errors.Errorf("%q has no IP number as its host, as in \"http://10.0.0.1:7000\"", string(u))
	}
	return nil
}

// Role is the kind of process that a settings file is for.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	RoleStandin Role = "standin"
)

func (r Role) check() error {
	return checkOneOf(r, RoleEntry, RoleAgent, RoleStandin)
}

// EndpointKind is the kind of endpoint that an agent runs beside.
type EndpointKind string

// The kinds of endpoint.
const (
	KindMinion EndpointKind = "minion"
	KindWorker EndpointKind = "worker"
)

func (k EndpointKind) check() error {
	return checkOneOf(k, KindMinion, KindWorker)
}

// Level is the minimum level of log lines that are written.
type Level string

func (l Level) check() error {
	return checkOneOf(l, "debug", "info", "warn", "error")
}

// Name is an identifier that may appear in URLs, keys and metrics.
type Name string

const (
	maxNameLength  = 63
	nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."
)

func (n Name) check() error {
	if n == "" || len(n) > maxNameLength || strings.Trim(string(n), nameCharacters) != "" {
		return errors.Errorf("%q is not a name of 1 to %d letters, digits, '-', '_' and '.'", string(n), maxNameLength)
	}
	return nil
}

func checkOneOf[T ~string](v T, allowed ...T) error {
	if slices.Contains(allowed, v) {
		return nil
	}
	quoted := make([]string, len(allowed))
	for i, a := range allowed {
		quoted[i] = `"` + string(a) + `"`
	}
	return errors.Errorf("%q is not one of %s", string(v), strings.Join(quoted, ", "))
}
