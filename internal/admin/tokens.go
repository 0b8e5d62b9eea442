package admin

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ravenpond/internal/decide/access"
	"ravenpond/internal/decide/tenancy"
	pb "ravenpond/internal/proto/admin"
	"ravenpond/internal/state/tenants"
)

// maxTokenSeconds is the maximum lifetime of a token: ten years.
const maxTokenSeconds = 10 * 365 * 24 * 3600

// IssueToken issues a token for a tenant's clients. The token is returned only by this call.
func (s *Server) IssueToken(ctx context.Context, r *pb.IssueTokenRequest) (issued *pb.IssueTokenResponse, err error) {
	caller, err := authorize(ctx, access.ManageTokens, r.Name)
	if err != nil {
		return nil, err
	}
	if r.LastsS < 1 || r.LastsS > maxTokenSeconds {
		return nil, invalidArgument("lasts_s", fmt.Sprintf("1 to %d is expected", maxTokenSeconds))
	}
	err = s.withStore(ctx, func(store *tenants.Store) error {
		token, err := store.IssueToken(s.Now(), caller.Name, r.Name, time.Duration(r.LastsS)*time.Second)
		var rejected *tenancy.ChangeError
		if errors.As(err, &rejected) {
			return statusError(rejected)
		}
		issued = &pb.IssueTokenResponse{Token: token}
		return err
	})
	return issued, s.publicError(err)
}

// RevokeToken revokes a token. The caller needs permission for the tenant of the token; without it, the answer is the same for the token
// of another tenant as for one that does not exist.
func (s *Server) RevokeToken(ctx context.Context, r *pb.RevokeTokenRequest) (*pb.RevokeTokenResponse, error) {
	caller, err := callerOf(ctx)
	if err != nil {
		return nil, errNotAllowed
	}
	err = s.withStore(ctx, func(store *tenants.Store) error {
		state, err := store.Read()
		if err != nil {
			return err
		}
		token, ok := state.Tokens[r.Id]
		if !caller.Can(access.ManageTokens, token.Tenant) {
			return errNotAllowed
		}
		if !ok {
			return statusError(&tenancy.ChangeError{Field: "id", Kind: tenancy.NotFound, Text: "no such token"})
		}
		return store.RevokeToken(s.Now(), caller.Name, r.Id)
	})
	return &pb.RevokeTokenResponse{}, s.publicError(err)
}
