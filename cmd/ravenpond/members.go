package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"ravenpond/internal/serve"
)

// membersCommand prints a scheduler's view of the others.
type membersCommand struct {
	State string `required:"" type:"existingdir" help:"The state folder of a scheduler."`
	JSON  bool   `name:"json" help:"Print it as JSON."`
}

// maxViewAge is how old the view of a running scheduler may be: it is written once a second.
const maxViewAge = 5 * time.Second

// Run prints the view as a table or as JSON.
func (c *membersCommand) Run() error {
	path := filepath.Join(c.State, serve.MembersFile)
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("view of members, written where the site file has <members>: %w", err)
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
		fmt.Printf("written %s ago: the scheduler does not run, or stands still\n", age.Round(time.Second))
	}
	fmt.Printf("%s at %s, life %d: %s, health %d of 8, ", v.Name, v.Address, v.Incarnation, v.Isolation, v.Health)
	switch {
	case v.NameTaken:
		fmt.Println("its name is another's: no part in cold nodes")
	case v.Sharers == 0:
		fmt.Printf("no part in cold nodes: %d leaves, %d needed\n", v.Permits, v.PermitsNeeded)
	default:
		fmt.Printf("one of %d that share cold nodes, %d leaves, %d needed\n", v.Sharers, v.Permits, v.PermitsNeeded)
	}
	out := newTable(os.Stdout, "member\taddress\tlife\tversion\tstate\tsince s\theard s\tby")
	for _, m := range v.Members {
		out.row("%s\t%s\t%d\t%d\t%s\t%.1f\t%.1f\t%s", m.Name, m.Address, m.Incarnation, m.Version, m.State, m.InState, m.LastContact, m.ReportedBy)
	}
	return out.flush()
}
