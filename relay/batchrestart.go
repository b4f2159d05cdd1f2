package relay

// endRun gives up what a target that has started again had made or was making: its results went with the run.
func (b *Batcher) endRun(t *batchTarget) []JobEnd {
	lost := map[string]bool{}
	for _, k := range t.leaves {
		lost[k.handle] = true
	}
	b.dropTarget(t.spec.ID, t)
	var ends []JobEnd
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

func (b *Batcher) loseResults(j *Job, lost map[string]bool) []JobEnd {
	found := false
	for piece, handle := range j.handles {
		if handle != "" && lost[handle] {
			j.unset(piece)
			found = true
		}
	}
	if found && j.inputsFreed {
		return []JobEnd{b.withoutInputs(j)}
	}
	return nil
}

// loseCall queues the pieces of a call again whose target's run is over.
func (b *Batcher) loseCall(c *Call) []JobEnd {
	var ends []JobEnd
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
