package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/status"

	"ravenpond/internal/keys"
	pb "ravenpond/internal/proto/admin"
)

// adminCommands speak the administration API of a running scheduler.
type adminCommands struct {
	Add    adminAdd    `cmd:"" help:"Add a tenant."`
	Limit  adminLimit  `cmd:"" help:"Change a tenant's limits: those that are not named stay."`
	Pause  adminPause  `cmd:"" help:"Take nothing new of a tenant."`
	Resume adminResume `cmd:"" help:"Take its asks again."`
	Remove adminRemove `cmd:"" help:"Remove a tenant."`
	List   adminList   `cmd:"" help:"List the tenants that you may see."`
	Token  adminToken  `cmd:"" help:"Issue a token for a tenant's programs, and print it this once."`
	Revoke adminRevoke `cmd:"" help:"Revoke a token by its id."`
	Log    adminLog    `cmd:"" help:"Print the record of changes."`
}

type adminFlags struct {
	Address  string        `name:"at" required:"" help:"Address of the administration."`
	Keys     string        `required:"" type:"path" help:"Folder with the authority's ca.pem and your NAME.pem and NAME.key."`
	Identity string        `name:"as" required:"" help:"Your NAME there."`
	Timeout  time.Duration `name:"wait" default:"5s" help:"Time for the call."`
}

// call makes a call and says what went wrong in a line.
func (f adminFlags) call(ctx context.Context, do func(ctx context.Context, c pb.TenantsClient) error) error {
	creds, err := keys.ClientCredentials(f.Keys, f.Identity)
	if err != nil {
		return err
	}
	conn, err := grpc.NewClient(f.Address, grpc.WithTransportCredentials(creds))
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, stop := context.WithTimeout(ctx, f.Timeout)
	defer stop()
	if err := do(ctx, pb.NewTenantsClient(conn)); err != nil {
		s := status.Convert(err)
		return fmt.Errorf("%s: %s", strings.ToLower(s.Code().String()), s.Message())
	}
	return nil
}

type adminChange struct {
	adminFlags
	Name    string `arg:"" help:"The tenant's name."`
	Version uint64 `help:"Only if the tenant is still of this version."`
	Request string `help:"Id of this request: made again, it changes nothing and has the same answer."`
}

func (f adminChange) change(ctx context.Context, do func(ctx context.Context, c pb.TenantsClient) (*pb.Tenant, error)) error {
	return f.call(ctx, func(ctx context.Context, c pb.TenantsClient) error {
		t, err := do(ctx, c)
		if err == nil {
			fmt.Printf("%s: %s, version %d\n", t.Name, strings.ToLower(t.State.String()), t.Version)
		}
		return err
	})
}

type adminLimits struct {
	Share          *float64 `help:"Its share of the machines, beside those of others."`
	Rate           *float64 `help:"Asks a second that may pass; 0: as many as its share brings."`
	Burst          *float64 `help:"Asks that may pass at once after a calm time."`
	MaxOpen        *int64   `name:"open" help:"Asks that may be open at once; 0: as many as there is room for."`
	QueueLength    *int64   `name:"line" help:"Asks that may wait in its line."`
	MaxConnections *int64   `name:"conns" help:"Connections of its owners at once; 0: by its share of the door."`
	Bytes          *float64 `help:"Bytes that its owners may send a second; 0: as many as usual."`
}

func (l adminLimits) message() *pb.Limits {
	return &pb.Limits{Share: l.Share, Rate: l.Rate, Burst: l.Burst, Open: l.MaxOpen, Wait: l.QueueLength, Conns: l.MaxConnections, Bytes: l.Bytes}
}

type adminAdd struct {
	adminChange
	adminLimits
}

func (c *adminAdd) Run(ctx context.Context) error {
	return c.change(ctx, func(ctx context.Context, to pb.TenantsClient) (*pb.Tenant, error) {
		return to.Add(ctx, &pb.AddRequest{Name: c.Name, Limits: c.message(), RequestId: c.Request})
	})
}

type adminLimit struct {
	adminChange
	adminLimits
}

func (c *adminLimit) Run(ctx context.Context) error {
	return c.change(ctx, func(ctx context.Context, to pb.TenantsClient) (*pb.Tenant, error) {
		return to.Limit(ctx, &pb.LimitRequest{Name: c.Name, Limits: c.message(), Version: c.Version, RequestId: c.Request})
	})
}

func (f adminChange) request() *pb.ChangeRequest {
	return &pb.ChangeRequest{Name: f.Name, Version: f.Version, RequestId: f.Request}
}

type adminPause struct{ adminChange }

func (c *adminPause) Run(ctx context.Context) error {
	return c.change(ctx, func(ctx context.Context, to pb.TenantsClient) (*pb.Tenant, error) { return to.Pause(ctx, c.request()) })
}

type adminResume struct{ adminChange }

func (c *adminResume) Run(ctx context.Context) error {
	return c.change(ctx, func(ctx context.Context, to pb.TenantsClient) (*pb.Tenant, error) { return to.Resume(ctx, c.request()) })
}

type adminRemove struct {
	adminChange
	Ending string `enum:"run-out,stop" default:"run-out" help:"What becomes of what runs: run-out or stop."`
}

func (c *adminRemove) Run(ctx context.Context) error {
	ending := pb.Ending_RUN_OUT
	if c.Ending == "stop" {
		ending = pb.Ending_STOP
	}
	return c.change(ctx, func(ctx context.Context, to pb.TenantsClient) (*pb.Tenant, error) {
		return to.Remove(ctx, &pb.RemoveRequest{Name: c.Name, Ending: ending, Version: c.Version, RequestId: c.Request})
	})
}

type adminList struct {
	adminFlags
	All bool `help:"Those that were removed too."`
}

func (c *adminList) Run(ctx context.Context) error {
	return c.call(ctx, func(ctx context.Context, to pb.TenantsClient) error {
		out := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
		fmt.Fprintln(out, "tenant\tstate\tshare\trate\tburst\topen\tline\tversion")
		for token := ""; ; {
			page, err := to.List(ctx, &pb.ListRequest{PageToken: token, Removed: c.All})
			if err != nil {
				return err
			}
			for _, t := range page.Tenants {
				l := t.Limits
				fmt.Fprintf(out, "%s\t%s\t%g\t%g\t%g\t%d\t%d\t%d\n", t.Name, strings.ToLower(t.State.String()), l.GetShare(), l.GetRate(),
					l.GetBurst(), l.GetOpen(), l.GetWait(), t.Version)
			}
			if token = page.NextPageToken; token == "" {
				return out.Flush()
			}
		}
	})
}

type adminToken struct {
	adminFlags
	Name     string        `arg:"" help:"The tenant's name."`
	Lifetime time.Duration `name:"last" default:"2160h" help:"How long it is good."`
}

func (c *adminToken) Run(ctx context.Context) error {
	return c.call(ctx, func(ctx context.Context, to pb.TenantsClient) error {
		got, err := to.IssueToken(ctx, &pb.IssueTokenRequest{Name: c.Name, LastsS: int64(c.Lifetime / time.Second)})
		if err == nil {
			fmt.Println(got.Token)
		}
		return err
	})
}

type adminRevoke struct {
	adminFlags
	ID string `arg:"" help:"The token's id: what stands before the point."`
}

func (c *adminRevoke) Run(ctx context.Context) error {
	return c.call(ctx, func(ctx context.Context, to pb.TenantsClient) error {
		_, err := to.RevokeToken(ctx, &pb.RevokeTokenRequest{Id: c.ID})
		return err
	})
}

type adminLog struct {
	adminFlags
	From uint64 `default:"1" help:"The first record."`
}

func (c *adminLog) Run(ctx context.Context) error {
	return c.call(ctx, func(ctx context.Context, to pb.TenantsClient) error {
		out := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
		fmt.Fprintln(out, "no\tat\tby\twhat\ttenant\tafter it")
		for from := c.From; ; {
			page, err := to.Records(ctx, &pb.RecordsRequest{From: from})
			if err != nil {
				return err
			}
			for _, r := range page.Records {
				fmt.Fprintf(out, "%d\t%s\t%s\t%s\t%s\t%s\n", r.Number, time.UnixMilli(int64(r.AtMs)).UTC().Format(time.RFC3339), r.By,
					r.What, r.Tenant, r.After)
			}
			if from = page.Next; from == 0 {
				return out.Flush()
			}
		}
	})
}
