// Package registrar is the micro-kernel: it starts named services in the order of
// their dependencies, lets them look each other up by name, and stops them in
// reverse order as one run group.
package registrar

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"bamboospread/internal/kernel/reporter"
)

// Service is a part of a process.
type Service struct {
	Name  string
	Needs []string // names of services that must be started before
	// Start prepares the service and returns the value that Lookup returns for
	// its name. It must not block longer than a few seconds.
	Start func(ctx context.Context, r *Registrar) (any, error)
	// Run runs the service until ctx ends; nil for a service without a goroutine.
	// If it returns before ctx ends, the whole process stops.
	Run func(ctx context.Context) error
	// Drain refuses new work and waits for work in flight. The services are drained
	// in reverse start order before any of them is stopped. It may be nil.
	Drain func(ctx context.Context) error
}

// Config holds the settings of a Registrar.
type Config struct {
	Reporter    *reporter.Reporter
	StopTimeout time.Duration // maximum duration of a graceful stop
}

// Registrar starts and stops the services of one process.
type Registrar struct {
	reporter    *reporter.Reporter
	stopTimeout time.Duration
	services    []Service
	values      map[string]any
}

// ErrServiceNotExist is returned by Lookup for a service that has not started.
type ErrServiceNotExist struct{ Name string }

func (e ErrServiceNotExist) Error() string {
	return fmt.Sprintf("service %q has not started", e.Name)
}

// ErrCycle is returned by Run for services of which none can be started first. Each name is
// followed by that of a service that it needs; the first is also the last.
type ErrCycle struct{ Names []string }

func (e ErrCycle) Error() string {
	quoted := make([]string, len(e.Names))
	for i, name := range e.Names {
		quoted[i] = strconv.Quote(name)
	}
	return "services need each other: " + strings.Join(quoted, " -> ")
}

// New returns an empty Registrar.
func New(c Config) *Registrar {
	if c.StopTimeout <= 0 {
		c.StopTimeout = 30 * time.Second
	}
	return &Registrar{reporter: c.Reporter, stopTimeout: c.StopTimeout, values: make(map[string]any)}
}

// Add registers a service; it starts when Run is called.
func (r *Registrar) Add(s Service) { r.services = append(r.services, s) }

// Lookup returns the value of the service with the given name. Services call it in
// Start for the services in their Needs.
func Lookup[T any](r *Registrar, name string) (T, error) {
	var zero T
	v, ok := r.values[name]
	if !ok {
		return zero, ErrServiceNotExist{Name: name}
	}
	t, ok := v.(T)
	if !ok {
		return zero, fmt.Errorf("service %q is a %T, not a %T", name, v, zero)
	}
	return t, nil
}

// ErrServiceEnded is returned by Run for a service that ended before it was stopped.
type ErrServiceEnded struct {
	Name  string
	Cause error // may be nil
}

func (e ErrServiceEnded) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("service %s ended without an error before it was stopped", e.Name)
	}
	return fmt.Sprintf("service %s ended: %v", e.Name, e.Cause)
}

func (e ErrServiceEnded) Unwrap() error { return e.Cause }

// startedService is a service that was started. When it has ended, done receives the error of
// its stop; that of a service that ended before it was stopped is received by Run.
type startedService struct {
	service Service
	cancel  context.CancelFunc
	done    chan error
}

// Run starts all services and blocks until ctx ends or one service fails, then drains
// and stops them. It returns all failures joined with the errors of the stop, or nil.
func (r *Registrar) Run(ctx context.Context) error {
	order, err := sortByNeeds(r.services)
	if err != nil {
		return err
	}
	failed := make(chan error, len(order))
	var started []startedService
	for _, s := range order {
		run, err := r.start(ctx, s, failed)
		if err != nil {
			return r.end(err, started, failed)
		}
		started = append(started, run)
	}
	var cause error
	select {
	case <-ctx.Done():
	case cause = <-failed:
	}
	r.reporter.Report(reporter.StopBegan, reporter.Fields{"limit": r.stopTimeout.String()})
	return r.end(cause, started, failed)
}

// end stops the services and returns all errors, the cause of the stop first.
func (r *Registrar) end(cause error, started []startedService, failed <-chan error) error {
	stopErr := r.stop(started)
	for {
		select {
		case err := <-failed: // ended by itself during the stop
			cause = errors.Join(cause, err)
		default:
			return errors.Join(cause, stopErr)
		}
	}
}

func (r *Registrar) start(ctx context.Context, s Service, failed chan<- error) (startedService, error) {
	value, err := s.Start(ctx, r)
	if err != nil {
		r.reporter.Report(reporter.ServiceFailed, reporter.Fields{"service": s.Name, "error": err.Error()})
		return startedService{}, fmt.Errorf("start service %s: %w", s.Name, err)
	}
	r.values[s.Name] = value
	// A service has its own context and keeps running after the stop signal until it
	// is stopped in order, so that services that depend on it can drain.
	serviceCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	run := startedService{service: s, cancel: cancel, done: make(chan error, 1)}
	if s.Run == nil {
		run.done <- nil
	} else {
		go func() {
			err := s.Run(serviceCtx)
			if serviceCtx.Err() == nil {
				err = ErrServiceEnded{Name: s.Name, Cause: err}
				r.reporter.Report(reporter.ServiceFailed, reporter.Fields{"service": s.Name, "error": err.Error()})
				failed <- err
				err = nil
			}
			if isCanceled(err) { // the usual end of a stopped service
				err = nil
			}
			run.done <- err
		}()
	}
	r.reporter.Report(reporter.ServiceStarted, reporter.Fields{"service": s.Name})
	return run, nil
}

func (r *Registrar) stop(started []startedService) error {
	// Draining gets three quarters of the time: a service that waits too long for work
	// in flight must not prevent the others from stopping in order.
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), r.stopTimeout*3/4)
	defer cancelDrain()
	ctx, cancel := context.WithTimeout(context.Background(), r.stopTimeout)
	defer cancel()
	var errs []error
	for i := len(started) - 1; i >= 0; i-- {
		if drain := started[i].service.Drain; drain != nil {
			if err := drain(drainCtx); err != nil {
				errs = append(errs, fmt.Errorf("drain service %s: %w", started[i].service.Name, err))
			}
		}
	}
	for i := len(started) - 1; i >= 0; i-- {
		started[i].cancel()
		select {
		case err := <-started[i].done:
			if err != nil {
				r.reporter.Report(reporter.ServiceFailed, reporter.Fields{"service": started[i].service.Name, "error": err.Error()})
				errs = append(errs, fmt.Errorf("stop service %s: %w", started[i].service.Name, err))
				continue
			}
			r.reporter.Report(reporter.ServiceStopped, reporter.Fields{"service": started[i].service.Name})
		case <-ctx.Done():
			r.reporter.Report(reporter.StopTimedOut, reporter.Fields{"service": started[i].service.Name})
			errs = append(errs, fmt.Errorf("stop service %s: %w", started[i].service.Name, ctx.Err()))
		}
	}
	return errors.Join(errs...)
}

// isCanceled reports whether err says only that a context was cancelled.
func isCanceled(err error) bool {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return errors.Is(err, context.Canceled)
	}
	return !slices.ContainsFunc(joined.Unwrap(), func(e error) bool { return !isCanceled(e) })
}

// sortByNeeds returns the services in the order in which they have to be started.
func sortByNeeds(services []Service) ([]Service, error) {
	byName := make(map[string]Service, len(services))
	for _, s := range services {
		if _, duplicate := byName[s.Name]; duplicate {
			return nil, fmt.Errorf("service %q is registered twice", s.Name)
		}
		byName[s.Name] = s
	}
	var order []Service
	visited := make(map[string]bool)
	var visit func(name string, dependents []string) error
	visit = func(name string, dependents []string) error {
		s, ok := byName[name]
		if !ok {
			return fmt.Errorf("service %q needs %q, which is not registered", dependents[len(dependents)-1], name)
		}
		if visited[name] {
			return nil
		}
		if i := slices.Index(dependents, name); i >= 0 {
			return ErrCycle{append(slices.Clone(dependents[i:]), name)}
		}
		for _, need := range s.Needs {
			if err := visit(need, append(slices.Clone(dependents), name)); err != nil {
				return err
			}
		}
		visited[name] = true
		order = append(order, s)
		return nil
	}
	for _, s := range services {
		if err := visit(s.Name, nil); err != nil {
			return nil, err
		}
	}
	return order, nil
}
