// Command tools computes the tables of docs/CAPACITY.md from the output of the benchmarks.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"log"
	"math"
	"os"
	"regexp"
	"strconv"
	"strings"
)

// point is a size and the value measured at that size.
type point struct{ x, y float64 }

// series maps a benchmark and unit to the measured points.
type series map[string][]point

// linearFit is a weighted least-squares line, with the largest relative distance of a point from it.
type linearFit struct {
	intercept, slope, residual float64
	points                     int
}

var benchLine = regexp.MustCompile(`^Benchmark(\w+)/\w+=(\d+)-\d+\s+\d+\s+(.*)$`)

func parseBenchmarks(path string) (series, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	all := series{}
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		m := benchLine.FindStringSubmatch(scanner.Text())
		if m == nil {
			continue
		}
		x, _ := strconv.ParseFloat(m[2], 64)
		fields := strings.Fields(m[3])
		for i := 0; i+1 < len(fields); i += 2 {
			y, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", scanner.Text(), err)
			}
			key := m[1] + " " + fields[i+1]
			all[key] = append(all[key], point{x, y})
		}
	}
	return all, scanner.Err()
}

// fitLine weights each point by 1/y², so that it minimizes relative errors and small sizes count as much as large ones.
func fitLine(points []point) linearFit {
	var sw, sx, sy, sxx, sxy float64
	for _, p := range points {
		w := 1 / math.Max(1e-9, p.y*p.y)
		sw += w
		sx += w * p.x
		sy += w * p.y
		sxx += w * p.x * p.x
		sxy += w * p.x * p.y
	}
	s := linearFit{points: len(points)}
	if d := sw*sxx - sx*sx; d > 0 && len(points) > 1 {
		s.slope = (sw*sxy - sx*sy) / d
	}
	s.intercept = (sy - s.slope*sx) / sw
	for _, p := range points {
		s.residual = math.Max(s.residual, math.Abs(s.intercept+s.slope*p.x-p.y)/math.Max(1e-9, p.y))
	}
	return s
}

func (s linearFit) valueAt(x float64) float64 { return s.intercept + s.slope*x }

// targetLoad is the load that the system is expected to carry in about two years.
var targetLoad = struct {
	daemons, requests, tokens, workspaces, changes, runners, pools, stages, keyed, subset, events float64
	replicas, rosterMembers, retention                                                            float64
}{
	daemons: 2000, requests: 110_000, tokens: 45e6, workspaces: 6600, changes: 30_000, runners: 10_000, pools: 60, stages: 4.5,
	keyed: 0.1, subset: 48, events: 840, replicas: 3, rosterMembers: 256, retention: 1800,
}

func formatCorePercent(nsPerSecond float64) string { return fmt.Sprintf("%.3f%%", nsPerSecond/1e7) }

func formatBytes(v float64) string {
	switch {
	case v >= 1<<20:
		return fmt.Sprintf("%.1f MB", v/(1<<20))
	case v >= 1<<10:
		return fmt.Sprintf("%.1f KB", v/(1<<10))
	}
	return fmt.Sprintf("%.0f B", v)
}

func main() {
	log.SetFlags(0)
	bench := flag.String("bench", "", "file with the output of go test -bench")
	page := flag.String("page", "", "page to rewrite between its markers")
	check := flag.Bool("check", false, "only check that the page is well formed")
	flag.Parse()
	if *check {
		if err := checkPage(*page); err != nil {
			log.Fatal(err)
		}
		return
	}
	all, err := parseBenchmarks(*bench)
	if err != nil {
		log.Fatal(err)
	}
	if err := rewriteGenerated(*page, tables(all)); err != nil {
		log.Fatal(err)
	}
}

const (
	beginMark = "<!-- generated: begin -->"
	endMark   = "<!-- generated: end -->"
)

func rewriteGenerated(path, generated string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	text := string(data)
	i, j := strings.Index(text, beginMark), strings.Index(text, endMark)
	if i < 0 || j < i {
		return fmt.Errorf("%s has no markers", path)
	}
	text = text[:i+len(beginMark)] + "\n\n" + generated + "\n" + text[j:]
	return os.WriteFile(path, []byte(text), 0o644)
}

func checkPage(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if !strings.Contains(string(data), beginMark) || !strings.Contains(string(data), endMark) {
		return fmt.Errorf("%s has no markers", path)
	}
	columns := 0
	for n, text := range strings.Split(string(data), "\n") {
		if !strings.HasPrefix(text, "|") {
			columns = 0
			continue
		}
		count := strings.Count(text, "|")
		if columns != 0 && count != columns {
			return fmt.Errorf("%s:%d: %d columns, not %d", path, n+1, count-1, columns-1)
		}
		columns = count
	}
	return nil
}
