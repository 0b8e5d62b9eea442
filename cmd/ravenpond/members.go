package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"ravenpond/internal/serve"
)

// membersCommand prints a scheduler's view of the other schedulers.
type membersCommand struct {
	State string `required:"" type:"existingdir" help:"State folder of the scheduler."`
	JSON  bool   `name:"json" help:"Print the view as JSON."`
}

// maxViewAge is the maximum age of the view of a running scheduler, which writes it once a second.
const maxViewAge = 5 * time.Second

// Run prints the view as a table or as JSON.
func (c *membersCommand) Run() error {
	path := filepath.Join(c.State, serve.MembersFile)
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("membership view (written only if the site file has a <members> element): %w", err)
	}
	if c.JSON {
		_, err := os.Stdout.Write(append(b, '\n'))
		return err
	}
	var v serve.MembershipView
	if err := json.Unmarshal(b, &v); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if age := time.Since(v.At); age > maxViewAge {
		fmt.Printf("view written %s ago: the scheduler is not running or does not respond\n", age.Round(time.Second))
	}
	fmt.Printf("%s at %s, incarnation %d: %s, health %d (0 best, 8 worst), ", v.Name, v.Address, v.Incarnation, v.Isolation, v.Health)
	switch {
	case v.NameTaken:
		fmt.Println("takes no part in the slow start of nodes: another scheduler has the same name")
	case v.Sharers == 0:
		fmt.Printf("takes no part in the slow start of nodes: lease granted by %d members, %d needed\n", v.Permits, v.PermitsNeeded)
	default:
		fmt.Printf("one of %d schedulers that share the slow start of nodes: lease granted by %d members, %d needed\n", v.Sharers, v.Permits, v.PermitsNeeded)
	}
	out := newTable(os.Stdout, "member\taddress\tincarnation\tversion\tstate\tin state, s\tlast contact, s\treported by")
	for _, m := range v.Members {
		out.row("%s\t%s\t%d\t%d\t%s\t%.1f\t%.1f\t%s", m.Name, m.Address, m.Incarnation, m.Version, m.State, m.InState, m.LastContact, m.ReportedBy)
	}
	return out.flush()
}
