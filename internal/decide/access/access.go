// Package access decides who may do what in the administration of a hosted service. It guards against a tenant's people seeing
// or changing another's, and against those who only look changing anything.
package access

import "fmt"

// Role is what somebody is to the service.
type Role uint8

const (
	NoRole       Role = iota
	Operator          // everything
	Reader            // sees everything, changes nothing
	TenantAdmin       // pauses and resumes one tenant and sees to its tokens
	TenantReader      // sees one tenant
)

var roleNames = [...]string{"nobody", "operator", "reader", "tenant-admin", "tenant-reader"}

func (r Role) String() string { return roleNames[r] }

// ParseRole reads one, by the word that a certificate has for it.
func ParseRole(text string) (Role, error) {
	for r := Operator; r <= TenantReader; r++ {
		if roleNames[r] == text {
			return r, nil
		}
	}
	return NoRole, fmt.Errorf("role %.20q: operator, reader, tenant-admin or tenant-reader is expected", text)
}

// IsTenantRole tells whether a role is one tenant's.
func (r Role) IsTenantRole() bool { return r == TenantAdmin || r == TenantReader }

// Caller is who calls.
type Caller struct {
	Role   Role
	Tenant string // of those that are one tenant's
	Name   string // for the record
}

// Action is what is to be done.
type Action uint8

const (
	View         Action = iota // a tenant, or those that the caller may see
	ViewAudit                  // the record of changes of all
	Manage                     // add, limit or remove a tenant
	PauseResume                // pause or resume one
	ManageTokens               // issue or revoke one of its tokens
)

// Can tells whether a caller may do something to a tenant; none is named where it is about all.
func (c Caller) Can(act Action, tenant string) bool {
	own := c.Tenant != "" && tenant == c.Tenant
	switch c.Role {
	case Operator:
		return true
	case Reader:
		return act == View || act == ViewAudit
	case TenantAdmin:
		return own && (act == View || act == PauseResume || act == ManageTokens)
	case TenantReader:
		return own && act == View
	}
	return false
}

// CanView tells which of all tenants a list shows.
func (c Caller) CanView(tenant string) bool { return c.Can(View, tenant) }
