package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/peer"
	"github.com/cyclamendock/cyclamendock/lib/steer"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

const (
	clearScreen          = "\x1b[H\x1b[2J"
	statusTimeout        = 2 * time.Second
	watchInterval        = 2 * time.Second
	perMillePerPercent   = 10
	perMillionPerPercent = 10_000
)

// StatusCommand shows the members of the fleet.
type StatusCommand struct {
	Watch bool `help:"Refresh the status every two seconds until interrupted."`
}

// Run prints the members as the reachable balancers report them.
func (c *StatusCommand) Run(s *Session) error {
	settings, platform, err := s.openPlatform()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	for {
		view, err := fetchView(ctx, settings, platform)
		if err != nil {
			return err
		}
		if c.Watch {
			s.printf(clearScreen)
		}
		if err := s.printView(view); err != nil || !c.Watch {
			return err
		}
		select {
		case <-time.After(watchInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// fetchView queries every configured balancer and merges the replies. Each balancer reports the members that it
// monitors; requests ask for all members until one balancer has answered, to include members without a monitor.
func fetchView(ctx context.Context, settings Settings, platform store.Store) (View, error) {
	client := peer.NewClient()
	defer client.Close()
	var replies []peer.StatusReply
	for _, address := range settings.Balancers {
		callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		var reply peer.StatusReply
		args := peer.StatusArgs{All: len(replies) == 0}
		err := client.Call(callCtx, address, peer.MethodStatus, args, &reply)
		cancel()
		if err == nil {
			replies = append(replies, reply)
		}
	}
	if len(replies) == 0 {
		return View{}, fault.New(fault.Unavailable, "no balancer answers", "check the balancers in the settings and that they run")
	}
	view := mergeReplies(replies)
	headCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if head, _, err := config.ReadHead(headCtx, platform); err == nil {
		view.PlatformOK = true
		view.NewestVersion = max(view.NewestVersion, head.Version)
	}
	return view, nil
}

func (s *Session) printView(view View) error {
	if s.Root.JSON {
		return json.NewEncoder(s.Out).Encode(viewToJSON(view))
	}
	s.printf("Configuration %d; platform %s.\n", view.NewestVersion, formatReachability(view.PlatformOK))
	for _, zone := range view.zones() {
		s.printf("\nZone %s: lowest version in force %s\n", zone.Name, formatVersion(zone.LowestVersion))
		for _, member := range zone.Members {
			s.printf("  %-14s %-10s %-8s %5d flows  load %-6s speed %-4s v%s%s\n",
				member.Name, member.Service, member.State, member.Flows, formatLoad(member.Load),
				formatSpeed(member.Speed), formatVersion(member.Config), formatLag(view.NewestVersion, member))
		}
	}
	return nil
}

func formatReachability(ok bool) string {
	if ok {
		return "answers"
	}
	return "does not answer"
}

// formatSpeed formats a backend server's speed, given in per mille, as a percentage, or as "-" when it is unknown.
func formatSpeed(speed uint32) string {
	if speed == 0 {
		return "-"
	}
	return fmt.Sprintf("%d%%", speed/perMillePerPercent)
}

// formatLoad formats a load, given in millionths of capacity, as a percentage, or as "closed" when the member accepts
// no new flows.
func formatLoad(load uint32) string {
	if load == steer.ClosedLoad {
		return "closed"
	}
	return fmt.Sprintf("%.1f%%", float64(load)/perMillionPerPercent)
}

// formatLag returns a marker for a running member whose configuration is older than the newest version.
func formatLag(newest uint64, member peer.MemberStatus) string {
	if member.State != "down" && member.Config < newest {
		return "  LAGS"
	}
	return ""
}
