package admin

import (
	"errors"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenpond/internal/decide/tenancy"
)

// errNotAllowed does not tell why, so that nobody learns which tenants there are.
var errNotAllowed = status.Error(codes.PermissionDenied, "not allowed")

// statusCodes are the gRPC codes of changes that are not made.
var statusCodes = [...]codes.Code{
	tenancy.Invalid:    codes.InvalidArgument,
	tenancy.NotFound:   codes.NotFound,
	tenancy.Exists:     codes.AlreadyExists,
	tenancy.Stale:      codes.Aborted,
	tenancy.NotAllowed: codes.FailedPrecondition,
	tenancy.NoCapacity: codes.ResourceExhausted,
}

// statusError is the status of a change that is not made. Its details name the field at fault.
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

// invalidArgument is the status of a request whose field is not valid.
func invalidArgument(field, text string) error {
	return statusError(&tenancy.ChangeError{Field: field, Kind: tenancy.Invalid, Text: text})
}

// publicError is what the caller is told of an error: a status as it is, an internal error without its text, which is logged.
func (s *Server) publicError(err error) error {
	var withStatus interface{ GRPCStatus() *status.Status }
	switch {
	case err == nil:
		return nil
	case errors.As(err, &withStatus):
		return withStatus.GRPCStatus().Err() // without the errors that were joined to it
	}
	s.Log.Error().Str("mode", "admin").Err(err).Send()
	return status.Error(codes.Internal, "failed inside; its log says why")
}
