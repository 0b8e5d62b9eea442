package admin

import (
	"context"
	"errors"
	"fmt"

	"ravenpond/internal/decide/access"
	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/tenancy"
	pb "ravenpond/internal/proto/admin"
	"ravenpond/internal/state/tenants"
)

const (
	maxRequestIDBytes = 100
	maxPageSize       = 1000
	defaultPageSize   = 100
)

// defaultLimits are the limits of a new tenant that the request does not set.
var defaultLimits = tenancy.Limits{Limits: fairqueue.Limits{Share: 1, Burst: 10, MaxWaiting: 1000}}

// tenantMessage converts a tenant to its API message.
func tenantMessage(t *tenancy.Tenant) *pb.Tenant {
	l := t.Limits
	open, wait, conns := int64(l.MaxOpen), int64(l.MaxWaiting), int64(l.MaxConns)
	return &pb.Tenant{
		Name: t.Name, State: pb.State(t.State), Ending: pb.Ending(t.Removal), Version: t.Version, ChangedMs: t.StateChangedAt,
		Limits: &pb.Limits{
			Share: &l.Share, Rate: &l.Rate, Burst: &l.Burst, Open: &open, Wait: &wait, Conns: &conns,
			Bytes: &l.BytesPerSecond,
		},
	}
}

// applyLimits returns a function that replaces the limits that a message sets.
func applyLimits(m *pb.Limits) func(*tenancy.Limits) {
	return func(l *tenancy.Limits) {
		if m == nil {
			return
		}
		setNumber(&l.Share, m.Share)
		setNumber(&l.Rate, m.Rate)
		setNumber(&l.Burst, m.Burst)
		setNumber(&l.BytesPerSecond, m.Bytes)
		setCount(&l.MaxOpen, m.Open)
		setCount(&l.MaxWaiting, m.Wait)
		setCount(&l.MaxConns, m.Conns)
	}
}

func setNumber(limit, value *float64) {
	if value != nil {
		*limit = *value
	}
}

func setCount(limit *int, value *int64) {
	if value != nil {
		*limit = int(*value)
	}
}

// change applies a change, once for each request ID. limits modifies the current limits of the tenant, or the default limits of a new one;
// it may be nil.
func (s *Server) change(ctx context.Context, action access.Action, requestID string, c tenancy.Change,
	limits func(*tenancy.Limits),
) (changed *pb.Tenant, err error) {
	caller, err := authorize(ctx, action, c.Name)
	if err != nil {
		return nil, err
	}
	if len(requestID) > maxRequestIDBytes {
		return nil, invalidArgument("request_id", fmt.Sprintf("at most %d bytes are expected", maxRequestIDBytes))
	}
	err = s.withStore(ctx, func(store *tenants.Store) error {
		if c.Kind == tenancy.Limit {
			state, err := store.Read()
			if err != nil {
				return err
			}
			t, _ := state.Tenants.Get(c.Name)
			c.Limits = t.Limits
		}
		if limits != nil {
			limits(&c.Limits)
		}
		t, rejected, err := store.Apply(s.Now(), caller.Name, requestID, c)
		switch {
		case errors.Is(err, tenants.ErrRequestReused):
			return invalidArgument("request_id", "it was used for another change")
		case err != nil:
			return err
		case rejected != nil:
			return statusError(rejected)
		}
		changed = tenantMessage(&t)
		return nil
	})
	return changed, s.publicError(err)
}

// Add adds a tenant.
func (s *Server) Add(ctx context.Context, r *pb.AddRequest) (*pb.Tenant, error) {
	c := tenancy.Change{Kind: tenancy.Add, Name: r.Name, Limits: defaultLimits}
	return s.change(ctx, access.Manage, r.RequestId, c, applyLimits(r.Limits))
}

// Limit changes a tenant's limits.
func (s *Server) Limit(ctx context.Context, r *pb.LimitRequest) (*pb.Tenant, error) {
	c := tenancy.Change{Kind: tenancy.Limit, Name: r.Name, Version: r.Version}
	return s.change(ctx, access.Manage, r.RequestId, c, applyLimits(r.Limits))
}

// Pause pauses a tenant: its new requests are rejected.
func (s *Server) Pause(ctx context.Context, r *pb.ChangeRequest) (*pb.Tenant, error) {
	c := tenancy.Change{Kind: tenancy.Pause, Name: r.Name, Version: r.Version}
	return s.change(ctx, access.PauseResume, r.RequestId, c, nil)
}

// Resume resumes a paused tenant: its requests are accepted again.
func (s *Server) Resume(ctx context.Context, r *pb.ChangeRequest) (*pb.Tenant, error) {
	c := tenancy.Change{Kind: tenancy.Resume, Name: r.Name, Version: r.Version}
	return s.change(ctx, access.PauseResume, r.RequestId, c, nil)
}

// Remove starts the removal of a tenant.
func (s *Server) Remove(ctx context.Context, r *pb.RemoveRequest) (*pb.Tenant, error) {
	if r.Ending < 0 || r.Ending > pb.Ending_STOP {
		return nil, invalidArgument("ending", "RUN_OUT or STOP is expected")
	}
	c := tenancy.Change{Kind: tenancy.Remove, Name: r.Name, Version: r.Version, Removal: tenancy.RemovalMode(r.Ending)}
	return s.change(ctx, access.Manage, r.RequestId, c, nil)
}

// Get returns a tenant.
func (s *Server) Get(ctx context.Context, r *pb.GetRequest) (found *pb.Tenant, err error) {
	if _, err := authorize(ctx, access.View, r.Name); err != nil {
		return nil, err
	}
	err = s.withStore(ctx, func(store *tenants.Store) error {
		state, err := store.Read()
		if err != nil {
			return err
		}
		t, ok := state.Tenants.Get(r.Name)
		if !ok {
			return statusError(&tenancy.ChangeError{Field: "name", Kind: tenancy.NotFound, Text: fmt.Sprintf("no tenant %.70q", r.Name)})
		}
		found = tenantMessage(&t)
		return nil
	})
	return found, s.publicError(err)
}

// pageSize returns the number of items on a page: the requested one, or the default if none is requested.
func pageSize(requested int32) (int, error) {
	switch {
	case requested == 0:
		return defaultPageSize, nil
	case requested < 0 || requested > maxPageSize:
		return 0, invalidArgument("page_size", fmt.Sprintf("1 to %d is expected", maxPageSize))
	}
	return int(requested), nil
}

// List returns a page of the tenants that the caller may see, in the order of their names. A page begins after the last name of the page
// before, so that adding or removing a tenant between two calls neither repeats nor skips others.
func (s *Server) List(ctx context.Context, r *pb.ListRequest) (*pb.ListResponse, error) {
	caller, err := callerOf(ctx)
	if err != nil {
		return nil, errNotAllowed
	}
	size, err := pageSize(r.PageSize)
	if err != nil {
		return nil, err
	}
	page := &pb.ListResponse{}
	err = s.withStore(ctx, func(store *tenants.Store) error {
		state, err := store.Read()
		if err != nil {
			return err
		}
		for _, t := range state.Tenants.All() {
			if t.Name <= r.PageToken || !caller.CanView(t.Name) || t.State == tenancy.Removed && !r.Removed {
				continue
			}
			if len(page.Tenants) == size {
				page.NextPageToken = page.Tenants[size-1].Name
				break
			}
			page.Tenants = append(page.Tenants, tenantMessage(&t))
		}
		return nil
	})
	return page, s.publicError(err)
}
