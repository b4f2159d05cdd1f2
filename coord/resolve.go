package coord

import (
	"context"
	"encoding/json"

	"emberlead/proto"
)

// resolveUnknown finds out by the apply ID whether a write whose answer was lost took effect. If it did not,
// resolveUnknown rewrites the head row first, so that the write cannot take effect later.
func (s *ConfigStore) resolveUnknown(ctx context.Context, c *ConfigState, change proto.Change, headVersion uint64) (ApplyResult, error) {
	for range maxApplyAttempts {
		row, _, err := s.readChange(ctx, logRow(change.Generation))
		if err != nil {
			return ApplyResult{ApplyID: change.ApplyID}, &Error{Op: "apply", Kind: proto.KindUnknown, Err: err}
		}
		if row != nil && row.ApplyID == change.ApplyID {
			c.ApplyChanges([]proto.Change{change})
			return ApplyResult{Generation: change.Generation, ApplyID: change.ApplyID}, nil
		}
		head, version, err := s.Head(ctx)
		if err != nil {
			return ApplyResult{ApplyID: change.ApplyID}, &Error{Op: "apply", Kind: proto.KindUnknown, Err: err}
		}
		if version != headVersion || s.touchHead(ctx, head, version) == nil {
			return s.confirmOutcome(ctx, c, change)
		}
	}
	return ApplyResult{ApplyID: change.ApplyID}, newError("apply", proto.KindUnknown, "the answer to the write was lost")
}

// confirmOutcome reads once more after the head row has changed, when the write can no longer take effect.
func (s *ConfigStore) confirmOutcome(ctx context.Context, c *ConfigState, change proto.Change) (ApplyResult, error) {
	row, _, err := s.readChange(ctx, logRow(change.Generation))
	if err != nil {
		return ApplyResult{ApplyID: change.ApplyID}, &Error{Op: "apply", Kind: proto.KindUnknown, Err: err}
	}
	if row == nil || row.ApplyID != change.ApplyID {
		return ApplyResult{}, newError("apply", proto.KindUnavailable, "the write did not take effect; apply again")
	}
	c.ApplyChanges([]proto.Change{change})
	return ApplyResult{Generation: change.Generation, ApplyID: change.ApplyID}, nil
}

func (s *ConfigStore) touchHead(ctx context.Context, generation proto.Generation, version uint64) error {
	value, err := json.Marshal(headValue{Generation: generation})
	if err != nil {
		return &Error{Op: "apply", Kind: proto.KindInvalid, Err: err}
	}
	return s.platform.Transact(ctx, proto.Transaction{
		Conditions: []proto.Condition{{Key: rowHead, Version: version}},
		Writes:     []proto.Write{{Key: rowHead, Value: value}},
	})
}
