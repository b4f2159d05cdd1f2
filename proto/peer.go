package proto

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Incarnation distinguishes the runs of the daemon on one VM. It increases with each start.
type Incarnation uint64

// Epoch numbers the versions of the roster and of leases.
type Epoch uint64

// Message is a message between daemons.
type Message interface{ messageKind() MessageKind }

// MessageKind identifies the type of a message on the wire.
type MessageKind uint8

// Message kinds.
const (
	MessageHeartbeat MessageKind = iota + 1
	MessageAlive
	MessageAlarm
	MessageChangesAsk
	MessageChangesAnswer
	MessageRosterAsk
	MessageRosterAnswer
	MessageClaimAsk
	MessageClaimAnswer
	MessageSettle
	MessageTransferAsk
	MessageTransferAnswer
	MessageUsage
	MessageLoads
	MessageListed
	MessageDone
	MessageSlotReady
	MessageDemand
	MessageRoutingAsk
	MessageRoutingAnswer
	MessagePiecesAsk
	MessagePiecesAnswer
	MessagePiecesDrop
	MessagePlaceAsk
	MessagePlaceAnswer
	MessagePlaceNote
	MessageDeaths
	MessageNews
	MessageConfirmed
	MessageTargetEnds
	MessageAdmitAsk
	MessageAdmitAnswer
	MessageTargetNotices
	MessagePermitAsk
	MessagePermitAnswer
	MessageMembersAsk
	MessageDaemonRowsAsk
	MessageDaemonRowsAnswer
	MessageStreamStarts
	MessageStreamAsk
	MessageTunnelClose
	MessageReadAsk
	MessageStreamTakeover
)

// Heartbeat tells a peer that the sender is alive and which versions of the shared state it has.
type Heartbeat struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Generation  Generation  `cbor:"2,keyasint,omitempty"`
	Roster      Epoch       `cbor:"3,keyasint,omitempty"`
	Stopping    bool        `cbor:"4,keyasint,omitempty"`
	// Routing is the version of the routing configuration that the sender has, and Targets the revision of its target list.
	Routing uint64   `cbor:"5,keyasint,omitempty"`
	Targets Revision `cbor:"6,keyasint,omitzero"`
	// DeadDigest is a digest of the daemon runs that the sender considers dead; 0 if there are none.
	DeadDigest uint64 `cbor:"7,keyasint,omitempty"`
	// EndsDigest is a digest of the target ends that the sender knows of; 0 if there are none.
	EndsDigest uint64 `cbor:"8,keyasint,omitempty"`
	// InvalidDigest is a digest of the invalid target entries that the sender knows of; 0 if there are none.
	InvalidDigest uint64 `cbor:"9,keyasint,omitempty"`
	// Evacuations is the revision of the newest evacuation, or end of an evacuation, that the sender knows of.
	Evacuations Revision `cbor:"10,keyasint,omitzero"`
	// NoticesDigest is a digest of the notices of listed targets that the sender knows of; 0 if there are none.
	NoticesDigest uint64 `cbor:"11,keyasint,omitempty"`
	// MembersDigest is a digest of the daemon runs that the sender considers alive; 0 if it does not say.
	MembersDigest uint64 `cbor:"12,keyasint,omitempty"`
	// Load is the number of requests and of connections carried for others that the sender has open.
	Load uint32 `cbor:"13,keyasint,omitempty"`
	// CutOff is set if the sender has lost its links to all targets.
	CutOff bool `cbor:"14,keyasint,omitempty"`
	// Pressure is how much of the scarcest part of its VM the sender uses, in hundredths.
	Pressure uint8 `cbor:"15,keyasint,omitempty"`
	// SentAt is when the heartbeat was sent, by a clock of the sender that changes of the time of day do not affect; 0 if it does not say.
	SentAt time.Duration `cbor:"16,keyasint,omitempty"`
	// CopyAge is how long ago the sender's copies of the store's tables were known to be current, in tenths of a second rounded up; 0 if it
	// does not say. CopyHops is through how many daemons the sender knows that.
	CopyAge  uint16 `cbor:"17,keyasint,omitempty"`
	CopyHops uint8  `cbor:"18,keyasint,omitempty"`
}

// Alive announces a daemon, or refutes an alarm about it with a higher sequence number.
type Alive struct {
	VM          VM             `cbor:"1,keyasint"`
	Zone        Zone           `cbor:"2,keyasint"`
	Peer        netip.AddrPort `cbor:"3,keyasint"`
	Incarnation Incarnation    `cbor:"4,keyasint"`
	Sequence    uint64         `cbor:"5,keyasint"`
	Stopping    bool           `cbor:"6,keyasint,omitempty"`
	// Protocol is the version of the messages that the daemon understands.
	Protocol PeerProtocol `cbor:"7,keyasint,omitempty"`
}

// PeerProtocol is a version of the messages between daemons. A daemon closes the link over which it gets a message of a kind that it
// does not know, so newer kinds are only sent to daemons that announce them.
type PeerProtocol uint8

// Versions of the messages between daemons.
const (
	// PeerProtocolRows has DaemonRowsAsk and MembersAsk.
	PeerProtocolRows PeerProtocol = 1
	// PeerProtocolTunnels has connections to targets that daemons carry for each other.
	PeerProtocolTunnels PeerProtocol = 2
	// PeerProtocolStreams has StreamStarts and StreamAsk.
	PeerProtocolStreams PeerProtocol = 3
	// PeerProtocolTunnelClose has TunnelClose.
	PeerProtocolTunnelClose PeerProtocol = 4
	// PeerProtocolReadAsk has ReadAsk.
	PeerProtocolReadAsk PeerProtocol = 5
	// PeerProtocolTakeover has StreamTakeover.
	PeerProtocolTakeover PeerProtocol = 6
)

// Alarm reports that a daemon has stopped hearing from a peer it is connected to, or hears from it again.
type Alarm struct {
	Subject     VM          `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Reporter    VM          `cbor:"3,keyasint"`
	Sequence    uint64      `cbor:"4,keyasint"`
	Silent      bool        `cbor:"5,keyasint,omitempty"`
}

// DaemonRun identifies one run of a daemon.
type DaemonRun struct {
	VM          VM          `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
}

// Deaths lists the daemon runs that the sender considers dead.
type Deaths struct {
	Runs []DaemonRun `cbor:"1,keyasint"`
}

// News forwards recent Alive and Alarm messages about other daemons.
type News struct {
	Alive  []Alive `cbor:"1,keyasint,omitempty"`
	Alarms []Alarm `cbor:"2,keyasint,omitempty"`
	// Complete means that Alive holds all daemons that the sender knows, which the others know too, so that the receiver
	// does not forward them.
	Complete bool `cbor:"3,keyasint,omitempty"`
}

// MembersAsk requests a complete News from a daemon that knows other runs than the sender.
type MembersAsk struct{}

// ChangeKind is the kind of an accepted configuration change.
type ChangeKind string

// Change kinds.
const (
	ChangeFile ChangeKind = "file"
	ChangeStop ChangeKind = "stop"
)

// Change is one accepted configuration change.
type Change struct {
	Generation Generation `json:"generation" cbor:"1,keyasint"`
	Kind       ChangeKind `json:"kind" cbor:"2,keyasint"`
	Name       string     `json:"name,omitempty" cbor:"3,keyasint,omitempty"`
	Hash       string     `json:"hash,omitempty" cbor:"4,keyasint,omitempty"`
	ApplyID    string     `json:"applyId" cbor:"5,keyasint,omitempty"`
	By         string     `json:"by,omitempty" cbor:"6,keyasint,omitempty"`
	At         time.Time  `json:"at" cbor:"7,keyasint"`
	Stop       *StopPlan  `json:"stop,omitempty" cbor:"8,keyasint,omitempty"`
	// Body is the file content. It is only set in messages between daemons.
	Body []byte `json:"-" cbor:"9,keyasint,omitempty"`
}

// ChangesAsk requests the changes after a generation.
type ChangesAsk struct {
	After Generation `cbor:"1,keyasint"`
}

// ChangesAnswer holds changes in order. If Full is set, they are the complete state as of Generation.
type ChangesAnswer struct {
	Generation Generation `cbor:"1,keyasint"`
	Changes    []Change   `cbor:"2,keyasint,omitempty"`
	Full       bool       `cbor:"3,keyasint,omitempty"`
}

// RosterMember is one run of a daemon that stores claims.
type RosterMember struct {
	VM          VM          `json:"vm" cbor:"1,keyasint"`
	Zone        Zone        `json:"zone" cbor:"2,keyasint"`
	Incarnation Incarnation `json:"incarnation" cbor:"3,keyasint"`
}

// Slot is a part of the key space together with the replicas that store its claims.
type Slot struct {
	Group []RosterMember `json:"group" cbor:"1,keyasint"`
	// Since is the roster epoch in which the group was formed.
	Since Epoch `json:"since" cbor:"2,keyasint"`
	// Previous is the group from which the claims still have to be read; empty once that is done.
	Previous      []RosterMember `json:"previous,omitempty" cbor:"3,keyasint,omitempty"`
	PreviousSince Epoch          `json:"previousSince,omitempty" cbor:"4,keyasint,omitempty"`
	// Forced is set if too few members of the previous group were left to read all claims.
	Forced bool `json:"forced,omitempty" cbor:"5,keyasint,omitempty"`
	// ForgottenBefore is the time of the newest key whose claim may have been lost.
	ForgottenBefore time.Time `json:"forgottenBefore,omitzero" cbor:"6,keyasint,omitempty"`
}

// Roster assigns the slots of the key space to replicas. It is changed by conditional writes to one row of the store.
type Roster struct {
	Epoch Epoch  `json:"epoch" cbor:"1,keyasint"`
	Slots []Slot `json:"slots" cbor:"2,keyasint"`
}

// RosterAsk requests the roster.
type RosterAsk struct{}

// RosterAnswer holds the roster that the sender has.
type RosterAnswer struct {
	Roster Roster `cbor:"1,keyasint"`
}

// ClaimID identifies one claim among the claims on the same key.
type ClaimID struct {
	Holder      VM          `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Request     RequestID   `cbor:"3,keyasint"`
	// Attempt distinguishes the claims of one request, because a released claim is never granted again.
	Attempt int `cbor:"4,keyasint,omitempty"`
}

// ClaimAsk requests that a replica grant a key to a request.
type ClaimAsk struct {
	Slot        int     `cbor:"1,keyasint"`
	Since       Epoch   `cbor:"2,keyasint"`
	Key         Key     `cbor:"3,keyasint"`
	Fingerprint uint64  `cbor:"4,keyasint"`
	Claim       ClaimID `cbor:"5,keyasint"`
}

// ClaimResult is the answer of one replica to a claim.
type ClaimResult uint8

// Claim results.
const (
	ClaimGranted ClaimResult = iota + 1
	ClaimTaken
	ClaimDone
	ClaimMismatch
	ClaimTooOld
	// ClaimTooNew means that the key's time is ahead of the replica's clock by more than the allowed clock skew.
	ClaimTooNew
	// ClaimNotReady means that the replica cannot answer for the slot, or cannot answer for it yet.
	ClaimNotReady
	// ClaimStale means that the sender of the ClaimAsk has an older roster than the replica.
	ClaimStale
)

// ClaimAnswer is the answer to a ClaimAsk.
type ClaimAnswer struct {
	Result ClaimResult `cbor:"1,keyasint"`
	Since  Epoch       `cbor:"2,keyasint"`
	Answer []byte      `cbor:"3,keyasint,omitempty"`
	Roster Epoch       `cbor:"4,keyasint,omitempty"`
}

// Settle tells a replica how a claim ended.
type Settle struct {
	Slot     int     `cbor:"1,keyasint"`
	Key      Key     `cbor:"2,keyasint"`
	Claim    ClaimID `cbor:"3,keyasint"`
	Released bool    `cbor:"4,keyasint,omitempty"`
	Answer   []byte  `cbor:"5,keyasint,omitempty"`
}

// ClaimState is the state of a claim.
type ClaimState uint8

// Claim states.
const (
	ClaimStateHeld ClaimState = iota + 1
	ClaimStateReleased
	ClaimStateDone
)

// ClaimRecord is a stored claim.
type ClaimRecord struct {
	Key         Key        `cbor:"1,keyasint"`
	Claim       ClaimID    `cbor:"2,keyasint"`
	Fingerprint uint64     `cbor:"3,keyasint"`
	State       ClaimState `cbor:"4,keyasint"`
	Answer      []byte     `cbor:"5,keyasint,omitempty"`
}

// TransferAsk requests that a member of the previous group stop granting claims and hand over the claims of a slot.
type TransferAsk struct {
	Slot          int   `cbor:"1,keyasint"`
	Since         Epoch `cbor:"2,keyasint"` // of the new group
	PreviousSince Epoch `cbor:"3,keyasint"` // of the previous group
	After         Key   `cbor:"4,keyasint"`
}

// TransferAnswer holds one page of a slot's claims in key order.
type TransferAnswer struct {
	Ready           bool          `cbor:"1,keyasint"`
	Records         []ClaimRecord `cbor:"2,keyasint,omitempty"`
	More            bool          `cbor:"3,keyasint,omitempty"`
	ForgottenBefore time.Time     `cbor:"4,keyasint,omitempty"`
}

// SlotReady reports that a replica has read all claims of a slot.
type SlotReady struct {
	Slot  int   `cbor:"1,keyasint"`
	Since Epoch `cbor:"2,keyasint"`
}

// UsageRow is the time that one workspace used at a pool.
type UsageRow struct {
	Pool      string        `cbor:"1,keyasint"`
	Workspace string        `cbor:"2,keyasint"`
	Spent     time.Duration `cbor:"3,keyasint"`
}

// Usage sends usage to a collector. With Totals set, the collector sends back the usage of the other daemons.
type Usage struct {
	Rows   []UsageRow `cbor:"1,keyasint"`
	Totals bool       `cbor:"2,keyasint,omitempty"`
}

// ModelRow lists the models that one target has loaded, for pools with several models.
type ModelRow struct {
	Target string   `cbor:"1,keyasint"`
	Models []string `cbor:"2,keyasint"`
}

// Loads forwards target loads from the daemon that reads them. Digest is the result of PackLoads.
type Loads struct {
	Digest []byte       `cbor:"1,keyasint,omitempty"`
	Models []ModelRow   `cbor:"4,keyasint,omitempty"`
	Caches []CacheEvent `cbor:"2,keyasint,omitempty"`
	Pools  []string     `cbor:"3,keyasint,omitempty"`
}

// Listed forwards the changes of the platform's VM list, from a daemon that reads the list.
type Listed struct {
	VMs     []VMEntry `cbor:"1,keyasint,omitempty"`
	Removed []VM      `cbor:"2,keyasint,omitempty"`
}

// DemandRow is the time that a daemon recently used with one model at a pool.
type DemandRow struct {
	Pool  string        `cbor:"1,keyasint"`
	Model string        `cbor:"2,keyasint"`
	Spent time.Duration `cbor:"3,keyasint"`
}

// Demand reports the sender's usage since its previous Demand to the daemon that assigns the models of a pool.
type Demand struct {
	Rows []DemandRow `cbor:"1,keyasint"`
}

// Done is the answer to a call that needs no result.
type Done struct{}

func (Heartbeat) messageKind() MessageKind        { return MessageHeartbeat }
func (Alive) messageKind() MessageKind            { return MessageAlive }
func (Alarm) messageKind() MessageKind            { return MessageAlarm }
func (ChangesAsk) messageKind() MessageKind       { return MessageChangesAsk }
func (ChangesAnswer) messageKind() MessageKind    { return MessageChangesAnswer }
func (RosterAsk) messageKind() MessageKind        { return MessageRosterAsk }
func (RosterAnswer) messageKind() MessageKind     { return MessageRosterAnswer }
func (ClaimAsk) messageKind() MessageKind         { return MessageClaimAsk }
func (ClaimAnswer) messageKind() MessageKind      { return MessageClaimAnswer }
func (Settle) messageKind() MessageKind           { return MessageSettle }
func (TransferAsk) messageKind() MessageKind      { return MessageTransferAsk }
func (TransferAnswer) messageKind() MessageKind   { return MessageTransferAnswer }
func (Usage) messageKind() MessageKind            { return MessageUsage }
func (Loads) messageKind() MessageKind            { return MessageLoads }
func (Listed) messageKind() MessageKind           { return MessageListed }
func (Done) messageKind() MessageKind             { return MessageDone }
func (Demand) messageKind() MessageKind           { return MessageDemand }
func (SlotReady) messageKind() MessageKind        { return MessageSlotReady }
func (RoutingAsk) messageKind() MessageKind       { return MessageRoutingAsk }
func (RoutingAnswer) messageKind() MessageKind    { return MessageRoutingAnswer }
func (PiecesAsk) messageKind() MessageKind        { return MessagePiecesAsk }
func (PiecesAnswer) messageKind() MessageKind     { return MessagePiecesAnswer }
func (PiecesDrop) messageKind() MessageKind       { return MessagePiecesDrop }
func (PlaceAsk) messageKind() MessageKind         { return MessagePlaceAsk }
func (PlaceAnswer) messageKind() MessageKind      { return MessagePlaceAnswer }
func (PlaceNote) messageKind() MessageKind        { return MessagePlaceNote }
func (Confirmed) messageKind() MessageKind        { return MessageConfirmed }
func (Deaths) messageKind() MessageKind           { return MessageDeaths }
func (News) messageKind() MessageKind             { return MessageNews }
func (TargetEnds) messageKind() MessageKind       { return MessageTargetEnds }
func (AdmitAsk) messageKind() MessageKind         { return MessageAdmitAsk }
func (AdmitAnswer) messageKind() MessageKind      { return MessageAdmitAnswer }
func (TargetNotices) messageKind() MessageKind    { return MessageTargetNotices }
func (PermitAsk) messageKind() MessageKind        { return MessagePermitAsk }
func (PermitAnswer) messageKind() MessageKind     { return MessagePermitAnswer }
func (MembersAsk) messageKind() MessageKind       { return MessageMembersAsk }
func (DaemonRowsAsk) messageKind() MessageKind    { return MessageDaemonRowsAsk }
func (DaemonRowsAnswer) messageKind() MessageKind { return MessageDaemonRowsAnswer }
func (StreamStarts) messageKind() MessageKind     { return MessageStreamStarts }
func (StreamAsk) messageKind() MessageKind        { return MessageStreamAsk }
func (StreamTakeover) messageKind() MessageKind   { return MessageStreamTakeover }
func (ReadAsk) messageKind() MessageKind          { return MessageReadAsk }
func (TunnelClose) messageKind() MessageKind      { return MessageTunnelClose }

// Envelope frames one message. Call is nonzero for a call and for its answer.
type Envelope struct {
	Kind   MessageKind     `cbor:"1,keyasint"`
	Call   uint64          `cbor:"2,keyasint,omitempty"`
	Answer bool            `cbor:"3,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Trace  string          `cbor:"5,keyasint,omitempty"`
	// Compressed is the compressed body; it replaces Body.
	Compressed []byte `cbor:"6,keyasint,omitempty"`
}
