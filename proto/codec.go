package proto

import (
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Limits of messages between daemons.
const (
	MaxMessage  = 16 << 20
	maxElements = 1 << 17
)

var (
	encoding = must(cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode())
	decoding = mustDecode(cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode())
)

func must(mode cbor.EncMode, err error) cbor.EncMode {
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecode(mode cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode frames a message as CBOR; it fails with KindInvalid.
func Encode(m Message, call uint64, answer bool, trace string) ([]byte, error) {
	body, err := encoding.Marshal(m)
	if err != nil {
		return nil, &Error{Op: "encode message", Kind: KindInvalid, Err: err}
	}
	env := Envelope{Kind: m.messageKind(), Call: call, Answer: answer, Body: body, Trace: trace}
	if len(body) >= packFrom {
		env.Body = nil
		if env.Packed, err = pack(body); err != nil {
			return nil, err
		}
	}
	data, err := encoding.Marshal(env)
	if err != nil {
		return nil, &Error{Op: "encode message", Kind: KindInvalid, Err: err}
	}
	return data, nil
}

// NameOf returns the name of a message's type, for counters.
func NameOf(m Message) string { return messageNames[m.messageKind()] }

// messageNames are made once, since counters need one for each message.
var messageNames = func() map[MessageKind]string {
	names := map[MessageKind]string{}
	for kind, read := range readers {
		empty, _ := read(nil) // The value is empty in any case, and only its type is used.
		names[kind] = strings.TrimPrefix(fmt.Sprintf("%T", empty), "proto.")
	}
	return names
}()

// Decode reads what Encode wrote; it fails with KindInvalid.
func Decode(data []byte) (Envelope, Message, error) {
	var env Envelope
	if err := decoding.Unmarshal(data, &env); err != nil {
		return env, nil, &Error{Op: "decode envelope", Kind: KindInvalid, Err: err}
	}
	read, ok := readers[env.Kind]
	if !ok {
		return env, nil, newError("decode message", KindInvalid, "no message is of kind %d", env.Kind)
	}
	body := []byte(env.Body)
	if len(env.Packed) > 0 {
		var err error
		if body, err = unpack(env.Packed); err != nil {
			return env, nil, err
		}
	}
	m, err := read(body)
	if err != nil {
		return env, nil, &Error{Op: "decode message", Kind: KindInvalid, Err: err}
	}
	return env, m, nil
}

func reader[M Message](body []byte) (Message, error) {
	var m M
	err := decoding.Unmarshal(body, &m)
	return m, err
}

var readers = map[MessageKind]func([]byte) (Message, error){
	MessageHeartbeat:      reader[Heartbeat],
	MessageAlive:          reader[Alive],
	MessageAlarm:          reader[Alarm],
	MessageChangesAsk:     reader[ChangesAsk],
	MessageChangesAnswer:  reader[ChangesAnswer],
	MessageRosterAsk:      reader[RosterAsk],
	MessageRosterAnswer:   reader[RosterAnswer],
	MessageClaimAsk:       reader[ClaimAsk],
	MessageClaimAnswer:    reader[ClaimAnswer],
	MessageSettle:         reader[Settle],
	MessageTransferAsk:    reader[TransferAsk],
	MessageTransferAnswer: reader[TransferAnswer],
	MessageUsage:          reader[Usage],
	MessageLoads:          reader[Loads],
	MessageListed:         reader[Listed],
	MessageDone:           reader[Done],
	MessageSlotReady:      reader[SlotReady],
	MessageDemand:         reader[Demand],
	MessageRoutingAsk:     reader[RoutingAsk],
	MessageRoutingAnswer:  reader[RoutingAnswer],
	MessagePiecesAsk:      reader[PiecesAsk],
	MessagePiecesAnswer:   reader[PiecesAnswer],
	MessagePiecesDrop:     reader[PiecesDrop],
	MessagePlaceAsk:       reader[PlaceAsk],
	MessagePlaceAnswer:    reader[PlaceAnswer],
	MessagePlaceNote:      reader[PlaceNote],
	MessageConfirmed:      reader[Confirmed],
	MessageDeaths:         reader[Deaths],
	MessageNews:           reader[News],
	MessageTargetEnds:     reader[TargetEnds],
	MessageAdmitAsk:       reader[AdmitAsk],
	MessageAdmitAnswer:    reader[AdmitAnswer],
	MessageTargetNotices:  reader[TargetNotices],
	MessagePermitAsk:      reader[PermitAsk],
	MessagePermitAnswer:   reader[PermitAnswer],
}
