package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"chestnutbay.dev/chestnutbay/internal/fleet/entry"
	"chestnutbay.dev/chestnutbay/internal/fleet/rollout"
)

// runVM prints what the entry VMs run.
func (c statusCommand) runVM(a *app) error {
	if _, err := netip.ParseAddrPort(c.VM); err != nil {
		return usageError{fmt.Errorf("--vm must be an IP number and port, is %q", c.VM)}
	}
	s, err := fetchStatus(a.ctx, c.VM)
	if err != nil {
		return err
	}
	if c.json() {
		return a.printJSON(s)
	}
	return a.printRollout(s)
}

// statusTimeout bounds the time to get the status of an entry VM.
const statusTimeout = 5 * time.Second

// fetchStatus gets the status from the metrics address of an entry VM.
func fetchStatus(ctx context.Context, address string) (rollout.Status, error) {
	var s rollout.Status
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+entry.StatusPath, nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("%s responded with status %d", address, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return s, fmt.Errorf("%s did not return a status: %w", address, err)
	}
	return s, nil
}

func (a *app) printRollout(s rollout.Status) error {
	w := tabwriter.NewWriter(a.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "VM\t%s, configuration %d, settings %s, since %s\n", s.VM, s.Version, s.Settings, sinceText(s.Since))
	fmt.Fprintf(w, "\nZONE\tVMS\tCONFIGURATION\tSETTINGS\tSINCE\tWHICH\n")
	for _, z := range s.Zones {
		for _, g := range z.Groups {
			fmt.Fprintf(w, "%s\t%d of %d\t%d\t%s\t%s\t%s\n", z.Name, g.VMs, z.VMs, g.Version, g.Settings, sinceText(g.Since), namesText(g.Names, g.VMs))
		}
		if z.Unknown > 0 {
			fmt.Fprintf(w, "%s\t%d of %d\tunknown\t-\t-\t%s\n", z.Name, z.Unknown, z.VMs, namesText(z.UnknownVMs, z.Unknown))
		}
	}
	return w.Flush()
}

// namesText returns a list of VMs, with the number of those that it leaves out.
func namesText(names []string, vms int) string {
	if len(names) == 0 {
		return "most of the zone"
	}
	text := strings.Join(names, " ")
	if more := vms - len(names); more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

func sinceText(t time.Time) string { return t.UTC().Format(time.RFC3339) }
