package entry

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform"
)

// Main runs one VM by the settings file of the platform until SIGTERM.
func Main(ctx context.Context, metricsPort int) error {
	path := platform.SettingsPath()
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	writer := newLogWriter(os.Stdout)
	log := newLogger(writer, settings.VMID)
	logCtx, stopLog := context.WithCancel(context.Background())
	var logging sync.WaitGroup
	logging.Go(func() { writer.run(logCtx) })
	defer logging.Wait()
	defer stopLog()
	node, err := New(settings, metricsPort, log)
	if err != nil {
		return err
	}
	node.metrics.Gauge("log_lines_dropped", writer.dropped.Load)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := &reloader{path: path, current: settings, log: log, signals: make(chan os.Signal, 1)}
	signal.Notify(reload.signals, syscall.SIGHUP)
	logging.Go(func() { reload.run(logCtx) })
	return node.Run(ctx)
}

// reloader reads the settings file again when it changes. All settings that are
// in use name addresses of this process, so a change takes effect at its next
// start; a faulty file is reported at once.
type reloader struct {
	path    string
	current bergamotgrade.NodeSettings
	log     *slog.Logger
	signals chan os.Signal
	last    string
}

func (r *reloader) run(ctx context.Context) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signals:
			r.log.Info("reloading settings", "cause", "SIGHUP")
		case <-ticker.C:
		}
		r.reload()
	}
}

func (r *reloader) reload() {
	data, err := os.ReadFile(filepath.Clean(r.path))
	if err != nil || string(data) == r.last {
		return
	}
	first := r.last == ""
	r.last = string(data)
	settings, err := platform.DecodeSettings(data)
	if err != nil {
		r.log.Error("settings have faults; the former ones stay in use", "cause", err.Error())
		return
	}
	if !first {
		r.log.Info("settings read", "seeds", strings.Join(settings.Seeds, ","), "store", settings.StoreAddress, "takes_effect", "at the next start")
	}
}
