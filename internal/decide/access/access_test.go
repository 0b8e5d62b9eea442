package access

import "testing"

func TestCan(t *testing.T) {
	actions := []Action{View, ViewAudit, Manage, PauseResume, ManageTokens}
	for _, c := range []struct {
		caller Caller
		own    string // for each action on its own tenant a: + if it is allowed, - if not
		other  string // the same on another tenant
		all    string // the same on all tenants
	}{
		{Caller{Role: Operator}, "+++++", "+++++", "+++++"},
		{Caller{Role: Reader}, "++---", "++---", "++---"},
		{Caller{Role: TenantAdmin, Tenant: "a"}, "+--++", "-----", "-----"},
		{Caller{Role: TenantReader, Tenant: "a"}, "+----", "-----", "-----"},
		{Caller{Role: TenantAdmin}, "-----", "-----", "-----"}, // the certificate names no tenant
		{Caller{Tenant: "a"}, "-----", "-----", "-----"},
	} {
		t.Run(c.caller.Role.String()+" of "+c.caller.Tenant, func(t *testing.T) {
			for i, action := range actions {
				for tenant, want := range map[string]string{"a": c.own, "b": c.other, "": c.all} {
					if got := c.caller.Can(action, tenant); got != (want[i] == '+') {
						t.Errorf("action %d on tenant %q: got allowed %t, want the opposite", action, tenant, got)
					}
				}
			}
		})
	}
	for role := Operator; role <= TenantReader; role++ {
		if got, err := ParseRole(role.String()); got != role || err != nil {
			t.Error(got, err)
		}
	}
	if _, err := ParseRole("nobody"); err == nil {
		t.Error("got a role for the name of NoRole, want an error")
	}
}
