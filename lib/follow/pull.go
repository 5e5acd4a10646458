package follow

import (
	"context"
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/peer"
)

// An Update is what another process knows beyond a version: entries, or the whole configuration.
type Update struct {
	Entries []config.Entry
	Whole   *config.Config
}

// Pull asks a process for what it knows beyond a version, or returns the fault of the call or of the codec.
func Pull(ctx context.Context, calls *peer.Client, from netip.AddrPort, since uint64) (Update, error) {
	var reply peer.ConfigReply
	if err := calls.Call(ctx, from, peer.MethodConfig, peer.ConfigArgs{Since: since}, &reply); err != nil {
		return Update{}, err
	}
	if len(reply.Whole) == 0 {
		entries, err := config.DecodeEntries(reply.Entries)
		return Update{Entries: entries}, err
	}
	whole, err := config.DecodeConfig(reply.Whole)
	return Update{Whole: &whole}, err
}

// Apply puts an update in force at a replica and reports whether anything changed.
func (u Update) Apply(holder *config.Holder) bool {
	if u.Whole != nil {
		return holder.OfferWhole(*u.Whole)
	}
	changed, _ := holder.Offer(u.Entries)
	return changed
}
