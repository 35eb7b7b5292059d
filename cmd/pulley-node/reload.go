package main

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/config"
	"pulleyquay/internal/result"
)

// reloadInterval is how often the settings file's modification time is checked: the file
// may change without a signal.
const reloadInterval = 2 * time.Second

// reloader watches the settings file. A new log level is applied at once; every other
// change is logged as needing a restart, as listeners, clients and bounds are created
// once.
type reloader struct {
	path    string
	log     *logrus.Entry
	current Settings
	modTime time.Time // of the file when it was last read
}

// run watches the file until ctx ends.
func (r *reloader) run(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	r.modTime = r.fileModTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.reload("signal")
		case <-ticker.C:
			if r.fileModTime() != r.modTime {
				r.reload("file changed")
			}
		}
	}
}

// fileModTime returns the file's modification time, zero if it can't be read.
func (r *reloader) fileModTime() time.Time {
	info, err := os.Stat(r.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the file and applies the settings that need no restart.
func (r *reloader) reload(why string) {
	r.modTime = r.fileModTime()
	next := defaults()
	if err := config.Load(r.path, &next); err != nil {
		e := result.From(err)
		r.log.WithFields(logrus.Fields{"code": e.Code, "field": e.Field, "why": why}).Error("settings file not loaded; the previous settings stay in force: " + e.Error())
		return
	}
	if level, err := logrus.ParseLevel(next.LogLevel); err == nil {
		r.log.Logger.SetLevel(level)
	}
	r.current.LogLevel = next.LogLevel
	r.log.WithFields(logrus.Fields{"why": why, "needs_restart": changedSettings(r.current, next)}).Info("settings reloaded")
}

// changedSettings returns the JSON names of the settings that differ.
func changedSettings(a, b Settings) []string {
	var out []string
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			out = append(out, x.Type().Field(i).Tag.Get("json"))
		}
	}
	return out
}
