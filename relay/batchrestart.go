package relay

// discardRun discards the results and the call of a target that has restarted: they were lost with the process.
func (b *Batcher) discardRun(t *batchTarget) []FinishedJob {
	lost := map[string]bool{}
	for _, k := range t.keptResults {
		lost[k.handle] = true
	}
	b.dropTarget(t.spec.ID, t)
	var finished []FinishedJob
	for _, j := range b.jobs {
		if !j.done {
			finished = append(finished, b.discardResults(j, lost)...)
		}
	}
	if t.call != nil {
		t.call.stale = true
		finished = append(finished, b.discardCall(t.call)...)
	}
	return finished
}

func (b *Batcher) discardResults(j *Job, lost map[string]bool) []FinishedJob {
	found := false
	for piece, handle := range j.handles {
		if handle != "" && lost[handle] {
			j.clearResult(piece)
			found = true
		}
	}
	if found && j.inputsFreed {
		return []FinishedJob{b.failWithoutInputs(j)}
	}
	return nil
}

// discardCall queues again the pieces of a call to a target that has restarted.
func (b *Batcher) discardCall(c *Call) []FinishedJob {
	var finished []FinishedJob
	for _, item := range c.Items {
		switch j := item.Job; {
		case j.done:
		case j.inputsFreed:
			finished = append(finished, b.failWithoutInputs(j))
		default:
			j.requeue(item.Piece)
		}
	}
	return finished
}
