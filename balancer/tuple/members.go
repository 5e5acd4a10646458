package tuple

import (
	"context"
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/member"
	"github.com/cyclamendock/cyclamendock/lib/netio"
)

const (
	methodMembers = "Tuple.Members"
	// listPause is the minimum pause between two reads of the member list from the store.
	listPause = 100 * time.Millisecond
	// membersTimeout is how long another balancer may take to read the member list.
	membersTimeout = 500 * time.Millisecond
)

// MembersRequest asks a balancer for a list of members that it reads from the store after the request has arrived.
type MembersRequest struct{}

// MemberList holds the list of members from the store.
type MemberList struct {
	Agents    []string // addresses
	Balancers []string // addresses
	Complete  bool     // see member.List
	Marked    []string // addresses of agents whose entries are marked for removal; not among Agents
}

// Members reads the list of members from the store, with one read for all balancers that ask at about the same time.
func (h *RPCHandler) Members(_ MembersRequest, list *MemberList) error {
	ctx, cancel := context.WithTimeout(h.node.ctx, membersTimeout)
	defer cancel()
	read, err := h.node.memberReads.get(ctx)
	if err != nil {
		return err
	}
	list.Complete = read.Complete
	for _, m := range read.Members {
		switch {
		case m.Role == member.RoleAgent && m.Marked:
			list.Marked = append(list.Marked, m.Address.String())
		case m.Role == member.RoleAgent:
			list.Agents = append(list.Agents, m.Address.String())
		case m.Role == member.RoleBalancer:
			list.Balancers = append(list.Balancers, m.Address.String())
		}
	}
	return nil
}

// readMembers returns a list of members that is read from the store after the call. The balancer that reads the
// configuration for the others reads it, so that resets at many balancers at once cost few reads; when that one can't,
// this balancer reads the list itself.
func (n *Node) readMembers() (member.List, error) {
	n.mu.Lock()
	reader, isReader := n.configReads.reader, n.configReads.isReader()
	n.mu.Unlock()
	if reader.IsValid() && !isReader {
		list, err := n.requestMembers(reader)
		if err == nil {
			return list, nil
		}
		n.mu.Lock()
		n.configReads.forgetReader(reader)
		n.mu.Unlock()
		n.config.Log.Warn("Another balancer can't read the members.", logs.Fields{"balancer": reader.String(), "error": err.Error()})
	}
	return n.memberReads.get(n.ctx)
}

// requestMembers asks another balancer to read the list of members.
func (n *Node) requestMembers(reader netip.AddrPort) (member.List, error) {
	ctx, cancel := context.WithTimeout(n.ctx, membersTimeout)
	defer cancel()
	var answer MemberList
	if err := n.client.Call(ctx, reader, methodMembers, MembersRequest{}, &answer); err != nil {
		return member.List{}, err
	}
	now := time.Now()
	list := member.List{Complete: answer.Complete}
	for _, address := range n.parseAddresses(now, answer.Agents) {
		list.Members = append(list.Members, member.Member{Address: address, Role: member.RoleAgent})
	}
	for _, address := range n.parseAddresses(now, answer.Marked) {
		list.Members = append(list.Members, member.Member{Address: address, Marked: true, Role: member.RoleAgent})
	}
	for _, address := range n.parseAddresses(now, answer.Balancers) {
		list.Members = append(list.Members, member.Member{Address: address, Role: member.RoleBalancer})
	}
	return list, nil
}

// runMembers registers this balancer as a member, then confirms the member list whenever resets of flows are
// pending.
func (n *Node) runMembers() {
	n.join()
	for {
		select {
		case <-n.memberChecks:
			n.resetEndedFlows()
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) join() {
	netio.Retry(n.ctx, func() error {
		requestedAt := time.Now()
		list, err := n.directory.Join(n.ctx, n.config.FirstStart)
		if err != nil {
			return err
		}
		n.mergeMemberList(requestedAt, list)
		n.config.Log.Info("Joined.", logs.Fields{"members": len(list.Members)})
		n.requestDigests(sample(n.allPeers()))
		return nil
	}, func(err error) { n.handleStoreError("This balancer can't join.", err) })
}

// resetEndedFlows resets the flows that no member can hold. The list of members must be read from the store after the
// flow was sought: every agent that has flows is on it if it is complete.
func (n *Node) resetEndedFlows() {
	n.awaitSettled()
	requestedAt := time.Now()
	list, err := n.readMembers()
	if err != nil {
		n.handleStoreError("The members can't be read.", err)
		netio.Sleep(n.ctx, netio.MinRetryPause)
		n.requestMemberCheck()
		return
	}
	n.mergeMemberList(requestedAt, list)
	if !list.Complete {
		n.awaitComplete()
		n.requestMemberCheck()
		return
	}
	out := n.newSender(timerBatch)
	now := time.Now()
	n.mu.Lock()
	verdicts := n.director.ResolvePendingResets(now, requestedAt)
	more := n.director.HasPendingResets()
	n.mu.Unlock()
	for i := range verdicts {
		n.execute(now, out, &verdicts[i], nil)
	}
	out.Flush()
	if more {
		n.requestMemberCheck()
	}
	netio.Sleep(n.ctx, listPause)
}

// awaitSettled waits until all agents have had time to register after an outage of the store.
func (n *Node) awaitSettled() {
	n.mu.Lock()
	pause := n.configReads.untilSettled(time.Now())
	n.mu.Unlock()
	netio.Sleep(n.ctx, pause)
}

// mergeMemberList adds the members of a list that was requested at the given time, and asks agents that report but are
// missing from the list to join again. Those that are marked for removal on it are asked when they report.
func (n *Node) mergeMemberList(requestedAt time.Time, list member.List) {
	now := time.Now()
	var listed []flows.Endpoint
	n.mu.Lock()
	for _, m := range list.Members {
		switch m.Role {
		case member.RoleAgent:
			listed = append(listed, flows.EndpointOf(m.Address))
			n.director.Agents.AddListed(now, requestedAt, flows.EndpointOf(m.Address), m.Marked)
		case member.RoleBalancer:
			n.peers.add(m.Address)
		}
	}
	unlisted := n.director.Agents.Unlisted(now, listed)
	n.mu.Unlock()
	for _, agent := range unlisted {
		n.config.Log.Info("Agent is missing from the members.", logs.Fields{"agent": agent.String()})
		n.socket.Send(flows.Join{Missing: true}.Append(nil), agent.AddrPort())
	}
}

// requestMemberCheck makes runMembers confirm the members soon.
func (n *Node) requestMemberCheck() {
	select {
	case n.memberChecks <- struct{}{}:
	default:
	}
}
