package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Commands and bounds of a small deployment, as its deploy file and its settings have them.
const (
	program     = "target/emberlead"
	role        = "relay"
	settingsEnv = "EMBERLEAD_NODE_FILE"
	grace       = 8 * time.Second
	readyPath   = "/-/readyz"
	// readyTimeout is how long daemons may take to become ready.
	readyTimeout = 15 * time.Second
	pollTimeout  = 500 * time.Millisecond
)

// daemon is one process of the system.
type daemon struct {
	name, zone                        string
	front, readiness, control, metric string
	path                              string
	cmd                               *exec.Cmd
	exited                            chan struct{}
}

// freeAddresses returns free addresses, all different.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		// Addresses stay taken until all are found, as a free one could be found twice.
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// startDaemons starts a daemon for each of some zones, and waits until all are ready.
func (s *stage) startDaemons(zones ...string) error {
	dir, err := os.MkdirTemp("", "stand-2-")
	if err != nil {
		return err
	}
	s.dir = dir
	const each = 4
	addresses, err := freeAddresses(each * len(zones))
	if err != nil {
		return err
	}
	var seeds []string
	for i, zone := range zones {
		own := addresses[each*i : each*(i+1)]
		d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, front: own[0], readiness: own[1], control: own[2], metric: own[3]}
		s.daemons = append(s.daemons, d)
		seeds = append(seeds, d.control)
	}
	for _, d := range s.daemons {
		d.path = filepath.Join(dir, d.name+".conf")
		if err := os.WriteFile(d.path, []byte(d.settings(s.store.address, zones, seeds)), 0o600); err != nil {
			return err
		}
		if err := d.start(s.record); err != nil {
			return err
		}
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range s.daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == len(s.daemons) {
			s.record.add("platform", "all %d daemons are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("%w: the daemons are not ready", errNotRun)
}

// settings returns the settings of a machine of a small deployment.
func (d *daemon) settings(store string, zones, seeds []string) string {
	_, metricPort, _ := net.SplitHostPort(d.metric)
	lines := []string{
		"nodeName=" + d.name, "role=" + role, "machineClass=front", "serves=front,control", "ip=127.0.0.1", "zone=" + d.zone, "region=attica",
		"listen.front=" + d.front, "listen.readiness=" + d.readiness, "listen.control=" + d.control, "internalPorts=" + metricPort + "," + metricPort,
		"seeds=" + strings.Join(seeds[:min(3, len(seeds))], ","), "bootstrap=true", "lossCounts=false",
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=vip", "beatMs=1200", "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages",
		"tolerate.machines=2", "tolerate.zones=0", "tolerate.regions=0",
		"bounds.seedLagS=3", "bounds.addrReuseS=2", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000",
		"bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250", "bounds.stretchMaxMs=5000",
		"bounds.revokeStrict=false", "bounds.revokeMs=5000", "bounds.budgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetSlack=52",
		"bounds.recoverS=12", "bounds.passMs=120", "bounds.retryAfterS=9.6",
		"platform.address=" + store, "platform.form=table", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.txMs=5.0",
		"platform.partWritesS=200", "platform.rowBytes=65536", "platform.across=false", "platform.historyS=20",
		"platform.blobBytes=8388608", "platform.blobMs=25.0", "platform.blobMbS=80.0",
	}
	for _, zone := range zones {
		lines = append(lines, "zones."+zone+"=attica")
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process with the command of the deploy file.
func (d *daemon) start(rec *record) error {
	log, err := os.OpenFile(strings.TrimSuffix(d.path, ".conf")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd, exited := exec.Command(program, role), make(chan struct{})
	cmd.Env = []string{settingsEnv + "=" + d.path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	d.cmd, d.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		rec.add(d.name, "the process has ended: %v", err)
		close(exited)
	}()
	return nil
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: pollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.readiness + readyPath)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stopDaemons ends the processes that still run.
func (s *stage) stopDaemons() {
	for _, d := range s.daemons {
		if d.cmd == nil || d.cmd.Process == nil {
			continue
		}
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
		<-d.exited
	}
	_ = os.RemoveAll(s.dir)
}
