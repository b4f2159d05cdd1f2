package coord

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// Rows of the table service, and limits on reading and writing them.
const (
	rowHead          = "config/head"
	rowFile          = "config/file/"
	rowStop          = "config/stop/"
	rowLog           = "config/log/"
	maxLogRows       = 1000
	listPage         = 500
	maxApplyAttempts = 8
)

func logRow(g proto.Generation) string { return fmt.Sprintf("%s%016d", rowLog, g) }

// headValue is the value of the head row, which every change updates.
type headValue struct {
	Generation proto.Generation `json:"generation"`
}

// ConfigStore reads and writes the accepted configuration in the platform's table and object store.
type ConfigStore struct {
	platform Platform
	clock    clockwork.Clock
}

// NewConfigStore returns a store of the accepted configuration on the platform.
func NewConfigStore(platform Platform, clock clockwork.Clock) *ConfigStore {
	return &ConfigStore{platform: platform, clock: clock}
}

// Head returns the accepted generation and the version of the head row; it fails with KindUnavailable.
func (s *ConfigStore) Head(ctx context.Context) (proto.Generation, uint64, error) {
	row, err := s.platform.Read(ctx, rowHead)
	if err != nil || row.Version == 0 {
		return 0, 0, err
	}
	var head headValue
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return 0, 0, &Error{Op: "read head", Kind: proto.KindInvalid, Err: err}
	}
	return head.Generation, row.Version, nil
}

// CatchUp brings a copy up to the accepted generation; it fails with KindUnavailable.
func (s *ConfigStore) CatchUp(ctx context.Context, c *ConfigState) error {
	head, _, err := s.Head(ctx)
	if err != nil {
		return err
	}
	own := c.Generation()
	if head > own && (own == 0 || head-own >= maxLogRows || !s.followLog(ctx, c)) {
		if err := s.readFull(ctx, c); err != nil {
			return err
		}
	}
	c.MarkSynced(head)
	return nil
}

// followLog applies the log from the copy's generation on; it returns false if the log cannot be read or has a gap.
func (s *ConfigStore) followLog(ctx context.Context, c *ConfigState) bool {
	for {
		list, err := s.platform.List(ctx, rowLog, logRow(c.Generation()), listPage)
		if err != nil {
			return false
		}
		changes, err := s.decodeChanges(ctx, list.Rows)
		if err != nil || !c.ApplyChanges(changes) {
			return false
		}
		if !list.More {
			return true
		}
	}
}

func (s *ConfigStore) decodeChanges(ctx context.Context, rows []proto.Row) ([]proto.Change, error) {
	changes := make([]proto.Change, 0, len(rows))
	for _, row := range rows {
		var change proto.Change
		if err := json.Unmarshal(row.Value, &change); err != nil {
			return nil, &Error{Op: "read change", Kind: proto.KindInvalid, Err: err}
		}
		if change.Kind == proto.ChangeFile {
			body, err := s.platform.Get(ctx, change.Hash)
			if err != nil {
				return nil, err
			}
			change.Body = body
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// readFull reads the complete state between two reads of the head row that return the same version, so that it belongs
// to one generation.
func (s *ConfigStore) readFull(ctx context.Context, c *ConfigState) error {
	for range maxApplyAttempts {
		before, version, err := s.Head(ctx)
		if err != nil {
			return err
		}
		changes, err := s.readAll(ctx)
		if err != nil {
			return err
		}
		_, after, err := s.Head(ctx)
		if err != nil {
			return err
		}
		if version == after {
			if !c.ApplyFull(before, changes) {
				return newError("read configuration", proto.KindInvalid, "generation %d in the store cannot be read", before)
			}
			return nil
		}
	}
	return newError("read configuration", proto.KindUnavailable, "it changed at each of %d reads", maxApplyAttempts)
}

func (s *ConfigStore) readAll(ctx context.Context) ([]proto.Change, error) {
	var all []proto.Change
	for _, prefix := range []string{rowFile, rowStop} {
		after := ""
		for {
			list, err := s.platform.List(ctx, prefix, after, listPage)
			if err != nil {
				return nil, err
			}
			changes, err := s.decodeChanges(ctx, list.Rows)
			if err != nil {
				return nil, err
			}
			all = append(all, changes...)
			if !list.More {
				break
			}
			after = list.Rows[len(list.Rows)-1].Key
		}
	}
	return all, nil
}

// Conflict describes a change that was accepted before the rejected one.
type Conflict struct {
	Name    string           `json:"name"`
	Base    proto.Generation `json:"base"`
	Current proto.Generation `json:"now"`
	By      string           `json:"by"`
	Diff    []string         `json:"diff"`
}

// ApplyResult is the result of a change.
type ApplyResult struct {
	Generation proto.Generation `json:"generation"`
	ApplyID    string           `json:"applyId"`
	Unchanged  bool             `json:"unchanged,omitempty"`
	Faults     []proto.Fault    `json:"faults,omitempty"`
	Conflict   *Conflict        `json:"conflict,omitempty"`
}

// ApplyRequest asks to put a file in force.
type ApplyRequest struct {
	Body []byte
	// Base is the generation at which the file of this name last changed, as far as the operator knows; nil stands for
	// the current one.
	Base    *proto.Generation
	ApplyID string
	By      string
}

// Apply puts a file in force completely or not at all. It fails with KindUnavailable if nothing was written, and with
// KindUnknown if the outcome could not be determined.
func (s *ConfigStore) Apply(ctx context.Context, c *ConfigState, req ApplyRequest) (ApplyResult, error) {
	file, faults := proto.ReadFile(req.Body)
	if len(faults) > 0 {
		return ApplyResult{Faults: faults}, nil
	}
	change := proto.Change{
		Kind: proto.ChangeFile, Name: file.Name, Hash: HashOf(req.Body),
		ApplyID: orDefault(req.ApplyID, uuid.NewString()), By: req.By, At: s.clock.Now(), Body: req.Body,
	}
	if err := s.platform.Put(ctx, change.Hash, req.Body); err != nil {
		return ApplyResult{}, &Error{Op: "apply", Kind: proto.KindUnavailable, Err: err}
	}
	return s.change(ctx, c, change, rowFile+file.Name, func(row *proto.Change, snapshot *proto.Snapshot) *ApplyResult {
		if conflict := conflictOf(c, row, req.Base, &change); conflict != nil {
			return &ApplyResult{Conflict: conflict}
		}
		if row != nil && row.Hash == change.Hash {
			return &ApplyResult{Generation: row.Generation, ApplyID: row.ApplyID, Unchanged: true}
		}
		if faults := snapshot.CheckFile(file); len(faults) > 0 {
			return &ApplyResult{Faults: faults}
		}
		return nil
	})
}

func orDefault(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func conflictOf(c *ConfigState, row *proto.Change, base *proto.Generation, change *proto.Change) *Conflict {
	current := proto.Generation(0)
	by := ""
	if row != nil {
		current, by = row.Generation, row.By
	}
	if base == nil || *base == current || row != nil && row.Hash == change.Hash {
		return nil
	}
	old, _ := c.File(change.Name)
	return &Conflict{Name: change.Name, Base: *base, Current: current, By: by, Diff: diffLines(old.Body, change.Body)}
}

// PlanStop plans or cancels a stop. A stop that would leave a pool without a target is rejected with faults unless it is forced.
func (s *ConfigStore) PlanStop(ctx context.Context, c *ConfigState, plan proto.StopPlan, by string) (ApplyResult, error) {
	change := proto.Change{
		Kind: proto.ChangeStop, Name: string(plan.VM), ApplyID: orDefault(plan.ID, uuid.NewString()),
		By: by, At: s.clock.Now(), Stop: &plan,
	}
	return s.change(ctx, c, change, rowStop+string(plan.VM), func(row *proto.Change, snapshot *proto.Snapshot) *ApplyResult {
		if plan.At.IsZero() {
			if row == nil {
				return &ApplyResult{Faults: []proto.Fault{{Path: "vm", Reason: fmt.Sprintf("%q has no planned stop", plan.VM)}}}
			}
			return nil
		}
		if longest := snapshot.LongestDeadline(plan.VM); plan.At.Before(s.clock.Now().Add(longest)) && !plan.Force {
			return &ApplyResult{Faults: []proto.Fault{{Path: "at", Reason: fmt.Sprintf("is sooner than %s from now, the longest deadline of requests that may be in progress there", longest)}}}
		}
		if empty := snapshot.CheckStop(plan); len(empty) > 0 && !plan.Force {
			return &ApplyResult{Faults: []proto.Fault{{Path: "vm", Reason: "the stop would leave no target in pools " + strings.Join(empty, ", ")}}}
		}
		return nil
	})
}

// change writes one change. The check sees the newest state and can end the change before it is written.
func (s *ConfigStore) change(ctx context.Context, c *ConfigState, change proto.Change, key string, check func(*proto.Change, *proto.Snapshot) *ApplyResult) (ApplyResult, error) {
	for range maxApplyAttempts {
		if err := s.CatchUp(ctx, c); err != nil {
			return ApplyResult{}, &Error{Op: "apply", Kind: proto.KindUnavailable, Err: err}
		}
		head, headVersion, err := s.Head(ctx)
		if err != nil {
			return ApplyResult{}, &Error{Op: "apply", Kind: proto.KindUnavailable, Err: err}
		}
		snapshot := c.Snapshot()
		if snapshot.Generation != head {
			continue
		}
		row, rowVersion, err := s.readChange(ctx, key)
		if err != nil {
			return ApplyResult{}, &Error{Op: "apply", Kind: proto.KindUnavailable, Err: err}
		}
		if row != nil && row.ApplyID == change.ApplyID {
			return ApplyResult{Generation: row.Generation, ApplyID: row.ApplyID}, nil
		}
		if ended := check(row, snapshot); ended != nil {
			return *ended, nil
		}
		change.Generation = head + 1
		err = s.platform.Transact(ctx, transaction(change, key, headVersion, rowVersion))
		switch proto.KindOf(err) {
		case "":
			c.ApplyChanges([]proto.Change{change})
			return ApplyResult{Generation: change.Generation, ApplyID: change.ApplyID}, nil
		case proto.KindConflict:
			continue
		case proto.KindUnknown:
			return s.resolveUnknown(ctx, c, change, headVersion)
		}
		return ApplyResult{}, &Error{Op: "apply", Kind: proto.KindUnavailable, Err: err}
	}
	return ApplyResult{}, newError("apply", proto.KindUnavailable, "others changed the configuration at each of %d tries", maxApplyAttempts)
}

func (s *ConfigStore) readChange(ctx context.Context, key string) (*proto.Change, uint64, error) {
	row, err := s.platform.Read(ctx, key)
	if err != nil || row.Version == 0 {
		return nil, 0, err
	}
	var change proto.Change
	if err := json.Unmarshal(row.Value, &change); err != nil {
		return nil, 0, &Error{Op: "read change", Kind: proto.KindInvalid, Err: err}
	}
	return &change, row.Version, nil
}

func transaction(change proto.Change, key string, headVersion, rowVersion uint64) proto.Transaction {
	value, err := json.Marshal(change)
	if err != nil {
		value = nil
	}
	head, err := json.Marshal(headValue{Generation: change.Generation})
	if err != nil {
		head = nil
	}
	row := value
	if change.Stop != nil && change.Stop.At.IsZero() {
		row = nil
	}
	tx := proto.Transaction{
		Conditions: []proto.Condition{{Key: rowHead, Version: headVersion}, {Key: key, Version: rowVersion}},
		Writes:     []proto.Write{{Key: rowHead, Value: head}, {Key: key, Value: row}, {Key: logRow(change.Generation), Value: value}},
	}
	if change.Generation > maxLogRows {
		tx.Writes = append(tx.Writes, proto.Write{Key: logRow(change.Generation - maxLogRows)})
	}
	return tx
}

const maxDiffLines = 20

// diffLines lists the lines that occur in only one of two files.
func diffLines(old, updated []byte) []string {
	var diff []string
	diff = append(diff, onlyIn("- ", string(old), string(updated))...)
	diff = append(diff, onlyIn("+ ", string(updated), string(old))...)
	if len(diff) > maxDiffLines {
		diff = append(diff[:maxDiffLines], "...")
	}
	return diff
}

func onlyIn(mark, a, b string) []string {
	count := map[string]int{}
	for line := range strings.Lines(b) {
		count[strings.TrimSpace(line)]++
	}
	var only []string
	for line := range strings.Lines(a) {
		line = strings.TrimSpace(line)
		if count[line] > 0 {
			count[line]--
			continue
		}
		only = append(only, mark+line)
	}
	return only
}
