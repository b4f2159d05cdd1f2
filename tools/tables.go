package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// frameBytes is the overhead of a small message on top of its encoded size: WebSocket, TCP and IP headers.
const frameBytes = 6 + 40

const (
	heartbeatsPerSecond = 0.5 // currently one per second
	ticksPerSecond      = 100.0
	loadInterval        = 8.0 // seconds at the target size; currently half a second
	usageInterval       = 4.0 // seconds at the target size; currently half a second
)

func tables(all series) string {
	fits := map[string]linearFit{}
	last := map[string]float64{}
	first := map[string]float64{}
	for key, points := range all {
		fits[key] = fitLine(points)
		last[key] = points[len(points)-1].y
		first[key] = points[0].y
	}
	var b strings.Builder
	writeSlopes(&b, fits)
	writeControl(&b, fits, last, first)
	writeData(&b, fits)
	writePlatform(&b)
	return b.String()
}

func writeSlopes(b *strings.Builder, fits map[string]linearFit) {
	b.WriteString("### Measured slopes\n\nFitted over the sizes of each benchmark; the residual is the largest relative distance of a point.\n\n")
	b.WriteString("| benchmark and unit | sizes | at 0 | for each | residual |\n| --- | ---: | ---: | ---: | ---: |\n")
	for _, key := range slices.Sorted(maps.Keys(fits)) {
		s := fits[key]
		fmt.Fprintf(b, "| %s | %d | %.4g | %.4g | %.0f%% |\n", key, s.points, s.intercept, s.slope, 100*s.residual)
	}
	b.WriteString("\n")
}

type roleCost struct {
	role, state, messages, from, mechanism string
	cpu, memory, bytes                     float64 // nanoseconds per second; bytes; bytes per second in both directions
}

// controlCosts computes the resources that one daemon uses for everything except relaying requests.
func controlCosts(f map[string]linearFit, last, first map[string]float64) []roleCost {
	links := last["Members links"]
	heartbeatBytes := f["Members beatBytes"].intercept + frameBytes
	changesPerSecond := targetLoad.changes / 86400
	changeBytes := f["Change changeBytes"].valueAt(targetLoad.workspaces)
	claims := targetLoad.requests * targetLoad.keyed
	replicaRate := claims * targetLoad.replicas / targetLoad.rosterMembers
	claimBytes := f["Claim askBytes"].intercept + f["Claim answerBytes"].intercept + f["Claim settleBytes"].intercept + 3*frameBytes
	keysPerOwner := claims * targetLoad.retention * targetLoad.replicas / targetLoad.rosterMembers
	activeWorkspaces := min(30, targetLoad.requests/targetLoad.daemons)
	targets := targetLoad.subset * 10
	return []roleCost{
		{
			role: "membership", state: "2,000 daemons", messages: fmt.Sprintf("%.1f heartbeats/s each way", links*heartbeatsPerSecond),
			cpu:    f["Members ns/op"].valueAt(targetLoad.daemons) + f["Ring ns/op"].valueAt(targetLoad.daemons)*2*targetLoad.events/86400,
			memory: f["MembersHeap heapBytes"].valueAt(targetLoad.daemons), bytes: 2 * links * heartbeatsPerSecond * heartbeatBytes,
			from: "Members, MembersHeap, Ring", mechanism: "rings of fixed degree in each region and one over all",
		},
		{
			role: "configuration", state: "6,600 files of one workspace", messages: fmt.Sprintf("%.2f changes/s, pulled once", changesPerSecond),
			cpu:    f["Change ns/op"].valueAt(targetLoad.workspaces) * changesPerSecond,
			memory: f["FilesHeap heapBytes"].valueAt(targetLoad.workspaces), bytes: changesPerSecond * (2*changeBytes + 2*links*heartbeatBytes),
			from: "Change, FilesHeap", mechanism: "generation in heartbeats, pulled from the first link that has it",
		},
		{
			role: "owner of keys (256 of the daemons)", state: fmt.Sprintf("%.0f claims for 30 min", keysPerOwner), messages: fmt.Sprintf("%.0f claims/s", replicaRate),
			cpu:    replicaRate * f["Claim ns/op"].valueAt(keysPerOwner/12),
			memory: f["ClaimHeap heapBytes"].valueAt(keysPerOwner), bytes: replicaRate * claimBytes,
			from: "Claim, ClaimHeap", mechanism: "slots with groups of three; the roster's size is a setting",
		},
		{
			role: "claimer of keys", state: "its own requests", messages: fmt.Sprintf("%.0f claims/s to 3 replicas", claims/targetLoad.daemons),
			cpu:    3 * claims / targetLoad.daemons * f["Claim ns/op"].intercept,
			memory: 0, bytes: 3 * claims / targetLoad.daemons * claimBytes,
			from: "Claim", mechanism: "one round, majority of three",
		},
		{
			role: "router and load view", state: fmt.Sprintf("%.0f targets in subsets", targets), messages: fmt.Sprintf("%.0f rows each %.0f s, one a message, in and out", targets, loadInterval),
			cpu:    targets / loadInterval * (f["LoadRow ns/op"].slope + 400),
			memory: f["TargetHeap heapBytes"].valueAt(targets), bytes: 2 * targets / loadInterval * (first["LoadRow rowBytes"] + frameBytes),
			from: "TargetHeap, LoadRow", mechanism: "collectors by rendezvous, subsets, loads in answers",
		},
		{
			role: "fairness exchange", state: fmt.Sprintf("%.0f active workspaces", activeWorkspaces), messages: fmt.Sprintf("%.0f rows each %.0f s and totals back", activeWorkspaces, usageInterval),
			cpu:    2 * activeWorkspaces / usageInterval * f["UsageRow ns/op"].valueAt(activeWorkspaces),
			memory: f["UsageHeap heapBytes"].valueAt(activeWorkspaces) * targetLoad.pools / 4, bytes: 2 * activeWorkspaces / usageInterval * (f["UsageRow rowBytes"].valueAt(600) + frameBytes),
			from: "UsageRow, UsageHeap", mechanism: "collectors by workspace in each region",
		},
		{
			role: "deadlines and queues", state: "60 pools", messages: "none",
			cpu:    ticksPerSecond * f["Tick ns/op"].valueAt(targetLoad.pools),
			memory: 0, bytes: 0, from: "Tick", mechanism: "one look each 10 ms",
		},
	}
}

func writeControl(b *strings.Builder, f map[string]linearFit, last, first map[string]float64) {
	b.WriteString("### Control, for one daemon at the target's size\n\n")
	b.WriteString("Budget: 1.8% of a core, 64 MB, 2 KB/s. Bytes count both directions and the headers of each message.\n\n")
	b.WriteString("| role | state | messages | processor | memory | bytes/s | from | mechanism |\n| --- | --- | --- | ---: | ---: | ---: | --- | --- |\n")
	var cpu, memory, sum float64
	var keyCPU, keyMemory, keyBytes float64
	for _, c := range controlCosts(f, last, first) {
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", c.role, c.state, c.messages, formatCorePercent(c.cpu), formatBytes(c.memory), formatBytes(c.bytes), c.from, c.mechanism)
		if strings.HasPrefix(c.role, "owner") {
			keyCPU, keyMemory, keyBytes = c.cpu, c.memory, c.bytes
			continue
		}
		cpu += c.cpu
		memory += c.memory
		sum += c.bytes
	}
	fmt.Fprintf(b, "| **a daemon that owns no keys** | | | **%s** | **%s** | **%s** | | |\n", formatCorePercent(cpu), formatBytes(memory), formatBytes(sum))
	fmt.Fprintf(b, "| **one of the 256 that do** | | | **%s** | **%s** | **%s** | | |\n\n", formatCorePercent(cpu+keyCPU), formatBytes(memory+keyMemory), formatBytes(sum+keyBytes))
}

func writeData(b *strings.Builder, f map[string]linearFit) {
	perToken := f["Relay cpu-ns/op"].slope
	perRequest := f["Relay cpu-ns/op"].intercept + targetLoad.stages*f["Request ns/op"].valueAt(targetLoad.subset)/2
	tokens := targetLoad.tokens / targetLoad.daemons
	requests := targetLoad.requests / targetLoad.daemons
	share := tokens*perToken + requests*(perRequest+(targetLoad.stages-1)*f["Relay cpu-ns/op"].intercept)
	b.WriteString("### Data path, for one of 2,000 daemons\n\n")
	b.WriteString("Measured with caller, daemon and target in one process, so a daemon's own part is below these.\n\n")
	b.WriteString("| what | figure |\n| --- | ---: |\n")
	fmt.Fprintf(b, "| tokens a second | %.0f |\n| requests a second | %.0f |\n", tokens, requests)
	fmt.Fprintf(b, "| processor nanoseconds a token, one token a chunk | %.0f |\n| processor nanoseconds a request of one stage without its tokens | %.0f |\n", perToken, f["Relay cpu-ns/op"].intercept)
	fmt.Fprintf(b, "| bytes a token towards the caller | %.0f |\n", f["Relay callerBytes"].slope)
	fmt.Fprintf(b, "| processor of one daemon | %s |\n", formatCorePercent(share))
	fmt.Fprintf(b, "| the same with four tokens a chunk | %s |\n", formatCorePercent(share-tokens*perToken*3/4))
	fmt.Fprintf(b, "| bytes a second towards callers | %s |\n", formatBytes(tokens*f["Relay callerBytes"].slope))
	fmt.Fprintf(b, "| cores for all daemons, one token a chunk | %.0f |\n\n", share*targetLoad.daemons/1e9)
}

func writePlatform(b *strings.Builder) {
	zones, pollers := 16.0, 2.0
	b.WriteString("### What lies in the platform\n\n")
	b.WriteString("Budget: several hundred writes and about 2,000 reads a second each of table service and object store.\n\n")
	b.WriteString("| what | rows or objects | writes/s | reads/s | mechanism |\n| --- | --- | ---: | ---: | --- |\n")
	fmt.Fprintf(b, "| configuration | 6,600 file rows, 1,000 log rows, 1 head row; an object for each version | %.2f (and as many objects) | %.0f of the head, %.1f of log and objects | two pollers in each zone, all else from peers |\n", targetLoad.changes/86400, zones*pollers, 2*targetLoad.changes/86400*zones*pollers)
	fmt.Fprintf(b, "| roster of keys | 1 row | %.4f | 1 by the keeper | one keeper by rendezvous, conditional writes |\n", 2*targetLoad.events*targetLoad.rosterMembers/targetLoad.daemons/86400)
	b.WriteString("| leases | 4 rows | 0.8 | 0.8 | one for a share of the pools, renewed each 5 s, only the first by rendezvous tries |\n")
	fmt.Fprintf(b, "| VM list | none of ours | 0 | %.0f | the same pollers, each 2 s, passed on over the links |\n\n", zones*pollers/2)
}
