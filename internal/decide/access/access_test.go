package access

import "testing"

func TestCan(t *testing.T) {
	acts := []Action{View, ViewAudit, Manage, PauseResume, ManageTokens}
	for _, c := range []struct {
		who   Caller
		own   string // for each action on its own tenant a, + or -
		other string // on another tenant
		all   string // on all tenants
	}{
		{Caller{Role: Operator}, "+++++", "+++++", "+++++"},
		{Caller{Role: Reader}, "++---", "++---", "++---"},
		{Caller{Role: TenantAdmin, Tenant: "a"}, "+--++", "-----", "-----"},
		{Caller{Role: TenantReader, Tenant: "a"}, "+----", "-----", "-----"},
		{Caller{Role: TenantAdmin}, "-----", "-----", "-----"}, // a certificate without a tenant
		{Caller{Tenant: "a"}, "-----", "-----", "-----"},
	} {
		t.Run(c.who.Role.String()+" of "+c.who.Tenant, func(t *testing.T) {
			for i, act := range acts {
				for tenant, want := range map[string]string{"a": c.own, "b": c.other, "": c.all} {
					if got := c.who.Can(act, tenant); got != (want[i] == '+') {
						t.Errorf("action %d on %q: %t", act, tenant, got)
					}
				}
			}
		})
	}
	for r := Operator; r <= TenantReader; r++ {
		if got, err := ParseRole(r.String()); got != r || err != nil {
			t.Error(got, err)
		}
	}
	if _, err := ParseRole("nobody"); err == nil {
		t.Error("the name of NoRole is no role")
	}
}
