package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/tenancy"
	"ravenpond/internal/site"
	"ravenpond/internal/state/bolt"
	"ravenpond/internal/state/tenants"
)

// tenantCommands change and show the tenants in a scheduler's state folder, also while it runs: it looks twice a second.
type tenantCommands struct {
	Add    tenantAdd    `cmd:"" help:"Add a tenant."`
	Limit  tenantLimit  `cmd:"" help:"Change a tenant's limits: those that are not named stay."`
	Pause  tenantPause  `cmd:"" help:"Take nothing new of a tenant; what is open and runs goes on."`
	Resume tenantResume `cmd:"" help:"Take its asks again."`
	Remove tenantRemove `cmd:"" help:"Remove a tenant: what is open is answered, what runs is stopped or runs out."`
	List   tenantList   `cmd:"" help:"List tenants."`
	Token  tenantToken  `cmd:"" help:"Issue a token for a tenant's programs, and print it this once."`
	Revoke tenantRevoke `cmd:"" help:"Revoke a token by its id: connections that showed it end."`
	Copy   tenantCopy   `cmd:"" help:"Put the store into the state folders of a site's other processes."`
	Log    tenantLog    `cmd:"" help:"Print the record of changes, and hold it against its codes."`
}

type tenantFlags struct {
	Site  string `required:"" type:"existingfile" help:"The site file."`
	State string `required:"" type:"path" help:"The scheduler's state folder."`
}

// withStore does something with the store, waiting for a scheduler that looks at it just now.
func (f tenantFlags) withStore(do func(s *tenants.Store) error) error {
	place, err := site.Load(f.Site)
	if err != nil {
		return err
	}
	if place.MaxHostedTenants == 0 {
		return fmt.Errorf("site file %s: no <hosting>: its tenants are named there, and do not come and go", f.Site)
	}
	return useStore(func() (*tenants.Store, error) { return tenants.Open(f.State, place.MaxHostedTenants) }, do)
}

// currentUser names the person at the command line, for the record.
func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return fmt.Sprint("uid ", os.Getuid())
}

type changeFlags struct {
	tenantFlags
	Name    string `arg:"" help:"The tenant's name."`
	Version uint64 `help:"Only if the tenant is still of this version."`
	Request string `help:"Id of this request: made again, it changes nothing and has the same answer."`
}

func (f changeFlags) apply(change func(s *tenants.Store) (tenancy.Change, error)) error {
	return f.withStore(func(s *tenants.Store) error {
		c, err := change(s)
		if err != nil {
			return err
		}
		c.Name, c.Version = f.Name, f.Version
		t, fault, err := s.Apply(time.Now(), currentUser(), f.Request, c)
		if err != nil {
			return err
		}
		if fault != nil {
			return fault
		}
		fmt.Printf("%s: %s, version %d\n", t.Name, t.State, t.Version)
		return nil
	})
}

func changeOfKind(k tenancy.Kind) func(*tenants.Store) (tenancy.Change, error) {
	return func(*tenants.Store) (tenancy.Change, error) { return tenancy.Change{Kind: k}, nil }
}

type tenantAdd struct {
	changeFlags
	Share          float64 `default:"1" help:"Its share of the machines, beside those of others."`
	Rate           float64 `help:"Asks a second that may pass; 0: as many as its share brings."`
	Burst          float64 `default:"10" help:"Asks that may pass at once after a calm time, where there is a rate."`
	MaxOpen        int     `name:"open" help:"Asks that may be open at once; 0: as many as there is room for."`
	QueueLength    int     `name:"wait" default:"1000" help:"Asks that may wait in its line; beyond it they are declined at once."`
	MaxConnections int     `name:"conns" help:"Connections of its owners at once; 0: by its share of the door."`
	Bytes          float64 `help:"Bytes that its owners may send a second; 0: as many as usual."`
}

func (c *tenantAdd) Run() error {
	return c.apply(func(*tenants.Store) (tenancy.Change, error) {
		return tenancy.Change{Kind: tenancy.Add, Limits: tenancy.Limits{Limits: fairqueue.Limits{
			Share: c.Share, Rate: c.Rate,
			Burst: c.Burst, MaxOpen: c.MaxOpen, MaxWaiting: c.QueueLength,
		}, MaxConns: c.MaxConnections, BytesPerSecond: c.Bytes}}, nil
	})
}

type tenantLimit struct {
	changeFlags
	Share          *float64 `help:"Its share of the machines."`
	Rate           *float64 `help:"Asks a second that may pass, 0: no limit."`
	Burst          *float64 `help:"Asks that may pass at once after a calm time."`
	MaxOpen        *int     `name:"open" help:"Asks that may be open at once, 0: no limit."`
	QueueLength    *int     `name:"wait" help:"Asks that may wait in its line."`
	MaxConnections *int     `name:"conns" help:"Connections of its owners at once, 0: by its share of the door."`
	Bytes          *float64 `help:"Bytes that its owners may send a second, 0: as many as usual."`
}

func (c *tenantLimit) Run() error {
	return c.apply(func(s *tenants.Store) (tenancy.Change, error) {
		all, err := s.Read()
		if err != nil {
			return tenancy.Change{}, err
		}
		t, _ := all.Tenants.Get(c.Name) // none: the change itself says so
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

func setIfGiven[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

type tenantPause struct{ changeFlags }

func (c *tenantPause) Run() error { return c.apply(changeOfKind(tenancy.Pause)) }

type tenantResume struct{ changeFlags }

func (c *tenantResume) Run() error { return c.apply(changeOfKind(tenancy.Resume)) }

type tenantRemove struct {
	changeFlags
	Ending string `enum:"run-out,stop" default:"run-out" help:"What becomes of what runs: run-out or stop."`
}

func (c *tenantRemove) Run() error {
	ending, fault := tenancy.ParseRemovalMode(c.Ending)
	if fault != nil {
		return fault
	}
	return c.apply(func(*tenants.Store) (tenancy.Change, error) {
		return tenancy.Change{Kind: tenancy.Remove, Removal: ending}, nil
	})
}

type tenantList struct {
	tenantFlags
	All bool `help:"Those that were removed too."`
}

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
		out := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
		fmt.Fprintln(out, "tenant\tstate\tshare\trate\tburst\topen\twait\tconns\tbytes\ttokens\tversion\tsince")
		for _, t := range all.Tenants.All() {
			if t.State == tenancy.Removed && !c.All {
				continue
			}
			limits := t.Limits
			fmt.Fprintf(out, "%s\t%s\t%g\t%g\t%g\t%d\t%d\t%d\t%g\t%d\t%d\t%s\n", t.Name, t.State, limits.Share, limits.Rate, limits.Burst, limits.MaxOpen, limits.MaxWaiting, limits.MaxConns, limits.BytesPerSecond,
				tokens[t.Name], t.Version, time.UnixMilli(int64(t.StateChangedAt)).UTC().Format(time.RFC3339))
		}
		return out.Flush()
	})
}

type tenantToken struct {
	tenantFlags
	Name     string        `arg:"" help:"The tenant's name."`
	Lifetime time.Duration `name:"last" default:"2160h" help:"How long it is good."`
}

func (c *tenantToken) Run() error {
	if c.Lifetime <= 0 {
		return errors.New("--last: a time above 0 is expected")
	}
	return c.withStore(func(s *tenants.Store) error {
		shown, err := s.IssueToken(time.Now(), currentUser(), c.Name, c.Lifetime)
		if err == nil {
			fmt.Println(shown)
		}
		return err
	})
}

type tenantCopy struct {
	tenantFlags
	To []string `required:"" type:"path" help:"The state folder of another process; more than one may be named."`
}

func (c *tenantCopy) Run() error {
	return c.withStore(func(s *tenants.Store) (err error) {
		for _, folder := range c.To { // one that can't be written keeps none of the others from it
			err = errors.Join(err, bolt.RetryWhileLocked(context.Background(), maxOpenAttempts, func() error { return s.CopyTo(folder) }))
		}
		return err
	})
}

type tenantRevoke struct {
	tenantFlags
	ID string `arg:"" help:"The token's id: what stands before the point."`
}

func (c *tenantRevoke) Run() error {
	return c.withStore(func(s *tenants.Store) error { return s.RevokeToken(time.Now(), currentUser(), c.ID) })
}

type tenantLog struct {
	tenantFlags
	From uint64 `default:"1" help:"The first record that is printed; all are checked."`
}

func (c *tenantLog) Run() error {
	return c.withStore(func(s *tenants.Store) error {
		out := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
		fmt.Fprintln(out, "no\tat\tby\twhat\ttenant\tafter it")
		err := s.Records(c.From, func(n uint64, r tenants.Record) error {
			_, err := fmt.Fprintf(out, "%d\t%s\t%s\t%s\t%s\t%s\n", n, r.At.UTC().Format(time.RFC3339), r.Actor, r.Action, r.Tenant, json.RawMessage(r.After))
			return err
		})
		return errors.Join(out.Flush(), err)
	})
}
