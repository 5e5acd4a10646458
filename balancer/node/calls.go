package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/fleet"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/peer"
	"github.com/cyclamendock/cyclamendock/lib/pull"
)

const callTimeout = 2 * time.Second

// Fleet implements the RPC methods for agents, other balancers and operators.
type Fleet struct {
	node *Node
}

// Balancers returns the records of all balancers.
func (f *Fleet) Balancers(_ peer.Empty, reply *peer.Records) error {
	var records []fleet.AgedRecord
	f.node.state.withLock(func() {
		for _, record := range f.node.state.memberReplica.Live(fleet.RoleBalancer) {
			records = append(records, fleet.AgedRecord{Record: record})
		}
	})
	reply.Encoded = fleet.EncodeRecords(records)
	return nil
}

// Config returns the configuration entries after a version, or the whole configuration when they are no longer kept.
func (f *Fleet) Config(args peer.ConfigArgs, reply *peer.ConfigReply) error {
	f.node.state.withLock(func() {
		entries, ok := f.node.state.configReplica.Since(args.Since)
		if ok {
			reply.Entries = config.EncodeEntries(entries)
			return
		}
		reply.Whole = config.EncodeConfig(f.node.state.configReplica.Current())
	})
	return nil
}

// Exchange returns this balancer's bucket digests and the records of the buckets in which the client's digests differ.
func (f *Fleet) Exchange(args peer.ExchangeArgs, reply *peer.ExchangeReply) error {
	now := time.Now()
	f.node.state.withLock(func() {
		reply.Buckets = f.node.state.memberReplica.BucketDigests()
		reply.Encoded = fleet.EncodeRecords(f.node.state.memberReplica.Differing(now, args.Buckets))
	})
	return nil
}

// Push merges records of another balancer, or returns an Invalid fault when they are malformed.
func (f *Fleet) Push(args peer.Records, _ *peer.Empty) error {
	records, ok := fleet.DecodeRecords(args.Encoded)
	if !ok {
		return fault.New(fault.Invalid, "the records are malformed", "upgrade the older of the two balancers")
	}
	f.node.mergeRecords(time.Now(), records)
	return nil
}

// Status returns this balancer's view of the members.
func (f *Fleet) Status(args peer.StatusArgs, reply *peer.StatusReply) error {
	now := time.Now()
	f.node.state.withLock(func() { *reply = f.node.state.status(now, args.All) })
	return nil
}

// runPull pulls the configuration from a process that has a newer one.
func (n *Node) runPull(from netip.AddrPort) {
	if err := n.pull(from); err != nil {
		n.Log.Debug("Pulling the configuration failed.", logs.Fields{"from": from.String(), "reason": err.Error()})
	}
}

func (n *Node) pull(from netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(n.Ctx, callTimeout)
	defer cancel()
	var since uint64
	n.state.withLock(func() { since = n.state.version() })
	update, err := pull.Pull(ctx, n.Peers, from, since)
	if err != nil {
		return err
	}
	n.state.withLock(func() { n.state.applyUpdate(update) })
	n.activateConfig(since)
	return nil
}

// activateConfig rebuilds the view and probes peers when the configuration is newer than the previous version.
func (n *Node) activateConfig(previous uint64) {
	var version uint64
	n.state.withLock(func() { version = n.state.version() })
	if version == previous {
		return
	}
	n.refreshView(time.Now())
	n.Log.Info("Configuration in force.", logs.Fields{"version": version})
	n.sendProbes()
}

// runExchange synchronises the members of this balancer and another one in both directions.
func (n *Node) runExchange(with netip.AddrPort) {
	ctx, cancel := context.WithTimeout(n.Ctx, callTimeout)
	defer cancel()
	var args peer.ExchangeArgs
	n.state.withLock(func() { args.Buckets = n.state.memberReplica.BucketDigests() })
	var reply peer.ExchangeReply
	if err := n.Peers.Call(ctx, with, peer.MethodExchange, args, &reply); err != nil {
		return
	}
	records, ok := fleet.DecodeRecords(reply.Encoded)
	if !ok {
		return
	}
	now := time.Now()
	n.mergeRecords(now, records)
	var ours peer.Records
	n.state.withLock(func() { ours.Encoded = fleet.EncodeRecords(n.state.memberReplica.Differing(now, reply.Buckets)) })
	if len(ours.Encoded) > 0 {
		_ = n.Peers.Call(ctx, with, peer.MethodPush, ours, &peer.Empty{})
	}
}
