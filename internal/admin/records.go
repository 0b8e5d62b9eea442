package admin

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenpond/internal/decide/access"
	pb "ravenpond/internal/proto/admin"
	"ravenpond/internal/state/tenants"
)

// Records returns a page of the audit log. It reads the whole log, so that tampering anywhere in it is reported.
func (s *Server) Records(ctx context.Context, r *pb.RecordsRequest) (*pb.RecordsResponse, error) {
	if _, err := authorize(ctx, access.ViewAudit, ""); err != nil {
		return nil, err
	}
	size, err := pageSize(r.PageSize)
	if err != nil {
		return nil, err
	}
	page := &pb.RecordsResponse{}
	err = s.withStore(ctx, func(store *tenants.Store) error {
		err := store.Records(max(1, r.From), func(number uint64, record tenants.Record) error {
			if len(page.Records) == size {
				if page.Next == 0 {
					page.Next = number
				}
				return nil
			}
			page.Records = append(page.Records, recordMessage(number, &record))
			return nil
		})
		if errors.Is(err, tenants.ErrTampered) {
			return status.Error(codes.DataLoss, err.Error())
		}
		return err
	})
	if err != nil {
		return nil, s.publicError(err)
	}
	return page, nil
}

// recordMessage converts a record of the audit log to its API message.
func recordMessage(number uint64, r *tenants.Record) *pb.Record {
	return &pb.Record{
		Number: number, AtMs: float64(r.At.UnixMilli()), By: r.Actor, What: r.Action,
		Tenant: r.Tenant, After: string(r.After),
	}
}
