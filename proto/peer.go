package proto

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Incarnation tells the runs of one VM's daemon apart; it grows with each start.
type Incarnation uint64

// Epoch numbers the versions of the roster and of leases.
type Epoch uint64

// Message is what daemons send each other.
type Message interface{ messageKind() MessageKind }

// MessageKind names the type of a message on the wire.
type MessageKind uint8

// Kinds of messages.
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
)

// Heartbeat says that the sender is alive and what it has.
type Heartbeat struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Generation  Generation  `cbor:"2,keyasint"`
	Roster      Epoch       `cbor:"3,keyasint"`
	Stopping    bool        `cbor:"4,keyasint,omitempty"`
	// Routing is the version of the configuration that a relaying daemon has, and Targets the revision of its list of targets.
	Routing uint64   `cbor:"5,keyasint,omitempty"`
	Targets Revision `cbor:"6,keyasint,omitzero"`
	// Dead is a digest of the runs that the sender holds to be dead; 0 if none.
	DeadDigest uint64 `cbor:"7,keyasint,omitempty"`
	// Ends is a digest of the ends of targets that the sender knows of; 0 if none.
	EndsDigest uint64 `cbor:"8,keyasint,omitempty"`
	// Void is a digest of the void entries of targets that the sender knows of; 0 if none.
	InvalidDigest uint64 `cbor:"9,keyasint,omitempty"`
	// Evacuations is the revision of the newest evacuation, or end of one, that the sender knows.
	Evacuations Revision `cbor:"10,keyasint,omitzero"`
	// Notices is a digest of what listed targets have said of themselves, as far as the sender knows; 0 if nothing.
	NoticesDigest uint64 `cbor:"11,keyasint,omitempty"`
}

// Alive announces a daemon, or refutes an alarm about it by a higher count.
type Alive struct {
	VM          VM             `cbor:"1,keyasint"`
	Zone        Zone           `cbor:"2,keyasint"`
	Peer        netip.AddrPort `cbor:"3,keyasint"`
	Incarnation Incarnation    `cbor:"4,keyasint"`
	Sequence    uint64         `cbor:"5,keyasint"`
	Stopping    bool           `cbor:"6,keyasint,omitempty"`
}

// Alarm says that a daemon which links to another has not heard from it, or has again.
type Alarm struct {
	Subject     VM          `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Reporter    VM          `cbor:"3,keyasint"`
	Sequence    uint64      `cbor:"4,keyasint"`
	Silent      bool        `cbor:"5,keyasint,omitempty"`
}

// DaemonRun is one run of a daemon.
type DaemonRun struct {
	VM          VM          `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
}

// Deaths names the runs that the sender holds to be dead.
type Deaths struct {
	Runs []DaemonRun `cbor:"1,keyasint"`
}

// News passes on what the sender has lately heard of daemons that are not itself.
type News struct {
	Alive  []Alive `cbor:"1,keyasint,omitempty"`
	Alarms []Alarm `cbor:"2,keyasint,omitempty"`
}

// ChangeKind tells what an accepted change is about.
type ChangeKind string

// Kinds of changes.
const (
	ChangeFile ChangeKind = "file"
	ChangeStop ChangeKind = "stop"
)

// Change is one accepted change of configuration.
type Change struct {
	Generation Generation `json:"generation" cbor:"1,keyasint"`
	Kind       ChangeKind `json:"kind" cbor:"2,keyasint"`
	Name       string     `json:"name,omitempty" cbor:"3,keyasint,omitempty"`
	Hash       string     `json:"hash,omitempty" cbor:"4,keyasint,omitempty"`
	ApplyID    string     `json:"applyId" cbor:"5,keyasint,omitempty"`
	By         string     `json:"by,omitempty" cbor:"6,keyasint,omitempty"`
	At         time.Time  `json:"at" cbor:"7,keyasint"`
	Stop       *StopPlan  `json:"stop,omitempty" cbor:"8,keyasint,omitempty"`
	// Body is the file itself; only messages between daemons carry it.
	Body []byte `json:"-" cbor:"9,keyasint,omitempty"`
}

// ChangesAsk asks for the changes after a generation.
type ChangesAsk struct {
	After Generation `cbor:"1,keyasint"`
}

// ChangesAnswer holds changes in order; with Whole set they are the whole state as of Generation.
type ChangesAnswer struct {
	Generation Generation `cbor:"1,keyasint"`
	Changes    []Change   `cbor:"2,keyasint,omitempty"`
	Full       bool       `cbor:"3,keyasint,omitempty"`
}

// RosterMember is one run of a daemon that keeps claims.
type RosterMember struct {
	VM          VM          `json:"vm" cbor:"1,keyasint"`
	Zone        Zone        `json:"zone" cbor:"2,keyasint"`
	Incarnation Incarnation `json:"incarnation" cbor:"3,keyasint"`
}

// Slot is a part of the key space with the replicas that keep its claims.
type Slot struct {
	Group []RosterMember `json:"group" cbor:"1,keyasint"`
	// Since is the roster epoch at which the group came to be.
	Since Epoch `json:"since" cbor:"2,keyasint"`
	// Previous is the group that the claims are to be read from; empty once that is done.
	Previous      []RosterMember `json:"previous,omitempty" cbor:"3,keyasint,omitempty"`
	PreviousSince Epoch          `json:"previousSince,omitempty" cbor:"4,keyasint,omitempty"`
	// Forced says that too few of the previous group were left to read all claims.
	Forced bool `json:"forced,omitempty" cbor:"5,keyasint,omitempty"`
	// ForgottenBefore is the time of the newest key whose claim may have been lost.
	ForgottenBefore time.Time `json:"forgottenBefore,omitzero" cbor:"6,keyasint,omitempty"`
}

// Roster says which daemons keep the claims of which slots; it changes by conditional writes to one row.
type Roster struct {
	Epoch Epoch  `json:"epoch" cbor:"1,keyasint"`
	Slots []Slot `json:"slots" cbor:"2,keyasint"`
}

// RosterAsk asks for the roster.
type RosterAsk struct{}

// RosterAnswer holds the roster as the sender knows it.
type RosterAnswer struct {
	Roster Roster `cbor:"1,keyasint"`
}

// ClaimID tells the claims on one key apart.
type ClaimID struct {
	Holder      VM          `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Request     RequestID   `cbor:"3,keyasint"`
	// Try tells a request's claims apart, since one that was released is never granted again.
	Attempt int `cbor:"4,keyasint,omitempty"`
}

// ClaimAsk asks a replica to grant a key to a request.
type ClaimAsk struct {
	Slot        int     `cbor:"1,keyasint"`
	Since       Epoch   `cbor:"2,keyasint"`
	Key         Key     `cbor:"3,keyasint"`
	Fingerprint uint64  `cbor:"4,keyasint"`
	Claim       ClaimID `cbor:"5,keyasint"`
}

// ClaimResult is a replica's word on a claim.
type ClaimResult uint8

// Results of claims.
const (
	ClaimGranted ClaimResult = iota + 1
	ClaimTaken
	ClaimDone
	ClaimMismatch
	ClaimTooOld
	// ClaimTooNew means that the key's time is ahead of the replica's clock by more than the allowed skew.
	ClaimTooNew
	// ClaimNotReady means that the replica cannot speak for the slot, or not yet.
	ClaimNotReady
	// ClaimStale means that the asker's roster is older than the replica's.
	ClaimStale
)

// ClaimAnswer answers a ClaimAsk.
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

// ClaimState is how far a claim has come.
type ClaimState uint8

// States of claims.
const (
	ClaimStateHeld ClaimState = iota + 1
	ClaimStateReleased
	ClaimStateDone
)

// ClaimRecord is one remembered claim.
type ClaimRecord struct {
	Key         Key        `cbor:"1,keyasint"`
	Claim       ClaimID    `cbor:"2,keyasint"`
	Fingerprint uint64     `cbor:"3,keyasint"`
	State       ClaimState `cbor:"4,keyasint"`
	Answer      []byte     `cbor:"5,keyasint,omitempty"`
}

// TransferAsk asks a member of the previous group to stop granting and to hand over a slot's claims.
type TransferAsk struct {
	Slot          int   `cbor:"1,keyasint"`
	Since         Epoch `cbor:"2,keyasint"` // of the new group
	PreviousSince Epoch `cbor:"3,keyasint"` // of the previous group
	After         Key   `cbor:"4,keyasint"`
}

// TransferAnswer holds a page of a slot's claims in key order.
type TransferAnswer struct {
	Ready           bool          `cbor:"1,keyasint"`
	Records         []ClaimRecord `cbor:"2,keyasint,omitempty"`
	More            bool          `cbor:"3,keyasint,omitempty"`
	ForgottenBefore time.Time     `cbor:"4,keyasint,omitempty"`
}

// SlotReady says that a replica has read all claims of a slot.
type SlotReady struct {
	Slot  int   `cbor:"1,keyasint"`
	Since Epoch `cbor:"2,keyasint"`
}

// UsageRow is what was spent for a workspace at a pool.
type UsageRow struct {
	Pool      string        `cbor:"1,keyasint"`
	Workspace string        `cbor:"2,keyasint"`
	Spent     time.Duration `cbor:"3,keyasint"`
}

// Usage carries usage to a collector, or with Totals set what the others spent back from it.
type Usage struct {
	Rows   []UsageRow `cbor:"1,keyasint"`
	Totals bool       `cbor:"2,keyasint,omitempty"`
}

// ModelRow is which models a target of a pool with several has.
type ModelRow struct {
	Target string   `cbor:"1,keyasint"`
	Models []string `cbor:"2,keyasint"`
}

// Loads carries the loads of targets from the daemon that reads them; Digest is what PackLoads returns.
type Loads struct {
	Digest []byte       `cbor:"1,keyasint,omitempty"`
	Models []ModelRow   `cbor:"4,keyasint,omitempty"`
	Caches []CacheEvent `cbor:"2,keyasint,omitempty"`
	Pools  []string     `cbor:"3,keyasint,omitempty"`
}

// Listed carries what changed in the platform's VM list, from a daemon that reads it.
type Listed struct {
	VMs     []VMEntry `cbor:"1,keyasint,omitempty"`
	Removed []VM      `cbor:"2,keyasint,omitempty"`
}

// DemandRow is what a daemon spent with a model at a pool lately.
type DemandRow struct {
	Pool  string        `cbor:"1,keyasint"`
	Model string        `cbor:"2,keyasint"`
	Spent time.Duration `cbor:"3,keyasint"`
}

// Demand tells the daemon that orders models for a pool what the sender spent since its last one.
type Demand struct {
	Rows []DemandRow `cbor:"1,keyasint"`
}

// Done answers a call that needs no other answer.
type Done struct{}

func (Heartbeat) messageKind() MessageKind      { return MessageHeartbeat }
func (Alive) messageKind() MessageKind          { return MessageAlive }
func (Alarm) messageKind() MessageKind          { return MessageAlarm }
func (ChangesAsk) messageKind() MessageKind     { return MessageChangesAsk }
func (ChangesAnswer) messageKind() MessageKind  { return MessageChangesAnswer }
func (RosterAsk) messageKind() MessageKind      { return MessageRosterAsk }
func (RosterAnswer) messageKind() MessageKind   { return MessageRosterAnswer }
func (ClaimAsk) messageKind() MessageKind       { return MessageClaimAsk }
func (ClaimAnswer) messageKind() MessageKind    { return MessageClaimAnswer }
func (Settle) messageKind() MessageKind         { return MessageSettle }
func (TransferAsk) messageKind() MessageKind    { return MessageTransferAsk }
func (TransferAnswer) messageKind() MessageKind { return MessageTransferAnswer }
func (Usage) messageKind() MessageKind          { return MessageUsage }
func (Loads) messageKind() MessageKind          { return MessageLoads }
func (Listed) messageKind() MessageKind         { return MessageListed }
func (Done) messageKind() MessageKind           { return MessageDone }
func (Demand) messageKind() MessageKind         { return MessageDemand }
func (SlotReady) messageKind() MessageKind      { return MessageSlotReady }
func (RoutingAsk) messageKind() MessageKind     { return MessageRoutingAsk }
func (RoutingAnswer) messageKind() MessageKind  { return MessageRoutingAnswer }
func (PiecesAsk) messageKind() MessageKind      { return MessagePiecesAsk }
func (PiecesAnswer) messageKind() MessageKind   { return MessagePiecesAnswer }
func (PiecesDrop) messageKind() MessageKind     { return MessagePiecesDrop }
func (PlaceAsk) messageKind() MessageKind       { return MessagePlaceAsk }
func (PlaceAnswer) messageKind() MessageKind    { return MessagePlaceAnswer }
func (PlaceNote) messageKind() MessageKind      { return MessagePlaceNote }
func (Confirmed) messageKind() MessageKind      { return MessageConfirmed }
func (Deaths) messageKind() MessageKind         { return MessageDeaths }
func (News) messageKind() MessageKind           { return MessageNews }
func (TargetEnds) messageKind() MessageKind     { return MessageTargetEnds }
func (AdmitAsk) messageKind() MessageKind       { return MessageAdmitAsk }
func (AdmitAnswer) messageKind() MessageKind    { return MessageAdmitAnswer }
func (TargetNotices) messageKind() MessageKind  { return MessageTargetNotices }
func (PermitAsk) messageKind() MessageKind      { return MessagePermitAsk }
func (PermitAnswer) messageKind() MessageKind   { return MessagePermitAnswer }

// Envelope frames one message; Call is not 0 for a call and for its answer.
type Envelope struct {
	Kind   MessageKind     `cbor:"1,keyasint"`
	Call   uint64          `cbor:"2,keyasint,omitempty"`
	Answer bool            `cbor:"3,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Trace  string          `cbor:"5,keyasint,omitempty"`
	// Compressed is the body in compressed form, in place of Body.
	Compressed []byte `cbor:"6,keyasint,omitempty"`
}
