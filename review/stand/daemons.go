package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// daemon is one process of the system, on a machine of its own as far as its settings tell.
type daemon struct {
	name, zone, ip            string
	front, readiness, control string
	settings                  string
	process                   *exec.Cmd
	ended                     chan struct{}
	log                       *os.File
}

func (one *daemon) at(port int) string { return fmt.Sprintf("%s:%d", one.ip, port) }

// deployment is the system with its stand-ins.
type deployment struct {
	root, folder string
	store        *store
	daemons      []*daemon
	run          []string
}

// zones are those of the small deployment, with the number of machines in each.
var zones = []struct {
	name  string
	count int
}{{"marousi-hall", 2}, {"piraeus-hall", 2}, {"glyfada-hall", 1}, {"peristeri-hall", 1}}

// Ports of each daemon, which has a loopback address of its own.
const (
	portFront     = 8625
	portReadiness = 8621
	portControl   = 8628
	portInternal  = 7740
)

// freeNet returns the first three numbers of loopback addresses on which nobody listens at the ports of the daemons.
func freeNet(daemons int) (string, error) {
	for range 20 {
		prefix := fmt.Sprintf("127.%d.%d", 64+rand.IntN(64), 1+rand.IntN(250))
		if isFree(prefix, daemons) {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func isFree(prefix string, daemons int) bool {
	for n := range daemons {
		for _, port := range []int{portFront, portReadiness, portControl, portInternal} {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", prefix, firstHost+n, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// firstHost is the last number of the first daemon's address.
const firstHost = 10

// newDeployment prepares the settings of all daemons in a temporary folder.
func newDeployment(root string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, folder: folder}
	if d.run, err = runCommand(filepath.Join(root, "deploy", "system.toml")); err != nil {
		return nil, err
	}
	if d.store, err = newStore(); err != nil {
		return nil, err
	}
	for _, zone := range zones {
		for n := range zone.count {
			d.daemons = append(d.daemons, &daemon{name: fmt.Sprintf("front-%s-%d", zone.name, n+1), zone: zone.name})
		}
	}
	prefix, err := freeNet(len(d.daemons))
	if err != nil {
		return nil, err
	}
	for n, one := range d.daemons {
		one.ip = fmt.Sprintf("%s.%d", prefix, firstHost+n)
		one.front, one.readiness, one.control = one.at(portFront), one.at(portReadiness), one.at(portControl)
	}
	return d, nil
}

// runCommand returns the command of the only role in the deploy file.
func runCommand(path string) ([]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(data)
	if found == nil {
		return nil, fmt.Errorf("%s: no command", path)
	}
	return strings.Fields(string(found[1])), nil
}

// settingsOf returns the settings file of a daemon; first tells whether the whole system starts for the first time.
func (d *deployment) settingsOf(one *daemon, first bool) string {
	var b strings.Builder
	line := func(name string, value any) { fmt.Fprintf(&b, "%s=%v\n", name, value) }
	line("nodeName", one.name)
	line("role", "relay")
	line("machineClass", "front")
	line("serves", "front,control")
	line("ip", one.ip)
	line("zone", one.zone)
	line("region", "attica")
	for _, zone := range zones {
		line("zones."+zone.name, "attica")
	}
	line("listen.front", one.front)
	line("listen.readiness", one.readiness)
	line("listen.control", one.control)
	line("internalPorts", fmt.Sprintf("%d,%d", portInternal, portInternal+15))
	var seeds []string
	for _, other := range d.daemons[:min(3, len(d.daemons))] {
		seeds = append(seeds, other.control)
	}
	line("seeds", strings.Join(seeds, ","))
	line("bootstrap", first)
	b.WriteString(commonSettings)
	line("platform.address", d.store.address)
	return b.String()
}

// commonSettings are those of the small deployment's pages.
const commonSettings = `lossCounts=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
beatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages
tolerate.machines=2
tolerate.zones=0
tolerate.regions=0
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.stretchMaxMs=5000
bounds.revokeStrict=false
bounds.revokeMs=5000
bounds.budgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=52
bounds.recoverS=12
bounds.passMs=120
bounds.retryAfterS=9.6
platform.form=table
platform.writesPerS=400
platform.readsPerS=2000
platform.txMs=5.0
platform.partWritesS=200
platform.rowBytes=65536
platform.across=false
platform.historyS=20
platform.blobBytes=8388608
platform.blobMs=25.0
platform.blobMbS=80.0
`

// start starts a daemon.
func (d *deployment) start(one *daemon, first bool) error {
	one.settings = filepath.Join(d.folder, one.name+".conf")
	if err := os.WriteFile(one.settings, []byte(d.settingsOf(one, first)), 0o600); err != nil {
		return err
	}
	var err error
	if one.log, err = os.OpenFile(filepath.Join(d.folder, one.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	one.process = exec.Command(filepath.Join(d.root, d.run[0]), d.run[1:]...)
	one.process.Dir = d.root
	one.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "EMBERLEAD_NODE_FILE=" + one.settings}
	one.process.Stdout, one.process.Stderr = one.log, one.log
	one.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := one.process.Start(); err != nil {
		return err
	}
	ended, process := make(chan struct{}), one.process
	one.ended = ended
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

// startAll starts all daemons for the first time and waits until they are ready.
func (d *deployment) startAll() error {
	for _, one := range d.daemons {
		if err := d.start(one, true); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, one := range d.daemons {
			if one.ready() {
				ready++
			}
		}
		if ready == len(d.daemons) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d of %d daemons are ready", ready, len(d.daemons))
		}
	}
}

var readinessClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ready asks a daemon whether it takes callers, as the balancer does.
func (one *daemon) ready() bool {
	response, err := readinessClient.Get("http://" + one.readiness + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// running reports whether the process of a daemon has not ended.
func (one *daemon) running() bool {
	select {
	case <-one.ended:
		return false
	default:
		return true
	}
}

// stopAll ends all processes that were started.
func (d *deployment) stopAll() {
	for _, one := range d.daemons {
		if one.process != nil && one.process.Process != nil {
			_ = one.process.Process.Kill()
		}
	}
	for _, one := range d.daemons {
		if one.ended != nil {
			<-one.ended
		}
		if one.log != nil {
			_ = one.log.Close()
		}
	}
	d.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
		return
	}
	fmt.Println("logs are kept in", d.folder)
}
