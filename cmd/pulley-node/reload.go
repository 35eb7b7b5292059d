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

// reloadEvery is how often the settings file is looked at: it may change without a
// signal.
const reloadEvery = 2 * time.Second

// reloader follows the settings file. The log level is taken over at once; every
// other change is named in the log and needs a restart, as listeners, clients and
// bounds are made once.
type reloader struct {
	path    string
	log     *logrus.Entry
	current Settings
	changed time.Time // of the file, as last read
}

// run follows the file until ctx ends.
func (r *reloader) run(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	r.changed = r.modified()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.reload("signal")
		case <-ticker.C:
			if r.modified() != r.changed {
				r.reload("the file has changed")
			}
		}
	}
}

// modified is when the file was last written; zero when that can not be told.
func (r *reloader) modified() time.Time {
	info, err := os.Stat(r.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the file and takes over what can be.
func (r *reloader) reload(why string) {
	r.changed = r.modified()
	next := defaults()
	if err := config.Load(r.path, &next); err != nil {
		e := result.From(err)
		r.log.WithFields(logrus.Fields{"code": e.Code, "field": e.Field, "why": why}).Error("settings can not be read; those before stay in force: " + e.Error())
		return
	}
	if level, err := logrus.ParseLevel(next.LogLevel); err == nil {
		r.log.Logger.SetLevel(level)
	}
	r.current.LogLevel = next.LogLevel
	r.log.WithFields(logrus.Fields{"why": why, "needs_restart": differing(r.current, next)}).Info("settings reloaded")
}

// differing names the settings that differ.
func differing(a, b Settings) []string {
	var out []string
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			out = append(out, x.Type().Field(i).Tag.Get("json"))
		}
	}
	return out
}
