// Package admit decides whether an allocation is taken at all. What is not taken is declined at once, so its
// owner can go elsewhere while there is time; what is taken is owed an answer before its expiry. It guards
// against tables that grow until every answer is late, and against one tenant's flood filling the table.
package admit

import "math"

const (
	crowded = 0.5 // part of the open limit from which a tenant is held to its share
	slack   = 1.5 // times its share that a tenant may hold then
)

// Why says why an allocation was not taken.
type Why uint8

const (
	Taken   Why = iota
	Full        // the limit of open allocations
	Flood       // its tenant holds more than its share while the table is crowded
	TooLate     // it could not be answered in the time that is left
	Large       // no machine of its kind could ever hold it
)

func (w Why) String() string {
	return [...]string{"taken", "full", "tenant-flood", "too-late", "too-large"}[w]
}

// Door holds the counts that admission rests on. An allocation is open from taken to answered.
type Door struct {
	limit int
	most  []int // that a tenant may hold while the table is crowded
	open  int
	by    []int
}

// New makes a door for so many open allocations and tenants with these shares, which sum to 1 at most.
func New(limit int, shares []float64) *Door {
	d := &Door{limit: limit, by: make([]int, len(shares))}
	for _, share := range shares {
		d.most = append(d.most, int(math.Ceil(slack*share*float64(limit))))
	}
	return d
}

// Open is the number of open allocations.
func (d *Door) Open() int { return d.open }

// Enter decides about an allocation: left is its time to expiry, least the time that an answer needs, fits
// whether some machine could hold it when empty.
func (d *Door) Enter(tenant int, left, least float64, fits bool) Why {
	switch {
	case !fits:
		return Large
	case left <= least:
		return TooLate
	case d.open >= d.limit:
		return Full
	case float64(d.open) >= crowded*float64(d.limit) && d.by[tenant] >= d.most[tenant]:
		return Flood
	}
	d.open++
	d.by[tenant]++
	return Taken
}

// Leave counts an answered allocation out.
func (d *Door) Leave(tenant int) {
	d.open--
	d.by[tenant]--
}
