package proto

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"time"
)

// Limits on a configuration file.
const (
	MaxFileSize   = 4 << 20
	MaxStages     = 8
	MinDeadline   = 10 * time.Millisecond
	MaxDeadline   = 10 * time.Minute
	maxWeight     = 1000
	sha256HexSize = 64
)

var (
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Fault is one reason why a file is rejected.
type Fault struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// String returns the path and the reason on one line.
func (f Fault) String() string { return f.Path + ": " + f.Reason }

// ReadFile decodes a configuration file and returns every fault that it finds. Unknown fields are faults.
func ReadFile(data []byte) (*File, []Fault) {
	if len(data) > MaxFileSize {
		return nil, []Fault{{Path: "$", Reason: fmt.Sprintf("is %d bytes, more than %d", len(data), MaxFileSize)}}
	}
	var file File
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return nil, []Fault{decodeFault(data, decoder, err)}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, []Fault{{Path: "$", Reason: "has text after the JSON object"}}
	}
	return &file, file.Check()
}

func decodeFault(data []byte, decoder *json.Decoder, err error) Fault {
	offset := min(decoder.InputOffset(), int64(len(data)))
	line := 1 + bytes.Count(data[:offset], []byte("\n"))
	path := "$"
	if typed, ok := err.(*json.UnmarshalTypeError); ok && typed.Field != "" {
		path = "$." + typed.Field
	}
	return Fault{Path: path, Reason: fmt.Sprintf("near line %d: %v", line, err)}
}

type checker struct{ faults []Fault }

func (c *checker) add(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) name(path, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		c.add(path+".name", "%q must be lower case letters, digits and dashes, starting with a letter", name)
	}
	if seen[name] {
		c.add(path+".name", "%q stands twice", name)
	}
	seen[name] = true
}

// Check returns every fault that the file has on its own, without regard to other files.
func (f *File) Check() []Fault {
	c := &checker{}
	if f.Kind != FileKindDeployment {
		c.add("$.kind", "%q is not %q", f.Kind, FileKindDeployment)
	}
	c.name("$", f.Name, map[string]bool{})
	c.objective(f.Objective)
	c.workspaces(f.Workspaces)
	c.pools(f.Pools)
	c.services(f.Services)
	return c.faults
}

func (c *checker) objective(o Objective) {
	if o.Attainment < 0 || o.Attainment > 1 {
		c.add("$.objective.attainment", "%v is not between 0 and 1", o.Attainment)
	}
	if o.Cost < 0 || o.Cost > 1 {
		c.add("$.objective.cost", "%v is not between 0 and 1", o.Cost)
	}
}

func (c *checker) workspaces(workspaces []Workspace) {
	seen := map[string]bool{}
	hashes := map[string]bool{}
	for i, w := range workspaces {
		path := fmt.Sprintf("$.workspaces[%d]", i)
		c.name(path, w.Name, seen)
		if w.Weight <= 0 || w.Weight > maxWeight {
			c.add(path+".weight", "%v is not above 0 and at most %d", w.Weight, maxWeight)
		}
		if len(w.KeyHashes) == 0 {
			c.add(path+".keyHashes", "is empty, so that nobody could call")
		}
		for j, hash := range w.KeyHashes {
			if !hashPattern.MatchString(hash) {
				c.add(fmt.Sprintf("%s.keyHashes[%d]", path, j), "must be %d hexadecimal digits of a SHA-256", sha256HexSize)
			}
			if hashes[hash] {
				c.add(fmt.Sprintf("%s.keyHashes[%d]", path, j), "stands twice")
			}
			hashes[hash] = true
		}
	}
}

func (c *checker) pools(pools []Pool) {
	seen := map[string]bool{}
	targets := map[string]bool{}
	addresses := map[string]bool{}
	for i, p := range pools {
		path := fmt.Sprintf("$.pools[%d]", i)
		c.name(path, p.Name, seen)
		switch p.Kind {
		case PoolEncoder, PoolRetriever, PoolReranker, PoolEngine, PoolService:
		default:
			c.add(path+".kind", "%q is no kind of pool", p.Kind)
		}
		if len(p.Targets) == 0 {
			c.add(path+".targets", "is empty")
		}
		for j, t := range p.Targets {
			c.target(fmt.Sprintf("%s.targets[%d]", path, j), t, targets, addresses)
		}
	}
}

func (c *checker) target(path string, t Target, names, addresses map[string]bool) {
	c.name(path, t.Name, names)
	switch {
	case !t.Address.IsValid() || t.Address.Port() == 0:
		c.add(path+".address", "is not an IP address with a port")
	case addresses[t.Address.String()]:
		c.add(path+".address", "%s stands twice", t.Address)
	}
	addresses[t.Address.String()] = true
	if t.Zone == "" {
		c.add(path+".zone", "is missing")
	}
	if t.VM == "" {
		c.add(path+".vm", "is missing")
	}
	if t.Slots < 0 {
		c.add(path+".slots", "%d is negative", t.Slots)
	}
}

func (c *checker) services(services []Service) {
	seen := map[string]bool{}
	for i, s := range services {
		path := fmt.Sprintf("$.services[%d]", i)
		c.name(path, s.Name, seen)
		if d := s.Deadline.Std(); d < MinDeadline || d > MaxDeadline {
			c.add(path+".deadline", "%s is not between %s and %s", d, MinDeadline, MaxDeadline)
		}
		if len(s.Stages) == 0 || len(s.Stages) > MaxStages {
			c.add(path+".stages", "has %d stages, not 1 to %d", len(s.Stages), MaxStages)
		}
		c.stages(path, s.Stages)
	}
}

func (c *checker) stages(path string, stages []Stage) {
	seen := map[string]bool{}
	for i, s := range stages {
		stagePath := fmt.Sprintf("%s.stages[%d]", path, i)
		c.name(stagePath, s.Name, seen)
		if s.Pool == "" {
			c.add(stagePath+".pool", "is missing")
		}
		if s.Stream && i != len(stages)-1 {
			c.add(stagePath+".stream", "only the last stage can stream")
		}
		if s.MaxTokens < 0 {
			c.add(stagePath+".maxTokens", "%d is negative", s.MaxTokens)
		}
	}
}
