package coord

import (
	"context"
	"time"

	"emberlead/proto"
)

// pullTimeout limits how long another daemon may take to begin its answer. Answers grow with the configuration, the roster and the claims,
// and may take as long as they keep arriving.
const pullTimeout = 2 * time.Second

// pullChanges fetches changes from a daemon with a higher generation until that daemon has nothing newer. Each change
// that is applied is announced at once.
func (n *Node) pullChanges(from proto.VM) {
	defer n.pullingChanges.Store(false)
	for {
		ctx, _, cancel := proto.WithProgress(context.Background(), pullTimeout)
		m, err := n.deps.Peers.Call(ctx, from, proto.ChangesAsk{After: n.Config.Generation()})
		cancel()
		answer, ok := m.(proto.ChangesAnswer)
		if err != nil || !ok || answer.Generation <= n.Config.Generation() {
			break
		}
		if !n.applyAnswer(answer) {
			n.deps.Log.Warn("rejected the changes of a peer", "from", from, "generation", answer.Generation)
			break
		}
		n.Config.MarkSynced(answer.Generation)
	}
}

func (n *Node) applyAnswer(answer proto.ChangesAnswer) bool {
	if answer.Full {
		return n.Config.ApplyFull(answer.Generation, answer.Changes)
	}
	return n.Config.ApplyChanges(answer.Changes)
}

func (n *Node) pullRoster(ctx context.Context, from proto.VM) {
	ctx, _, cancel := proto.WithProgress(ctx, pullTimeout)
	defer cancel()
	m, err := n.deps.Peers.Call(ctx, from, proto.RosterAsk{})
	if answer, ok := m.(proto.RosterAnswer); ok && err == nil {
		n.adoptRoster(answer.Roster)
	}
}

func (n *Node) adoptRoster(roster proto.Roster) {
	if n.Replica.Adopt(roster) {
		n.Members.SendHeartbeats(n.deps.Clock.Now())
	}
}

// TransferClaims reads the claims of slots newly assigned to this daemon and reports the slots that it has read in full.
func (n *Node) TransferClaims(ctx context.Context) {
	for _, pending := range n.Replica.Pending() {
		for _, member := range pending.From {
			n.transferFrom(ctx, pending, member)
		}
	}
	ready := n.Replica.ReadySlots()
	if len(ready) == 0 {
		return
	}
	writer, ok := firstRanked("roster", vmsOf(n.Members.Live(), anyDaemon))
	if !ok {
		return
	}
	for _, m := range ready {
		if writer == n.deps.Self.VM {
			n.Roster.Report(writer, m)
			continue
		}
		n.deps.Peers.Send(writer, m)
	}
}

func (n *Node) transferFrom(ctx context.Context, pending Pending, member proto.RosterMember) {
	if n.Members.Dead(member.VM, member.Incarnation) {
		return
	}
	ask := pending.Ask
	for {
		callCtx, _, cancel := proto.WithProgress(ctx, pullTimeout)
		m, err := n.deps.Peers.Call(callCtx, member.VM, ask)
		cancel()
		answer, ok := m.(proto.TransferAnswer)
		if err != nil || !ok || !answer.Ready {
			return
		}
		n.Replica.TakeTransfer(ask, member, answer)
		if !answer.More {
			return
		}
		ask.After = answer.Records[len(answer.Records)-1].Key
	}
}
