package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/user"
	"time"

	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/tenancy"
	"ravenpond/internal/site"
	"ravenpond/internal/state/bolt"
	"ravenpond/internal/state/tenants"
)

// tenantCommands change and show the tenants in a scheduler's state folder. The scheduler may be running: it checks for changes twice a second.
type tenantCommands struct {
	Add    tenantAdd    `cmd:"" help:"Add a tenant."`
	Limit  tenantLimit  `cmd:"" help:"Change a tenant's limits; those that are not given stay."`
	Pause  tenantPause  `cmd:"" help:"Accept no new requests of a tenant; open requests and running tasks continue."`
	Resume tenantResume `cmd:"" help:"Accept requests of a paused tenant again."`
	Remove tenantRemove `cmd:"" help:"Remove a tenant; its open requests are still answered, its running tasks end by themselves or are stopped."`
	List   tenantList   `cmd:"" help:"List tenants."`
	Token  tenantToken  `cmd:"" help:"Issue a token for a tenant's clients. It is printed once and not stored."`
	Revoke tenantRevoke `cmd:"" help:"Revoke a token by its ID and close the connections that use it."`
	Copy   tenantCopy   `cmd:"" help:"Copy the store into the state folders of other scheduler processes of the site."`
	Log    tenantLog    `cmd:"" help:"Verify the chain of authentication codes of the audit log, and print the log."`
}

// tenantFlags locate the store of tenants.
type tenantFlags struct {
	Site  string `required:"" type:"existingfile" help:"Site file."`
	State string `required:"" type:"path" help:"State folder of the scheduler."`
}

// withStore opens the store, calls do and closes the store. It retries while a scheduler has the store locked.
func (f tenantFlags) withStore(do func(s *tenants.Store) error) error {
	config, err := site.Load(f.Site)
	if err != nil {
		return err
	}
	if config.MaxHostedTenants == 0 {
		return fmt.Errorf("site file %s has no <hosting> element: its tenants are fixed in the file and cannot be changed by commands", f.Site)
	}
	return useStore(func() (*tenants.Store, error) { return tenants.Open(f.State, config.MaxHostedTenants) }, do)
}

// currentUser returns the name of the operating system user, for the audit log.
func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return fmt.Sprint("uid ", os.Getuid())
}

// changeFlags are the flags of a change of one tenant.
type changeFlags struct {
	tenantFlags
	Name    string `arg:"" help:"The tenant's name."`
	Version uint64 `help:"Change only a tenant that still has this version."`
	Request string `help:"Idempotency key: a repeated request with the same key changes nothing and has the same answer."`
}

// apply applies a change and prints the resulting state of the tenant.
func (f changeFlags) apply(change func(s *tenants.Store) (tenancy.Change, error)) error {
	return f.withStore(func(s *tenants.Store) error {
		c, err := change(s)
		if err != nil {
			return err
		}
		c.Name, c.Version = f.Name, f.Version
		t, rejected, err := s.Apply(time.Now(), currentUser(), f.Request, c)
		if err != nil {
			return err
		}
		if rejected != nil {
			return rejected
		}
		fmt.Printf("%s: %s, version %d\n", t.Name, t.State, t.Version)
		return nil
	})
}

// changeOfKind returns a function for apply that returns a change without further arguments.
func changeOfKind(k tenancy.Kind) func(*tenants.Store) (tenancy.Change, error) {
	return func(*tenants.Store) (tenancy.Change, error) { return tenancy.Change{Kind: k}, nil }
}

// tenantAdd adds a tenant.
type tenantAdd struct {
	changeFlags
	Share          float64 `default:"1" help:"Share of the machines, relative to the shares of other tenants."`
	Rate           float64 `help:"Maximum rate, in requests per second; 0: limited only by the share."`
	Burst          float64 `default:"10" help:"Maximum burst after an idle time, in requests; applies only with --rate."`
	MaxOpen        int     `name:"open" help:"Maximum number of open requests; 0: limited only by the capacity."`
	QueueLength    int     `name:"wait" default:"1000" help:"Maximum length of the tenant's queue, in requests; further requests are declined immediately."`
	MaxConnections int     `name:"conns" help:"Maximum number of client connections; 0: derived from the share."`
	Bytes          float64 `help:"Maximum bytes per second from the tenant's clients; 0: the default."`
}

// Run adds the tenant.
func (c *tenantAdd) Run() error {
	return c.apply(func(*tenants.Store) (tenancy.Change, error) {
		return tenancy.Change{Kind: tenancy.Add, Limits: tenancy.Limits{Limits: fairqueue.Limits{
			Share: c.Share, Rate: c.Rate,
			Burst: c.Burst, MaxOpen: c.MaxOpen, MaxWaiting: c.QueueLength,
		}, MaxConns: c.MaxConnections, BytesPerSecond: c.Bytes}}, nil
	})
}

// tenantLimit changes limits of a tenant. A limit that was not given is nil.
type tenantLimit struct {
	changeFlags
	Share          *float64 `help:"Share of the machines, relative to the shares of other tenants."`
	Rate           *float64 `help:"Maximum rate, in requests per second; 0: limited only by the share."`
	Burst          *float64 `help:"Maximum burst after an idle time, in requests."`
	MaxOpen        *int     `name:"open" help:"Maximum number of open requests; 0: limited only by the capacity."`
	QueueLength    *int     `name:"wait" help:"Maximum length of the tenant's queue, in requests."`
	MaxConnections *int     `name:"conns" help:"Maximum number of client connections; 0: derived from the share."`
	Bytes          *float64 `help:"Maximum bytes per second from the tenant's clients; 0: the default."`
}

// Run reads the limits of the tenant, replaces the given ones and writes all of them.
func (c *tenantLimit) Run() error {
	return c.apply(func(s *tenants.Store) (tenancy.Change, error) {
		all, err := s.Read()
		if err != nil {
			return tenancy.Change{}, err
		}
		t, _ := all.Tenants.Get(c.Name) // if there is none, applying the change returns the error
		l := t.Limits
		setIfGiven(&l.Share, c.Share)
		setIfGiven(&l.Rate, c.Rate)
		setIfGiven(&l.Burst, c.Burst)
		setIfGiven(&l.MaxOpen, c.MaxOpen)
		setIfGiven(&l.MaxWaiting, c.QueueLength)
		setIfGiven(&l.MaxConns, c.MaxConnections)
		setIfGiven(&l.BytesPerSecond, c.Bytes)
		return tenancy.Change{Kind: tenancy.Limit, Limits: l}, nil
	})
}

// setIfGiven copies a value unless it is nil.
func setIfGiven[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// tenantPause pauses a tenant.
type tenantPause struct{ changeFlags }

// Run pauses the tenant.
func (c *tenantPause) Run() error { return c.apply(changeOfKind(tenancy.Pause)) }

// tenantResume resumes a paused tenant.
type tenantResume struct{ changeFlags }

// Run resumes the tenant.
func (c *tenantResume) Run() error { return c.apply(changeOfKind(tenancy.Resume)) }

// tenantRemove removes a tenant.
type tenantRemove struct {
	changeFlags
	Ending string `enum:"run-out,stop" default:"run-out" help:"What becomes of running tasks: run-out lets them end by themselves, stop stops them."`
}

// Run starts the removal; the running schedulers complete it.
func (c *tenantRemove) Run() error {
	mode, invalid := tenancy.ParseRemovalMode(c.Ending)
	if invalid != nil {
		return invalid
	}
	return c.apply(func(*tenants.Store) (tenancy.Change, error) {
		return tenancy.Change{Kind: tenancy.Remove, Removal: mode}, nil
	})
}

// tenantList lists tenants.
type tenantList struct {
	tenantFlags
	All bool `help:"List removed tenants too."`
}

// Run prints a table of the tenants.
func (c *tenantList) Run() error {
	return c.withStore(func(s *tenants.Store) error {
		all, err := s.Read()
		if err != nil {
			return err
		}
		tokens := map[string]int{}
		for _, k := range all.Tokens {
			if time.Now().Before(k.Expires) {
				tokens[k.Tenant]++
			}
		}
		out := newTable(os.Stdout, "tenant\tstate\tshare\trate\tburst\topen\twait\tconns\tbytes\ttokens\tversion\tsince")
		for _, t := range all.Tenants.All() {
			if t.State == tenancy.Removed && !c.All {
				continue
			}
			limits := t.Limits
			out.row("%s\t%s\t%g\t%g\t%g\t%d\t%d\t%d\t%g\t%d\t%d\t%s", t.Name, t.State, limits.Share, limits.Rate, limits.Burst, limits.MaxOpen, limits.MaxWaiting, limits.MaxConns, limits.BytesPerSecond,
				tokens[t.Name], t.Version, time.UnixMilli(int64(t.StateChangedAt)).UTC().Format(time.RFC3339))
		}
		return out.flush()
	})
}

// tenantToken issues a token.
type tenantToken struct {
	tenantFlags
	Name     string        `arg:"" help:"The tenant's name."`
	Lifetime time.Duration `name:"last" default:"2160h" help:"Time for which the token is valid."`
}

// Run issues the token and prints it.
func (c *tenantToken) Run() error {
	if c.Lifetime <= 0 {
		return errors.New("--last must be above 0")
	}
	return c.withStore(func(s *tenants.Store) error {
		token, err := s.IssueToken(time.Now(), currentUser(), c.Name, c.Lifetime)
		if err == nil {
			fmt.Println(token)
		}
		return err
	})
}

// tenantCopy copies the store.
type tenantCopy struct {
	tenantFlags
	To []string `required:"" type:"path" help:"State folder of another scheduler process; may be given more than once."`
}

// Run copies the store into each folder. A failure for one folder does not prevent the copies to the others.
func (c *tenantCopy) Run() error {
	return c.withStore(func(s *tenants.Store) (err error) {
		for _, folder := range c.To {
			err = errors.Join(err, bolt.RetryWhileLocked(context.Background(), maxOpenAttempts, func() error { return s.CopyTo(folder) }))
		}
		return err
	})
}

// tenantRevoke revokes a token.
type tenantRevoke struct {
	tenantFlags
	ID string `arg:"" help:"ID of the token: the part before the dot."`
}

// Run revokes the token.
func (c *tenantRevoke) Run() error {
	return c.withStore(func(s *tenants.Store) error { return s.RevokeToken(time.Now(), currentUser(), c.ID) })
}

// tenantLog prints the audit log.
type tenantLog struct {
	tenantFlags
	From uint64 `default:"1" help:"Number of the first record to print; all records are verified."`
}

// Run verifies all records and prints them, beginning with the number From.
func (c *tenantLog) Run() error {
	return c.withStore(func(s *tenants.Store) error {
		out := newTable(os.Stdout, "no\tat\tby\twhat\ttenant\tafter it")
		err := s.Records(c.From, func(n uint64, r tenants.Record) error {
			out.row("%d\t%s\t%s\t%s\t%s\t%s", n, r.At.UTC().Format(time.RFC3339), r.Actor, r.Action, r.Tenant, r.After)
			return nil
		})
		return errors.Join(out.flush(), err)
	})
}
