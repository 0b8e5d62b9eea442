package admin

import (
	"errors"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenpond/internal/decide/tenancy"
)

// errNotAllowed gives no reason, so that callers without permission cannot find out which tenants exist.
var errNotAllowed = status.Error(codes.PermissionDenied, "not allowed")

// statusCodes are the gRPC codes of rejected changes, by kind of error.
var statusCodes = [...]codes.Code{
	tenancy.Invalid:    codes.InvalidArgument,
	tenancy.NotFound:   codes.NotFound,
	tenancy.Exists:     codes.AlreadyExists,
	tenancy.Stale:      codes.Aborted,
	tenancy.NotAllowed: codes.FailedPrecondition,
	tenancy.NoCapacity: codes.ResourceExhausted,
}

// statusError returns the status of a rejected change. Its details name the invalid field.
func statusError(e *tenancy.ChangeError) error {
	code := statusCodes[e.Kind]
	st, err := status.New(code, e.Error()).WithDetails(&errdetails.BadRequest{
		FieldViolations: []*errdetails.BadRequest_FieldViolation{{Field: e.Field, Description: e.Text}},
	})
	if err != nil {
		return status.Error(code, e.Error())
	}
	return st.Err()
}

// invalidArgument returns the status of a request with an invalid field.
func invalidArgument(field, text string) error {
	return statusError(&tenancy.ChangeError{Field: field, Kind: tenancy.Invalid, Text: text})
}

// publicError returns the error that the caller gets: a status unchanged; for any other error, which it logs, a status without its text.
func (s *Server) publicError(err error) error {
	var withStatus interface{ GRPCStatus() *status.Status }
	switch {
	case err == nil:
		return nil
	case errors.As(err, &withStatus):
		return withStatus.GRPCStatus().Err() // without the errors joined to it
	}
	s.Log.Error().Str("mode", "admin").Err(err).Send()
	return status.Error(codes.Internal, "failed inside; its log says why")
}
