package relay

// endRun discards the results and the call of a target that has restarted: they were lost with the process.
func (b *Batcher) endRun(t *batchTarget) []FinishedJob {
	lost := map[string]bool{}
	for _, k := range t.leaves {
		lost[k.handle] = true
	}
	b.dropTarget(t.spec.ID, t)
	var ends []FinishedJob
	for _, j := range b.jobs {
		if !j.done {
			ends = append(ends, b.loseResults(j, lost)...)
		}
	}
	if t.call != nil {
		t.call.void = true
		ends = append(ends, b.loseCall(t.call)...)
	}
	return ends
}

func (b *Batcher) loseResults(j *Job, lost map[string]bool) []FinishedJob {
	found := false
	for piece, handle := range j.handles {
		if handle != "" && lost[handle] {
			j.unset(piece)
			found = true
		}
	}
	if found && j.inputsFreed {
		return []FinishedJob{b.withoutInputs(j)}
	}
	return nil
}

// loseCall queues the pieces of a call to a target that has restarted again.
func (b *Batcher) loseCall(c *Call) []FinishedJob {
	var ends []FinishedJob
	for _, item := range c.Items {
		switch j := item.Job; {
		case j.done:
		case j.inputsFreed:
			ends = append(ends, b.withoutInputs(j))
		default:
			j.again(item.Piece)
		}
	}
	return ends
}
