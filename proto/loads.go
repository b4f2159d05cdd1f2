package proto

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	loadRowSize  = 8 // bytes: target hash, running, waiting, slots, age
	loadAgeUnit  = 50 * time.Millisecond
	maxLoadCount = 255
)

// LoadRow is the load of a target, as forwarded by the daemon that reads it.
type LoadRow struct {
	Pool    string
	Target  string
	Running int
	Waiting int
	Slots   int
	Models  []string
	// Age is the time between the target's report and the message.
	Age time.Duration
}

// TargetHash returns the hash that identifies a target in a digest.
func TargetHash(target string) uint32 { return uint32(xxhash.Sum64String(target)) }

func loadCount(n int) byte { return byte(min(maxLoadCount, max(0, n))) }

// PackLoads encodes each row in eight bytes. Counts are capped at 255 and ages at 12.75 s.
func PackLoads(rows []LoadRow) []byte {
	digest := make([]byte, 0, loadRowSize*len(rows))
	for i := range rows {
		row := &rows[i]
		digest = binary.BigEndian.AppendUint32(digest, TargetHash(row.Target))
		digest = append(digest, loadCount(row.Running), loadCount(row.Waiting), loadCount(row.Slots), loadCount(int(row.Age/loadAgeUnit)))
	}
	return digest
}

// UnpackLoads decodes the output of PackLoads. It skips rows of targets that are not in names.
func UnpackLoads(digest []byte, names map[uint32]LoadRow) []LoadRow {
	rows := make([]LoadRow, 0, len(digest)/loadRowSize)
	for ; len(digest) >= loadRowSize; digest = digest[loadRowSize:] {
		row, ok := names[binary.BigEndian.Uint32(digest)]
		if !ok {
			continue
		}
		row.Running, row.Waiting, row.Slots = int(digest[4]), int(digest[5]), int(digest[6])
		row.Age = time.Duration(digest[7]) * loadAgeUnit
		rows = append(rows, row)
	}
	return rows
}
