package proto

import (
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Limits on the messages between daemons.
const (
	MaxMessageSize = 16 << 20
	maxElements    = 1 << 17
)

var (
	encMode = mustEncMode(cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode())
	decMode = mustDecMode(cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode())
)

func mustEncMode(mode cbor.EncMode, err error) cbor.EncMode {
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode(mode cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode encodes a message as CBOR in an Envelope. It fails with KindInvalid.
func Encode(m Message, call uint64, answer bool, trace string) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, &Error{Op: "encode message", Kind: KindInvalid, Err: err}
	}
	env := Envelope{Kind: m.messageKind(), Call: call, Answer: answer, Body: body, Trace: trace}
	if len(body) >= compressMinSize {
		env.Body = nil
		if env.Compressed, err = compress(body); err != nil {
			return nil, err
		}
	}
	data, err := encMode.Marshal(env)
	if err != nil {
		return nil, &Error{Op: "encode message", Kind: KindInvalid, Err: err}
	}
	return data, nil
}

// NameOf returns the name of the message's type, for use in metrics.
func NameOf(m Message) string { return messageNames[m.messageKind()] }

// messageNames is computed once because the metrics look up a name for every message.
var messageNames = func() map[MessageKind]string {
	names := map[MessageKind]string{}
	for kind, read := range decoders {
		empty, _ := read(nil) // The body is empty, so decoding fails; only the type of the value is used.
		names[kind] = strings.TrimPrefix(fmt.Sprintf("%T", empty), "proto.")
	}
	return names
}()

// Decode decodes the output of Encode. It fails with KindInvalid.
func Decode(data []byte) (Envelope, Message, error) {
	var env Envelope
	if err := decMode.Unmarshal(data, &env); err != nil {
		return env, nil, &Error{Op: "decode envelope", Kind: KindInvalid, Err: err}
	}
	decode, ok := decoders[env.Kind]
	if !ok {
		return env, nil, newError("decode message", KindInvalid, "no message is of kind %d", env.Kind)
	}
	body := []byte(env.Body)
	if len(env.Compressed) > 0 {
		var err error
		if body, err = decompress(env.Compressed); err != nil {
			return env, nil, err
		}
	}
	m, err := decode(body)
	if err != nil {
		return env, nil, &Error{Op: "decode message", Kind: KindInvalid, Err: err}
	}
	return env, m, nil
}

func decodeAs[M Message](body []byte) (Message, error) {
	var m M
	err := decMode.Unmarshal(body, &m)
	return m, err
}

var decoders = map[MessageKind]func([]byte) (Message, error){
	MessageHeartbeat:        decodeAs[Heartbeat],
	MessageAlive:            decodeAs[Alive],
	MessageAlarm:            decodeAs[Alarm],
	MessageChangesAsk:       decodeAs[ChangesAsk],
	MessageChangesAnswer:    decodeAs[ChangesAnswer],
	MessageRosterAsk:        decodeAs[RosterAsk],
	MessageRosterAnswer:     decodeAs[RosterAnswer],
	MessageClaimAsk:         decodeAs[ClaimAsk],
	MessageClaimAnswer:      decodeAs[ClaimAnswer],
	MessageSettle:           decodeAs[Settle],
	MessageTransferAsk:      decodeAs[TransferAsk],
	MessageTransferAnswer:   decodeAs[TransferAnswer],
	MessageUsage:            decodeAs[Usage],
	MessageLoads:            decodeAs[Loads],
	MessageListed:           decodeAs[Listed],
	MessageDone:             decodeAs[Done],
	MessageSlotReady:        decodeAs[SlotReady],
	MessageDemand:           decodeAs[Demand],
	MessageRoutingAsk:       decodeAs[RoutingAsk],
	MessageRoutingAnswer:    decodeAs[RoutingAnswer],
	MessagePiecesAsk:        decodeAs[PiecesAsk],
	MessagePiecesAnswer:     decodeAs[PiecesAnswer],
	MessagePiecesDrop:       decodeAs[PiecesDrop],
	MessagePlaceAsk:         decodeAs[PlaceAsk],
	MessagePlaceAnswer:      decodeAs[PlaceAnswer],
	MessagePlaceNote:        decodeAs[PlaceNote],
	MessageConfirmed:        decodeAs[Confirmed],
	MessageDeaths:           decodeAs[Deaths],
	MessageNews:             decodeAs[News],
	MessageTargetEnds:       decodeAs[TargetEnds],
	MessageAdmitAsk:         decodeAs[AdmitAsk],
	MessageAdmitAnswer:      decodeAs[AdmitAnswer],
	MessageTargetNotices:    decodeAs[TargetNotices],
	MessagePermitAsk:        decodeAs[PermitAsk],
	MessagePermitAnswer:     decodeAs[PermitAnswer],
	MessageMembersAsk:       decodeAs[MembersAsk],
	MessageDaemonRowsAsk:    decodeAs[DaemonRowsAsk],
	MessageDaemonRowsAnswer: decodeAs[DaemonRowsAnswer],
	MessageStreamStarts:     decodeAs[StreamStarts],
	MessageStreamAsk:        decodeAs[StreamAsk],
	MessageStreamTakeover:   decodeAs[StreamTakeover],
	MessageReadAsk:          decodeAs[ReadAsk],
	MessageTunnelClose:      decodeAs[TunnelClose],
}
