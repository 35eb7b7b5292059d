package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/config"
)

const settingsText = `{
  "name": "a", "zone": "z", "log_level": "info", "processors": 0.4,
  "listen": {"callers": "127.0.0.1:1", "ready": "127.0.0.1:2", "peer": "127.0.0.1:3", "admin": "127.0.0.1:4"},
  "store": {"address": "127.0.0.1:5"}, "policy": {"address": ""}, "machines": {"address": ""},
  "bounds": {"lease_limit": "6s", "stop_takes": "200ms", "gang_wait": "3s", "remember_ended": "120s",
    "far_factor": 2, "restore_takes": "100ms", "checkpoint_every": "1s", "stop_limit": "6s"}
}`

func TestReload(t *testing.T) {
	tests := map[string]struct {
		text string
		want string // part of the log
		lvl  logrus.Level
	}{
		"nothing changed":    {settingsText, `"needs_restart":null`, logrus.InfoLevel},
		"log level":          {strings.Replace(settingsText, `"info"`, `"warn"`, 1), "", logrus.WarnLevel},
		"restart needed":     {strings.Replace(settingsText, "0.4", "0.8", 1), `"needs_restart":["processors"]`, logrus.InfoLevel},
		"unknown name":       {strings.Replace(settingsText, `"zone"`, `"zoom"`, 1), "the previous settings stay in force", logrus.InfoLevel},
		"truncated file":     {settingsText[:100], "the previous settings stay in force", logrus.InfoLevel},
		"duplicate listener": {strings.Replace(settingsText, "127.0.0.1:2", "127.0.0.1:1", 1), "two listeners", logrus.InfoLevel},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "node.json")
			is.NoErr(os.WriteFile(path, []byte(settingsText), 0o600))
			s := defaults()
			is.NoErr(config.Load(path, &s))
			var out bytes.Buffer
			log := logrus.New()
			log.SetOutput(&out)
			log.SetFormatter(&logrus.JSONFormatter{})
			r := reloader{path: path, log: log.WithField("name", "a"), current: s}
			is.NoErr(os.WriteFile(path, []byte(tc.text), 0o600))
			r.reload("test")
			is.True(strings.Contains(out.String(), tc.want))
			is.Equal(log.GetLevel(), tc.lvl)
		})
	}
}
