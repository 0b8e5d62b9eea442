package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/status"

	"ravenpond/internal/keys"
	pb "ravenpond/internal/proto/admin"
)

// adminCommands call the administration API of a running scheduler.
type adminCommands struct {
	Add    adminAdd    `cmd:"" help:"Add a tenant."`
	Limit  adminLimit  `cmd:"" help:"Change a tenant's limits; those that are not given stay."`
	Pause  adminPause  `cmd:"" help:"Accept no new requests of a tenant."`
	Resume adminResume `cmd:"" help:"Accept requests of a paused tenant again."`
	Remove adminRemove `cmd:"" help:"Remove a tenant."`
	List   adminList   `cmd:"" help:"List the tenants that the caller may see."`
	Token  adminToken  `cmd:"" help:"Issue a token for a tenant's clients. It is printed once and not stored."`
	Revoke adminRevoke `cmd:"" help:"Revoke a token by its ID."`
	Log    adminLog    `cmd:"" help:"Print the audit log of changes."`
}

// adminFlags are the address of the API and the identity of the caller.
type adminFlags struct {
	Address  string        `name:"at" required:"" help:"Address of the administration API."`
	Keys     string        `required:"" type:"path" help:"Folder with the ca.pem of the certificate authority and the caller's NAME.pem and NAME.key."`
	Identity string        `name:"as" required:"" help:"NAME of the caller's files in the folder of --keys."`
	Timeout  time.Duration `name:"wait" default:"5s" help:"Time-out of the call."`
}

// call connects to the API and runs calls with it. It returns an error of the API as the code and message of its status.
func (f adminFlags) call(ctx context.Context, calls func(ctx context.Context, api pb.TenantsClient) error) (err error) {
	creds, err := keys.ClientCredentials(f.Keys, f.Identity)
	if err != nil {
		return err
	}
	conn, err := grpc.NewClient(f.Address, grpc.WithTransportCredentials(creds))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, conn.Close()) }()
	ctx, stop := context.WithTimeout(ctx, f.Timeout)
	defer stop()
	if err := calls(ctx, pb.NewTenantsClient(conn)); err != nil {
		s := status.Convert(err)
		return fmt.Errorf("%s: %s", strings.ToLower(s.Code().String()), s.Message())
	}
	return nil
}

// adminChange are the flags of a change of one tenant.
type adminChange struct {
	adminFlags
	Name    string `arg:"" help:"The tenant's name."`
	Version uint64 `help:"Change only a tenant that still has this version."`
	Request string `help:"Idempotency key: a repeated request with the same key changes nothing and has the same answer."`
}

// change makes the call do, which changes the tenant, and prints the new state of the tenant.
func (f adminChange) change(ctx context.Context, do func(ctx context.Context, api pb.TenantsClient) (*pb.Tenant, error)) error {
	return f.call(ctx, func(ctx context.Context, api pb.TenantsClient) error {
		t, err := do(ctx, api)
		if err == nil {
			fmt.Printf("%s: %s, version %d\n", t.Name, strings.ToLower(t.State.String()), t.Version)
		}
		return err
	})
}

// adminLimits are the limits of a tenant. A limit that was not given is nil.
type adminLimits struct {
	Share          *float64 `help:"Share of the machines, relative to the shares of other tenants."`
	Rate           *float64 `help:"Maximum rate, in requests per second; 0: limited only by the share."`
	Burst          *float64 `help:"Maximum burst after an idle time, in requests."`
	MaxOpen        *int64   `name:"open" help:"Maximum number of open requests; 0: limited only by the capacity."`
	QueueLength    *int64   `name:"line" help:"Maximum length of the tenant's queue, in requests."`
	MaxConnections *int64   `name:"conns" help:"Maximum number of client connections; 0: derived from the share."`
	Bytes          *float64 `help:"Maximum bytes per second from the tenant's clients; 0: the default."`
}

// message converts the limits to their API message.
func (l adminLimits) message() *pb.Limits {
	return &pb.Limits{Share: l.Share, Rate: l.Rate, Burst: l.Burst, Open: l.MaxOpen, Wait: l.QueueLength, Conns: l.MaxConnections, Bytes: l.Bytes}
}

// adminAdd adds a tenant.
type adminAdd struct {
	adminChange
	adminLimits
}

// Run adds the tenant and prints its state.
func (c *adminAdd) Run(ctx context.Context) error {
	return c.change(ctx, func(ctx context.Context, api pb.TenantsClient) (*pb.Tenant, error) {
		return api.Add(ctx, &pb.AddRequest{Name: c.Name, Limits: c.message(), RequestId: c.Request})
	})
}

// adminLimit changes limits of a tenant.
type adminLimit struct {
	adminChange
	adminLimits
}

// Run changes the limits and prints the state of the tenant.
func (c *adminLimit) Run(ctx context.Context) error {
	return c.change(ctx, func(ctx context.Context, api pb.TenantsClient) (*pb.Tenant, error) {
		return api.Limit(ctx, &pb.LimitRequest{Name: c.Name, Limits: c.message(), Version: c.Version, RequestId: c.Request})
	})
}

// request returns the API message of a change that has no further arguments.
func (f adminChange) request() *pb.ChangeRequest {
	return &pb.ChangeRequest{Name: f.Name, Version: f.Version, RequestId: f.Request}
}

// adminPause pauses a tenant.
type adminPause struct{ adminChange }

// Run pauses the tenant and prints its state.
func (c *adminPause) Run(ctx context.Context) error {
	return c.change(ctx, func(ctx context.Context, api pb.TenantsClient) (*pb.Tenant, error) {
		return api.Pause(ctx, c.request())
	})
}

// adminResume resumes a paused tenant.
type adminResume struct{ adminChange }

// Run resumes the tenant and prints its state.
func (c *adminResume) Run(ctx context.Context) error {
	return c.change(ctx, func(ctx context.Context, api pb.TenantsClient) (*pb.Tenant, error) {
		return api.Resume(ctx, c.request())
	})
}

// adminRemove removes a tenant.
type adminRemove struct {
	adminChange
	Ending string `enum:"run-out,stop" default:"run-out" help:"What becomes of running tasks: run-out lets them end by themselves, stop stops them."`
}

// Run starts the removal and prints the state of the tenant.
func (c *adminRemove) Run(ctx context.Context) error {
	ending := pb.Ending_RUN_OUT
	if c.Ending == "stop" {
		ending = pb.Ending_STOP
	}
	return c.change(ctx, func(ctx context.Context, api pb.TenantsClient) (*pb.Tenant, error) {
		return api.Remove(ctx, &pb.RemoveRequest{Name: c.Name, Ending: ending, Version: c.Version, RequestId: c.Request})
	})
}

// adminList lists tenants.
type adminList struct {
	adminFlags
	All bool `help:"List removed tenants too."`
}

// Run prints a table of the tenants, page by page.
func (c *adminList) Run(ctx context.Context) error {
	return c.call(ctx, func(ctx context.Context, api pb.TenantsClient) error {
		out := newTable(os.Stdout, "tenant\tstate\tshare\trate\tburst\topen\tline\tversion")
		for token := ""; ; {
			page, err := api.List(ctx, &pb.ListRequest{PageToken: token, Removed: c.All})
			if err != nil {
				return err
			}
			for _, t := range page.Tenants {
				limits := t.Limits
				out.row("%s\t%s\t%g\t%g\t%g\t%d\t%d\t%d", t.Name, strings.ToLower(t.State.String()), limits.GetShare(), limits.GetRate(),
					limits.GetBurst(), limits.GetOpen(), limits.GetWait(), t.Version)
			}
			if token = page.NextPageToken; token == "" {
				return out.flush()
			}
		}
	})
}

// adminToken issues a token.
type adminToken struct {
	adminFlags
	Name     string        `arg:"" help:"The tenant's name."`
	Lifetime time.Duration `name:"last" default:"2160h" help:"Time for which the token is valid."`
}

// Run issues the token and prints it.
func (c *adminToken) Run(ctx context.Context) error {
	return c.call(ctx, func(ctx context.Context, api pb.TenantsClient) error {
		got, err := api.IssueToken(ctx, &pb.IssueTokenRequest{Name: c.Name, LastsS: int64(c.Lifetime / time.Second)})
		if err == nil {
			fmt.Println(got.Token)
		}
		return err
	})
}

// adminRevoke revokes a token.
type adminRevoke struct {
	adminFlags
	ID string `arg:"" help:"ID of the token: the part before the dot."`
}

// Run revokes the token.
func (c *adminRevoke) Run(ctx context.Context) error {
	return c.call(ctx, func(ctx context.Context, api pb.TenantsClient) error {
		_, err := api.RevokeToken(ctx, &pb.RevokeTokenRequest{Id: c.ID})
		return err
	})
}

// adminLog prints the audit log.
type adminLog struct {
	adminFlags
	From uint64 `default:"1" help:"Number of the first record."`
}

// Run prints the records, beginning with the number From, page by page.
func (c *adminLog) Run(ctx context.Context) error {
	return c.call(ctx, func(ctx context.Context, api pb.TenantsClient) error {
		out := newTable(os.Stdout, "no\tat\tby\twhat\ttenant\tafter it")
		for from := c.From; ; {
			page, err := api.Records(ctx, &pb.RecordsRequest{From: from})
			if err != nil {
				return err
			}
			for _, r := range page.Records {
				out.row("%d\t%s\t%s\t%s\t%s\t%s", r.Number, time.UnixMilli(int64(r.AtMs)).UTC().Format(time.RFC3339), r.By,
					r.What, r.Tenant, r.After)
			}
			if from = page.Next; from == 0 {
				return out.flush()
			}
		}
	})
}
