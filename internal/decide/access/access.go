// Package access decides who may do what in the administration of a hosted service. It guards against a tenant's administrators who see or
// change another tenant, and against readers who change anything.
//
// The package does no I/O and holds no state. Only ParseRole returns an error.
package access

import "fmt"

// Role is the role of a caller.
type Role uint8

// Roles.
const (
	NoRole       Role = iota
	Operator          // may do everything
	Reader            // sees everything, changes nothing
	TenantAdmin       // pauses and resumes one tenant and manages its tokens
	TenantReader      // sees one tenant
)

var roleNames = [...]string{"nobody", "operator", "reader", "tenant-admin", "tenant-reader"}

func (r Role) String() string { return roleNames[r] }

// ParseRole returns the role of a name, as certificates have it. It returns an error for any other name and for that of NoRole.
func ParseRole(name string) (Role, error) {
	for role := Operator; role <= TenantReader; role++ {
		if roleNames[role] == name {
			return role, nil
		}
	}
	return NoRole, fmt.Errorf("role %.20q: operator, reader, tenant-admin or tenant-reader is expected", name)
}

// IsTenantRole reports whether a role is limited to one tenant.
func (r Role) IsTenantRole() bool { return r == TenantAdmin || r == TenantReader }

// Caller is who calls.
type Caller struct {
	Role   Role
	Tenant string // of a tenant role
	Name   string // for the audit log
}

// Action is what a caller wants to do.
type Action uint8

// Actions.
const (
	View         Action = iota // view a tenant, or those that the caller may see
	ViewAudit                  // view the audit log of all tenants
	Manage                     // add, limit or remove a tenant
	PauseResume                // pause or resume a tenant
	ManageTokens               // issue or revoke a tenant's tokens
)

// Can reports whether a caller may do something to a tenant. The tenant is empty for an action about all.
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

// CanView reports whether a list shows a tenant to a caller.
func (c Caller) CanView(tenant string) bool { return c.Can(View, tenant) }
