package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
)

// daemons are a simulated platform and placers, each a process of its own.
type daemons struct {
	dir     string
	placers []*exec.Cmd
	peers   []string
}

type object = map[string]any

// BenchmarkDaemonIdle measures idle placer processes for several numbers of
// placers and workers in the cell: processor time, resident memory, and bytes
// through their sockets. One iteration is a second.
func BenchmarkDaemonIdle(b *testing.B) {
	bin := buildDaemons(b)
	for _, c := range []struct{ placers, workers int }{{1, 8}, {3, 48}, {7, 48}, {7, 350}, {14, 48}} {
		b.Run(fmt.Sprintf("%d-placers/%d-workers", c.placers, c.workers), func(b *testing.B) {
			d := startDaemons(b, bin, c.placers, c.workers)
			time.Sleep(8 * time.Second) // claims and first renewals
			cpuBefore, ioBefore := d.usage(b)
			for b.Loop() {
				time.Sleep(time.Second)
			}
			seconds := b.Elapsed().Seconds() * float64(c.placers)
			cpuAfter, ioAfter := d.usage(b)
			b.ReportMetric((cpuAfter-cpuBefore)*1e3/seconds, "cpu-ms/s")
			b.ReportMetric((ioAfter-ioBefore)/seconds, "B/s")
			b.ReportMetric(d.resident(b)/float64(c.placers), "MB-resident")
		})
	}
}

func buildDaemons(b *testing.B) string {
	bin := b.TempDir()
	build := exec.Command("go", "build", "-o", bin,
		"pulleyquay/cmd/pulley-placer", "pulleyquay/cmd/pulley-entry", "pulleyquay/cmd/pulley-standin")
	if out, err := build.CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	return bin
}

// BenchmarkDaemonStarts measures batch jobs of 100 tasks that run for 2 s, from
// their submission at an entry to their recorded end, with three placer
// processes: the cost of each start for the placers in excess of their idle
// cost. One iteration submits 40 jobs of as many teams at once.
func BenchmarkDaemonStarts(b *testing.B) {
	const jobs, tasks = 40, 100
	bin := buildDaemons(b)
	d := startDaemons(b, bin, 3, 96)
	entry := d.startEntry(b, bin)
	time.Sleep(8 * time.Second) // claims and first renewals
	const idle = 5.0
	cpu0, io0 := d.usage(b)
	time.Sleep(idle * time.Second)
	cpu1, io1 := d.usage(b)
	for b.Loop() {
		var ids []string
		for i := range jobs {
			ids = append(ids, submitJob(b, entry, fmt.Sprint("team-", i), tasks))
		}
		for _, id := range ids {
			for !jobEnded(b, entry, id) {
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	cpu2, io2 := d.usage(b)
	starts, seconds := float64(b.N*jobs*tasks), b.Elapsed().Seconds()
	b.ReportMetric((cpu2-cpu1-(cpu1-cpu0)/idle*seconds)*1e6/starts, "cpu-us/start")
	b.ReportMetric((io2-io1-(io1-io0)/idle*seconds)/starts, "B/start")
	b.ReportMetric(starts/seconds, "starts/s")
	b.ReportMetric(d.resident(b)/3, "MB-resident")
}

func (d *daemons) startEntry(b *testing.B, bin string) string {
	addr, admin := freeAddr(b), freeAddr(b)
	d.start(b, filepath.Join(bin, "pulley-entry"), object{
		"name": "entry", "zone": "a", "listen": object{"http": addr, "admin": admin}, "placers": d.peers,
	})
	awaitOK(b, "http://"+admin+"/readyz")
	return "http://" + addr + "/v1/jobs"
}

func submitJob(b *testing.B, url, team string, tasks int) string {
	id := uuid.Must(uuid.NewV7()).String()
	data, err := json.Marshal(object{
		"id": id, "team": team, "branch": "/", "kind": "batch", "tasks": tasks,
		"task": object{"size": object{"milli_cpu": 1000, "memory_mib": 1024}, "run_ms": 2000, "command": "reconcile --shard"},
	})
	if err != nil {
		b.Fatal(err)
	}
	for {
		resp, err := http.Post(url, "application/json", bytes.NewReader(data))
		if err != nil {
			b.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode < 300 {
			return id
		}
		if resp.StatusCode != http.StatusServiceUnavailable {
			b.Fatalf("submit: %d %s", resp.StatusCode, body)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func jobEnded(b *testing.B, url, id string) bool {
	resp, err := http.Get(url + "/" + id)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	var status struct{ State string }
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		b.Fatal(err)
	}
	return status.State == "finished"
}

func startDaemons(b *testing.B, bin string, placers, workers int) *daemons {
	d := &daemons{dir: b.TempDir()}
	addr := freeAddr(b)
	d.start(b, filepath.Join(bin, "pulley-standin"), object{
		"listen": addr, "host_list_lag": "500ms",
		"groups": []object{{
			"name": "lake", "role": "worker", "count": workers, "zones": []string{"a", "b", "c"}, "per_rack": 8,
			"size": object{"milli_cpu": 64000, "memory_mib": 131072},
		}},
	})
	awaitOK(b, "http://"+addr+"/v1/hosts")
	var admins []string
	for i := range placers {
		admin := freeAddr(b)
		admins = append(admins, admin)
		peer := freeAddr(b)
		d.peers = append(d.peers, peer)
		d.placers = append(d.placers, d.start(b, filepath.Join(bin, "pulley-placer"), object{
			"name": fmt.Sprint("placer-", i), "zone": string(rune('a' + i%3)),
			"listen": object{"peer": peer, "admin": admin}, "store": object{"endpoints": []string{addr}},
			"host_list": object{"address": addr},
		}))
	}
	for _, admin := range admins {
		awaitOK(b, "http://"+admin+"/readyz")
	}
	return d
}

// start starts a program, which is killed at the end of the benchmark.
func (d *daemons) start(b *testing.B, program string, settings object) *exec.Cmd {
	data, err := json.Marshal(settings)
	if err != nil {
		b.Fatal(err)
	}
	file, err := os.CreateTemp(d.dir, "*.json")
	if err != nil {
		b.Fatal(err)
	}
	defer file.Close()
	if _, err := file.Write(data); err != nil {
		b.Fatal(err)
	}
	cmd := exec.Command(program, "--config", file.Name())
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait() // the error is the exit status after SIGKILL
	})
	return cmd
}

// usage returns the processor seconds of the placers, summed from the kernel's
// scheduler statistics of each thread, and the bytes that they have read and written.
func (d *daemons) usage(b *testing.B) (seconds, bytes float64) {
	for _, p := range d.placers {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.Process.Pid))
		if err != nil {
			b.Fatal(err)
		}
		for _, thread := range threads {
			if data, err := os.ReadFile(thread); err == nil { // the thread may have ended
				var ns float64
				_, _ = fmt.Sscan(string(data), &ns)
				seconds += ns / 1e9
			}
		}
		bytes += field(b, p, "io", "rchar:") + field(b, p, "io", "wchar:")
	}
	return seconds, bytes
}

// resident returns the resident memory of all placers in MB.
func (d *daemons) resident(b *testing.B) float64 {
	var mb float64
	for _, p := range d.placers {
		mb += field(b, p, "status", "VmRSS:") / 1024
	}
	return mb
}

// field returns the number after name in a file of the process's /proc directory.
func field(b *testing.B, p *exec.Cmd, file, name string) float64 {
	for line := range strings.Lines(string(procFile(b, p, file))) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			var v float64
			_, _ = fmt.Sscan(rest, &v)
			return v
		}
	}
	b.Fatalf("no %s in %s", name, file)
	return 0
}

func procFile(b *testing.B, p *exec.Cmd, file string) []byte {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.Process.Pid, file))
	if err != nil {
		b.Fatal(err)
	}
	return data
}

func freeAddr(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func awaitOK(b *testing.B, url string) {
	for range 400 {
		if resp, err := http.Get(url); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.Fatalf("%s: not ready", url)
}
