package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"ravenpond/internal/serve"
)

type membersCommand struct {
	State string `required:"" type:"existingdir" help:"The folder of a scheduler."`
	JSON  bool   `name:"json" help:"Print it as JSON."`
}

// maxViewAge is how old a view may be that is still said to be that of a running scheduler.
const maxViewAge = 5 * time.Second

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
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "member\taddress\tlife\tversion\tstate\tsince s\theard s\tby")
	for _, m := range v.Members {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%.1f\t%.1f\t%s\n", m.Name, m.Address, m.Incarnation, m.Version, m.State, m.InState, m.LastContact, m.ReportedBy)
	}
	return w.Flush()
}
