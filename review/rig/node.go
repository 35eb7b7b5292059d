package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Commands and files of the deploy file, relative to the repository's root.
const (
	nodeProgram  = "target/pulley-node"
	nodeTemplate = "deploy/node.json.tmpl"
	adminPort    = "9464" // by the template
)

// node is one process of the system.
type node struct {
	name, callers, settings string
	log                     string
	command                 *exec.Cmd
}

// newNode writes the settings file of a process, with a loopback address of its own, as the
// template has a fixed port.
func (r *run) newNode(name string) (*node, error) {
	ip, err := freeAddress()
	if err != nil {
		return nil, err
	}
	store, err := r.platform.ServeStore(name)
	if err != nil {
		return nil, err
	}
	if store, err = r.gate.serve(store); err != nil {
		return nil, err
	}
	text, err := os.ReadFile(nodeTemplate)
	if err != nil {
		return nil, err
	}
	n := &node{name: name, callers: ip + ":8161", settings: filepath.Join(r.temp, name+".json"), log: filepath.Join(r.temp, name+".log")}
	settings := render(string(text), map[string]string{
		"node": name, "zone": "zone-1", "ip": ip, "listen.front": n.callers, "listen.ready": ip + ":8167", "internal-ports.0": "7720",
		"platform.address": store, "advice": "", "cloud.address": "", "heartbeat-ms": "1500",
		"limits.cpu-share": "0.4", "limits.link-mbps": "1000", "limits.memory-mb": "284", "limits.max-fds": "4200",
		"bounds.hold-max-ms": "6000", "bounds.stop-ms": "200", "bounds.gang-ms": "3000", "bounds.status_s": "120", "bounds.far-x": "2",
		"bounds.restore-ms": "600", "bounds.lease-ms": "3000", "bounds.contact-ms": "3000", "bounds.checkpoint-s": "1", "bounds.grace-s": "6",
	})
	return n, os.WriteFile(n.settings, []byte(settings), 0o600)
}

// render fills in a template of the deploy file: sections of fields that are present, and fields.
func render(text string, fields map[string]string) string {
	for name, value := range fields {
		text = strings.ReplaceAll(text, "{{#"+name+"}}", "")
		text = strings.ReplaceAll(text, "{{/"+name+"}}", "")
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	return text
}

// freeAddress returns a loopback address at which the ports of a node are free.
func freeAddress() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250), 1+rand.IntN(250))
		if portsFree(ip, "8161", "8167", "7720", adminPort) {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address with free ports")
}

func portsFree(ip string, ports ...string) bool {
	for _, port := range ports {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// start starts the process.
func (n *node) start() error {
	log, err := os.Create(n.log)
	if err != nil {
		return err
	}
	defer log.Close()
	n.command = exec.Command(nodeProgram)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PULLEYQUAY_NODE_FILE=" + n.settings}
	n.command.Stdout, n.command.Stderr = log, log
	return n.command.Start()
}

// kill ends the process.
func (n *node) kill() {
	if n.command != nil && n.command.Process != nil {
		_ = n.command.Process.Kill() // it may have ended
		_ = n.command.Wait()
	}
}
