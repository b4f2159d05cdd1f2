package serve

import (
	"context"
	"sync"
	"time"

	"emberlead/proto"
	"emberlead/spread"
)

// pullTimeout limits how long another daemon may take to begin its answer to a request for newer state. An answer that comes late still
// counts: a daemon that takes long is mostly overloaded, and would have to make the same answer again.
const pullTimeout = 3 * time.Second

// routingDocument holds the configuration in force as the operator wrote it, in the forms in which it is sent to other daemons.
type routingDocument struct {
	mu      sync.Mutex
	version uint64
	packer  spread.Packer
	sender  spread.Sender
	// wholeNext is set if differences that were received did not fit.
	wholeNext bool
}

// set replaces the document by that of a newer version.
func (r *routingDocument) set(version uint64, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, digest := r.packer.Document(); digest == 0 || version > r.version {
		r.version = version
		r.packer.Set(body)
	}
}

// digest returns the digest by which differences to this daemon's document are requested, or 0 to request a whole one.
func (r *routingDocument) digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.wholeNext {
		return 0
	}
	_, digest := r.packer.Document()
	return digest
}

// packFor returns the document for a daemon that has the one with a digest, or none if it is being sent to others.
func (r *routingDocument) packFor(now time.Time, base uint64, urgent bool) (packed proto.PackedDocument, busy bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if packed, err = r.packer.Pack(base); err != nil {
		return packed, false, err
	}
	if admitted := r.sender.Admit(now, len(packed.Parts)); !admitted && !urgent {
		return proto.PackedDocument{}, true, nil
	}
	return packed, false, nil
}

func (r *routingDocument) body() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	body, _ := r.packer.Document()
	return body
}

// receive returns the configuration in an answer, or nil if it has none.
func (r *routingDocument) receive(answer *proto.RoutingAnswer) ([]byte, error) {
	if len(answer.RoutingPacked.Parts) == 0 {
		return answer.RoutingBody, nil
	}
	body, err := spread.Unpack(answer.RoutingPacked, r.body())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wholeNext = err != nil
	return body, err
}

// addRouting adds the configuration to an answer.
func (d *Relay) addRouting(answer *proto.RoutingAnswer, ask proto.RoutingAsk) {
	if !ask.Packed {
		answer.RoutingBody = d.routingDocument.body()
		return
	}
	// A daemon without any configuration serves nobody.
	packed, busy, err := d.routingDocument.packFor(d.clock.Now(), ask.RoutingDigest, ask.Routing == 0)
	if err != nil {
		d.log.Error("cannot pack the configuration for another daemon", "version", answer.Routing, "error", err)
	}
	answer.RoutingPacked, answer.RoutingBusy = packed, busy
}

// applyReceivedRouting puts the configuration in an answer of another daemon in force, if there is a newer one.
func (d *Relay) applyReceivedRouting(answer *proto.RoutingAnswer, from string, took time.Duration) {
	if answer.Routing <= d.tables.Version() {
		return
	}
	body, err := d.routingDocument.receive(answer)
	if err != nil {
		d.log.Warn("cannot use the configuration that another daemon sent; it is requested as a whole", "from", from, "version", answer.Routing, "error", err)
		return
	}
	if len(body) > 0 {
		// The sender measured the age when it answered, at most as long ago as the request took.
		d.applyRouting(body, from, answer.RoutingAge+took)
	}
}

// pullFrom asks another daemon for its newer state, unless enough are being asked.
func (d *Relay) pullFrom(from proto.VM) {
	ctx, progress, cancel := proto.WithProgress(context.Background(), pullTimeout)
	defer cancel()
	if !d.pulls.start(d.clock.Now(), from, progress.Began) {
		return
	}
	defer d.pulls.end(from)
	askedAt := d.clock.Now()
	d.versionLag.askStarted(askedAt, from)
	m, err := d.peers.Call(ctx, from, proto.RoutingAsk{
		Routing: d.tables.Version(), Targets: d.fleet.Version(), Evacuations: d.fleet.EvacuationsVersion(), Packed: true, RoutingDigest: d.routingDocument.digest(),
	})
	took := d.clock.Now().Sub(askedAt)
	answer, ok := m.(proto.RoutingAnswer)
	d.versionLag.askEnded(from, answer.RoutingBusy, err)
	if err != nil || !ok {
		d.log.Info("another daemon did not answer a request for its newer state", "from", from, "took", took.String(), "error", err)
		return
	}
	d.handleFleetEvents(d.fleet.MergeInvalid(d.clock.Now(), answer.InvalidEntries), string(from))
	d.applyEvacuations(answer.Evacuations, string(from))
	d.mergeNotices(d.clock.Now(), answer.Notices, from)
	d.applyReceivedRouting(&answer, string(from), took)
	if !answer.HasTargets {
		return
	}
	d.log.Info("targets taken from another daemon", "from", from, "version", answer.Targets, "entries", len(answer.TargetEntries), "whole", answer.Full)
	if answer.Full {
		d.adoptTargets(&answer, string(from))
		return
	}
	d.applyTargetChanges(answer.TargetEntries, string(from), true)
}

// pulls holds the requests for newer state that have not ended.
type pulls struct {
	mu     sync.Mutex
	puller spread.Puller
}

func (p *pulls) start(now time.Time, from proto.VM, receiving func() bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.puller.Start(now, from, receiving)
}

func (p *pulls) end(from proto.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.puller.End(from)
}
