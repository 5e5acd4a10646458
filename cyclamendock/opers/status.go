package opers

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
	clearScreen    = "\x1b[H\x1b[2J"
	statusTimeout  = 2 * time.Second
	watchInterval  = 2 * time.Second
	perMillePart   = 10
	perMillionPart = 10_000
)

// A StatusCommand shows the fleet.
type StatusCommand struct {
	Watch bool `help:"Show it again every two seconds until interrupted."`
}

// Run prints the fleet as the reachable balancers see it.
func (c *StatusCommand) Run(s *Session) error {
	settings, platform, err := s.open()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	for {
		view, err := gather(ctx, settings, platform)
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

// gather asks every balancer of the settings, and the first that answers also for members that none keeps.
func gather(ctx context.Context, settings Settings, platform store.Store) (View, error) {
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
	view := merge(replies)
	headCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if head, _, err := config.ReadHead(headCtx, platform); err == nil {
		view.PlatformOK = true
		view.Newest = max(view.Newest, head.Version)
	}
	return view, nil
}

func (s *Session) printView(view View) error {
	if s.Root.JSON {
		return json.NewEncoder(s.Out).Encode(viewToJSON(view))
	}
	s.printf("Configuration %d; platform %s.\n", view.Newest, answers(view.PlatformOK))
	for _, zone := range view.zones() {
		s.printf("\nZone %s: lowest version in force %s\n", zone.Name, versionText(zone.Lowest))
		for _, member := range zone.Members {
			s.printf("  %-14s %-10s %-8s %5d flows  load %-6s speed %-4s v%s%s\n",
				member.Name, member.Service, member.State, member.Flows, loadText(member.Load),
				speedText(member.Speed), versionText(member.Config), lagText(view.Newest, member))
		}
	}
	return nil
}

func answers(ok bool) string {
	if ok {
		return "answers"
	}
	return "does not answer"
}

// speedText returns how fast a backend server works, which falls with heat.
func speedText(speed uint32) string {
	if speed == 0 {
		return "-"
	}
	return fmt.Sprintf("%d%%", speed/perMillePart)
}

// loadText returns a load as a share of capacity, or that the member takes no new flows.
func loadText(load uint32) string {
	if load == steer.Closed {
		return "closed"
	}
	return fmt.Sprintf("%.1f%%", float64(load)/perMillionPart)
}

func lagText(newest uint64, member peer.MemberStatus) string {
	if member.State != "down" && member.Config < newest {
		return "  LAGS"
	}
	return ""
}
