// Package access implements role-based access control for the administration of a hosted service. It prevents the administrators of one
// tenant from viewing or changing another one, and readers from changing anything.
//
// The package does no I/O and holds no state. Only ParseRole returns an error.
package access

import "fmt"

// Role is the role of a caller.
type Role uint8

// Roles.
const (
	NoRole       Role = iota
	Operator          // may perform all actions
	Reader            // may view everything and change nothing
	TenantAdmin       // may view, pause and resume one tenant and manage its tokens
	TenantReader      // may view one tenant
)

var roleNames = [...]string{"nobody", "operator", "reader", "tenant-admin", "tenant-reader"}

func (r Role) String() string { return roleNames[r] }

// ParseRole returns the role with the given name, as it stands in certificates. It returns an error for the name of NoRole and for unknown names.
func ParseRole(name string) (Role, error) {
	for role := Operator; role <= TenantReader; role++ {
		if roleNames[role] == name {
			return role, nil
		}
	}
	return NoRole, fmt.Errorf("role %.20q is not one of operator, reader, tenant-admin and tenant-reader", name)
}

// IsTenantRole reports whether a role is limited to one tenant.
func (r Role) IsTenantRole() bool { return r == TenantAdmin || r == TenantReader }

// Caller is an authenticated caller of the administration.
type Caller struct {
	Role   Role
	Tenant string // tenant of a tenant role
	Name   string // name for the audit log
}

// Action is an action that a caller requests.
type Action uint8

// Actions.
const (
	View         Action = iota // view a tenant, or all that the caller may view
	ViewAudit                  // view the audit log of all tenants
	Manage                     // add, limit or remove a tenant
	PauseResume                // pause or resume a tenant
	ManageTokens               // issue or revoke a tenant's tokens
)

// Can reports whether a caller may perform an action on a tenant. The tenant is empty for an action on all tenants.
func (c Caller) Can(action Action, tenant string) bool {
	isOwn := c.Tenant != "" && tenant == c.Tenant
	switch c.Role {
	case Operator:
		return true
	case Reader:
		return action == View || action == ViewAudit
	case TenantAdmin:
		return isOwn && (action == View || action == PauseResume || action == ManageTokens)
	case TenantReader:
		return isOwn && action == View
	}
	return false
}

// CanView reports whether a list of tenants for the caller includes a tenant.
func (c Caller) CanView(tenant string) bool { return c.Can(View, tenant) }
