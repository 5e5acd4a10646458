package pull

import (
	"context"
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/peer"
)

// Update contains the entries that a replica lacks, or the complete configuration.
type Update struct {
	Config  *config.Config // complete configuration, or nil
	Entries []config.Entry // used if Config is nil
}

// Pull fetches the update from the given version to the version of another process, or returns the fault of the call or
// of decoding the reply.
func Pull(ctx context.Context, client *peer.Client, from netip.AddrPort, since uint64) (Update, error) {
	var reply peer.ConfigReply
	if err := client.Call(ctx, from, peer.MethodConfig, peer.ConfigArgs{Since: since}, &reply); err != nil {
		return Update{}, err
	}
	if len(reply.Whole) == 0 {
		entries, err := config.DecodeEntries(reply.Entries)
		return Update{Entries: entries}, err
	}
	full, err := config.DecodeConfig(reply.Whole)
	return Update{Config: &full}, err
}

// Apply applies the update to a replica and reports whether anything has changed.
func (u Update) Apply(replica *config.Replica) bool {
	if u.Config != nil {
		return replica.Replace(*u.Config)
	}
	changed, _ := replica.ApplyEntries(u.Entries)
	return changed
}
