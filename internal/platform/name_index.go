package platform

import "ravenpond/internal/settings"

// nameIndex maps the names in a deployment's settings to their indexes there. It is immutable.
type nameIndex struct{ jobClasses, tenants, zones, kinds map[string]int }

func newNameIndex(d *settings.Deployment) nameIndex {
	return nameIndex{
		jobClasses: indexByName(d.JobClasses), tenants: indexByName(d.Tenants), zones: indexByName(d.Zones), kinds: indexByName(d.Kinds),
	}
}

// tenant returns the index of the tenant that a request names. If the settings have no tenants, a request must name none, and the index is 0.
func (x *nameIndex) tenant(name []byte, named bool) (int, bool) {
	if len(x.tenants) == 0 && !named {
		return 0, true
	}
	i, ok := x.tenants[string(name)]
	return i, ok
}

// indexByName returns the position of each name.
func indexByName(names []string) map[string]int {
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index
}
