package proto

import (
	"fmt"
	"sort"
	"time"
)

// Generation numbers the accepted configuration changes. It never decreases.
type Generation uint64

// Snapshot holds all accepted files and stop plans as of one generation. It is immutable.
type Snapshot struct {
	Generation Generation
	Files      map[string]*File
	Stops      map[VM]StopPlan
	Workspaces map[string]*Workspace
	Pools      map[string]*Pool
	Services   map[string]*Service
	Objectives map[string]Objective
	KeyOwners  map[string]string
}

// EmptySnapshot returns the snapshot of generation 0.
func EmptySnapshot() *Snapshot {
	return buildSnapshot(0, map[string]*File{}, map[VM]StopPlan{})
}

// buildSnapshot reuses pointers to the unchanged files, so the cost of a change depends on the number of names and not
// on the file sizes.
func buildSnapshot(generation Generation, files map[string]*File, stops map[VM]StopPlan) *Snapshot {
	s := &Snapshot{
		Generation: generation,
		Files:      files,
		Stops:      stops,
		Workspaces: map[string]*Workspace{},
		Pools:      map[string]*Pool{},
		Services:   map[string]*Service{},
		Objectives: map[string]Objective{},
		KeyOwners:  map[string]string{},
	}
	for _, file := range files {
		s.index(file)
	}
	return s
}

func (s *Snapshot) index(file *File) {
	for i := range file.Workspaces {
		w := &file.Workspaces[i]
		s.Workspaces[w.Name] = w
		for _, hash := range w.KeyHashes {
			s.KeyOwners[hash] = w.Name
		}
	}
	for i := range file.Pools {
		s.Pools[file.Pools[i].Name] = &file.Pools[i]
	}
	for i := range file.Services {
		s.Services[file.Services[i].Name] = &file.Services[i]
		s.Objectives[file.Services[i].Name] = file.Objective
	}
}

// WithFile returns a copy of the snapshot in which the file replaces the one with the same name.
func (s *Snapshot) WithFile(generation Generation, file *File) *Snapshot {
	files := make(map[string]*File, len(s.Files)+1)
	for name, old := range s.Files {
		files[name] = old
	}
	files[file.Name] = file
	return buildSnapshot(generation, files, s.Stops)
}

// WithStop returns a copy of the snapshot with a planned stop, or without it if the time of the plan is zero.
func (s *Snapshot) WithStop(generation Generation, plan StopPlan) *Snapshot {
	stops := make(map[VM]StopPlan, len(s.Stops)+1)
	for vm, old := range s.Stops {
		stops[vm] = old
	}
	if plan.At.IsZero() {
		delete(stops, plan.VM)
	} else {
		stops[plan.VM] = plan
	}
	next := *s
	next.Generation = generation
	next.Stops = stops
	return &next
}

// CheckFile returns the faults that a file has in combination with the other files of the snapshot.
func (s *Snapshot) CheckFile(file *File) []Fault {
	c := &checker{}
	others := make(map[string]*File, len(s.Files))
	for name, other := range s.Files {
		if name != file.Name {
			others[name] = other
		}
	}
	rest := buildSnapshot(s.Generation, others, s.Stops)
	c.checkDuplicates(rest, file)
	c.references(rest.WithFile(s.Generation, file))
	return c.faults
}

func (c *checker) checkDuplicates(rest *Snapshot, file *File) {
	for i, w := range file.Workspaces {
		if rest.Workspaces[w.Name] != nil {
			c.add(fmt.Sprintf("$.workspaces[%d].name", i), "%q is declared by another file", w.Name)
		}
	}
	for i, p := range file.Pools {
		if rest.Pools[p.Name] != nil {
			c.add(fmt.Sprintf("$.pools[%d].name", i), "%q is declared by another file", p.Name)
		}
	}
	for i, s := range file.Services {
		if rest.Services[s.Name] != nil {
			c.add(fmt.Sprintf("$.services[%d].name", i), "%q is declared by another file", s.Name)
		}
	}
}

// references checks the references of all files, because removing a pool breaks the other files that refer to it.
func (c *checker) references(all *Snapshot) {
	names := make([]string, 0, len(all.Files))
	for name := range all.Files {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for i, service := range all.Files[name].Services {
			c.service(all, fmt.Sprintf("%s $.services[%d]", name, i), service)
		}
	}
}

func (c *checker) service(all *Snapshot, path string, service Service) {
	for i, w := range service.Workspaces {
		if all.Workspaces[w] == nil {
			c.add(fmt.Sprintf("%s.workspaces[%d]", path, i), "no workspace is named %q", w)
		}
	}
	for i, stage := range service.Stages {
		stagePath := fmt.Sprintf("%s.stages[%d]", path, i)
		pool := all.Pools[stage.Pool]
		if pool == nil {
			c.add(stagePath+".pool", "no pool is named %q", stage.Pool)
			continue
		}
		if stage.Model != "" && !contains(pool.Models, stage.Model) {
			c.add(stagePath+".model", "pool %q has no model %q", stage.Pool, stage.Model)
		}
		if stage.Stream && pool.Kind != PoolEngine {
			c.add(stagePath+".stream", "pool %q is of kind %s, only engines stream", stage.Pool, pool.Kind)
		}
	}
}

func contains(list []string, wanted string) bool {
	for _, item := range list {
		if item == wanted {
			return true
		}
	}
	return false
}

// CheckStop returns the pools that would have no targets left once the VM and all other VMs with a stop plan have stopped.
func (s *Snapshot) CheckStop(plan StopPlan) []string {
	var empty []string
	for name, pool := range s.Pools {
		if s.emptiesPool(pool, plan.VM) {
			empty = append(empty, name)
		}
	}
	sort.Strings(empty)
	return empty
}

func (s *Snapshot) emptiesPool(pool *Pool, vm VM) bool {
	found := false
	for i := range pool.Targets {
		target := &pool.Targets[i]
		if target.VM == vm {
			found = true
			continue
		}
		if _, planned := s.Stops[target.VM]; !planned {
			return false
		}
	}
	return found
}

// Leaving reports whether the VM has a planned stop that is due within the lead time.
func (s *Snapshot) Leaving(vm VM, now time.Time, lead time.Duration) bool {
	at, ok := s.StopOf(vm)
	return ok && !now.Before(at.Add(-lead))
}

// StopOf returns the time of the VM's planned stop.
func (s *Snapshot) StopOf(vm VM) (time.Time, bool) {
	plan, ok := s.Stops[vm]
	return plan.At, ok
}

// LongestDeadline returns the longest deadline of the services that have a stage on a pool with a target on the VM.
func (s *Snapshot) LongestDeadline(vm VM) time.Duration {
	longest := time.Duration(0)
	for _, service := range s.Services {
		for _, stage := range service.Stages {
			if pool := s.Pools[stage.Pool]; pool != nil && pool.hasTargetOn(vm) {
				longest = max(longest, service.Deadline.Std())
			}
		}
	}
	return longest
}

func (p *Pool) hasTargetOn(vm VM) bool {
	for i := range p.Targets {
		if p.Targets[i].VM == vm {
			return true
		}
	}
	return false
}
