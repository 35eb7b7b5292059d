package capacity

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// daemons are a stand-in for the platform and some placers, as processes.
type daemons struct {
	dir     string
	placers []*exec.Cmd
}

type object = map[string]any

// BenchmarkDaemonIdle measures placers as processes with so many of them and so
// many workers in all, nothing running: processor time, resident memory, and
// bytes through their sockets. One iteration is a second.
func BenchmarkDaemonIdle(b *testing.B) {
	bin := b.TempDir()
	build := exec.Command("go", "build", "-o", bin, "pulleyquay/cmd/pulley-placer", "pulleyquay/cmd/pulley-standin")
	if out, err := build.CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	for _, c := range []struct{ placers, workers int }{{1, 8}, {3, 48}, {7, 48}, {7, 350}, {14, 48}} {
		b.Run(fmt.Sprintf("%d-placers/%d-workers", c.placers, c.workers), func(b *testing.B) {
			d := startDaemons(b, bin, c.placers, c.workers)
			time.Sleep(8 * time.Second) // claims and first renewals
			cpuBefore, ioBefore := d.use(b)
			for b.Loop() {
				time.Sleep(time.Second)
			}
			seconds := b.Elapsed().Seconds() * float64(c.placers)
			cpuAfter, ioAfter := d.use(b)
			b.ReportMetric((cpuAfter-cpuBefore)*1e3/seconds, "cpu-ms/s")
			b.ReportMetric((ioAfter-ioBefore)/seconds, "B/s")
			b.ReportMetric(d.resident(b)/float64(c.placers), "MB-resident")
		})
	}
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
		d.placers = append(d.placers, d.start(b, filepath.Join(bin, "pulley-placer"), object{
			"name": fmt.Sprint("placer-", i), "zone": string(rune('a' + i%3)),
			"listen": object{"peer": freeAddr(b), "admin": admin}, "store": object{"endpoints": []string{addr}},
			"host_list": object{"address": addr},
		}))
	}
	for _, admin := range admins {
		awaitOK(b, "http://"+admin+"/readyz")
	}
	return d
}

// start runs one program until the end of the benchmark.
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
		_ = cmd.Wait() // its status is the kill
	})
	return cmd
}

// use adds up processor seconds, as the system's scheduler counted them for
// each thread, and bytes read and written.
func (d *daemons) use(b *testing.B) (seconds, bytes float64) {
	for _, p := range d.placers {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.Process.Pid))
		if err != nil {
			b.Fatal(err)
		}
		for _, thread := range threads {
			if data, err := os.ReadFile(thread); err == nil { // it may have ended
				var ns float64
				_, _ = fmt.Sscan(string(data), &ns)
				seconds += ns / 1e9
			}
		}
		bytes += field(b, p, "io", "rchar:") + field(b, p, "io", "wchar:")
	}
	return seconds, bytes
}

func (d *daemons) resident(b *testing.B) float64 {
	var mb float64
	for _, p := range d.placers {
		mb += field(b, p, "status", "VmRSS:") / 1024
	}
	return mb
}

// field reads one number from a file about a process.
func field(b *testing.B, p *exec.Cmd, file, name string) float64 {
	for line := range strings.Lines(string(proc(b, p, file))) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			var v float64
			_, _ = fmt.Sscan(rest, &v)
			return v
		}
	}
	b.Fatalf("no %s in %s", name, file)
	return 0
}

func proc(b *testing.B, p *exec.Cmd, file string) []byte {
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
