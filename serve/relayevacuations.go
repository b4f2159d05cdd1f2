package serve

import (
	"bytes"
	"encoding/json"
	"time"

	"emberlead/platform"
	"emberlead/proto"
)

// parseEvacuations returns the evacuations among the rows of the operator's table. A row evacuates the zone that its
// key names for as long as it exists. Its body has no effect, but it is logged if it is not a JSON object.
func (d *Relay) parseEvacuations(rows platform.RowSet) []proto.Evacuation {
	var evacuations []proto.Evacuation
	for i := range rows.Rows {
		row := &rows.Rows[i]
		zone, ok := row.EvacuatedZone()
		if !ok {
			if !row.IsRouting() {
				d.log.Warn("ignoring an unknown row of the operator's table", "key", row.Key, "version", row.Version, "bytes", len(row.Body))
			}
			continue
		}
		if body := bytes.TrimSpace(row.Body); !row.Removed && (!json.Valid(body) || body[0] != '{') {
			d.log.Warn("the body of an evacuation row holds no JSON object; the zone is evacuated anyway", "zone", zone, "version", row.Version, "bytes", len(row.Body))
		}
		evacuations = append(evacuations, proto.Evacuation{Zone: zone, Version: row.Version, Ended: row.Removed})
	}
	return evacuations
}

// expireEvacuations ends the evacuations that the store lost in a restore and that the operator has not requested again.
func (d *Relay) expireEvacuations(now time.Time) {
	if ends := d.fleet.ExpiredEvacuations(now); len(ends) > 0 {
		d.applyEvacuations(ends, "time")
	}
}

// applyEvacuations applies evacuations and their ends, and notifies the other daemons of those that are new.
func (d *Relay) applyEvacuations(evacuations []proto.Evacuation, from string) {
	if len(evacuations) == 0 {
		return
	}
	now := d.clock.Now()
	changed := d.fleet.ApplyEvacuations(now, evacuations)
	for _, evacuation := range changed {
		message := "availability zone evacuated"
		if evacuation.Ended {
			message = "availability zone in service again"
		}
		d.log.Info(message, "zone", evacuation.Zone, "version", evacuation.Version, "targets", d.fleet.CountInZone(evacuation.Zone), "held", evacuation.LostInRestore, "from", from)
	}
	if len(changed) > 0 {
		d.peers.members.SendHeartbeats(now)
	}
}
