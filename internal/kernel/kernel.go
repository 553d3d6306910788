// Package kernel is the service container of each process. Services are
// constructed by uber/dig and registered under unique names, by which they look
// each other up. They start in order of registration and stop in reverse order.
package kernel

import (
	"context"
	"sync"

	"github.com/juju/errors"
	"go.uber.org/dig"
)

// Service is a part of a process that is started and stopped with it.
type Service interface {
	// Start returns once the service is ready; long-running work continues in
	// goroutines of the service.
	Start(ctx context.Context) error
	// Stop returns once all work in progress has finished or ctx is done.
	Stop(ctx context.Context) error
}

// Dumper is implemented by services that contribute to the state dump.
type Dumper interface {
	DumpState() any
}

// ErrNoService is returned by Find when no service has the requested name and type.
const ErrNoService = errors.ConstError("no such service")

// Registration is a service and the unique name that it is registered under.
type Registration struct {
	Name    string
	Service Service
}

// Kernel holds the services of one process.
type Kernel struct {
	container *dig.Container

	mu       sync.Mutex
	services []Registration
	started  int
}

// New returns an empty kernel whose container provides the kernel itself.
func New() *Kernel {
	k := &Kernel{container: dig.New()}
	// Providing a parameterless constructor to an empty container cannot fail.
	_ = k.container.Provide(func() *Kernel { return k })
	return k
}

// Provide adds constructors to the container; dig resolves their parameters.
func (k *Kernel) Provide(constructors ...any) error {
	for _, c := range constructors {
		if err := k.container.Provide(c); err != nil {
			return errors.Trace(dig.RootCause(err))
		}
	}
	return nil
}

// Invoke calls fn with parameters from the container.
func (k *Kernel) Invoke(fn any) error {
	return errors.Trace(dig.RootCause(k.container.Invoke(fn)))
}

// Register adds a service under a name that no other service has.
func (k *Kernel) Register(name string, s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.services {
		if r.Name == name {
			return errors.AlreadyExistsf("service %q", name)
		}
	}
	k.services = append(k.services, Registration{name, s})
	return nil
}

// RegisterAll adds services in start order. It returns an error at the first
// name that is already taken; the services before it stay registered.
func (k *Kernel) RegisterAll(all ...Registration) error {
	for _, r := range all {
		if err := k.Register(r.Name, r.Service); err != nil {
			return err
		}
	}
	return nil
}

// Find returns the service with the given name as a T, or an error of kind
// ErrNoService.
func Find[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	for _, r := range k.services {
		if r.Name != name {
			continue
		}
		if t, ok := r.Service.(T); ok {
			return t, nil
		}
		return zero, errors.Annotatef(ErrNoService, "service %q is a %T", name, r.Service)
	}
	return zero, errors.Annotatef(ErrNoService, "service %q", name)
}

// Start starts all services in order of registration. If one fails, the
// services already started are stopped and the error is returned.
func (k *Kernel) Start(ctx context.Context) error {
	for i, r := range k.snapshot() {
		if err := r.Service.Start(ctx); err != nil {
			stopErr := k.Stop(ctx)
			if stopErr != nil {
				return errors.Annotatef(err, "starting service %q (stopping the started services failed too: %v)", r.Name, stopErr)
			}
			return errors.Annotatef(err, "starting service %q", r.Name)
		}
		k.mu.Lock()
		k.started = i + 1
		k.mu.Unlock()
	}
	return nil
}

// Stop stops the started services in reverse order. It stops all of them even
// if some fail, and returns the first error.
func (k *Kernel) Stop(ctx context.Context) error {
	services := k.snapshot()
	k.mu.Lock()
	n := k.started
	k.started = 0
	k.mu.Unlock()
	var firstErr error
	for i := n - 1; i >= 0; i-- {
		if err := services[i].Service.Stop(ctx); err != nil && firstErr == nil {
			firstErr = errors.Annotatef(err, "stopping service %q", services[i].Name)
		}
	}
	return firstErr
}

// DumpState returns the state of each service that implements Dumper, by name.
func (k *Kernel) DumpState() map[string]any {
	out := map[string]any{}
	for _, r := range k.snapshot() {
		if d, ok := r.Service.(Dumper); ok {
			out[r.Name] = d.DumpState()
		}
	}
	return out
}

func (k *Kernel) snapshot() []Registration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Registration(nil), k.services...)
}
