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

// Hangups returns the channel of SIGHUP signals. A program calls it before anything else:
// until then the signal ends the process.
func Hangups() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Main runs one VM with the platform's settings file until SIGTERM or SIGINT. hangups is
// the channel of Hangups.
func Main(ctx context.Context, hangups chan os.Signal, options Options) error {
	path := platform.SettingsPath()
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	settings.Held = options.Held
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryBytes)))
	}
	writer := newLogWriter(os.Stdout)
	log := newLogger(writer, settings.VMID)
	logCtx, stopLog := context.WithCancel(context.Background())
	var logging sync.WaitGroup
	logging.Go(func() { writer.run(logCtx) })
	defer logging.Wait()
	defer stopLog()
	node, err := New(settings, options, log)
	if err != nil {
		return err
	}
	node.metrics.Gauge("log_lines_dropped", writer.dropped.Load)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := &reloader{path: path, current: settings, log: log, signals: hangups}
	logging.Go(func() { reload.run(logCtx) })
	return node.Run(ctx)
}

// reloader reads the settings file periodically and on SIGHUP, and logs when it has
// changed or is invalid. The settings in use are addresses of this process, so a change
// takes effect at the next start of the process.
type reloader struct {
	path     string
	current  bergamotgrade.NodeSettings
	log      *slog.Logger
	signals  chan os.Signal
	lastData string
}

func (r *reloader) run(ctx context.Context) {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signals:
			r.log.Info("reading the settings file again", "cause", "SIGHUP")
		case <-ticker.C:
		}
		r.check()
	}
}

func (r *reloader) check() {
	data, err := os.ReadFile(filepath.Clean(r.path))
	if err != nil || string(data) == r.lastData {
		return
	}
	firstRead := r.lastData == ""
	r.lastData = string(data)
	settings, err := platform.DecodeSettings(data)
	if err != nil {
		r.log.Error("settings file is invalid; keeping the current settings", "cause", err.Error())
		return
	}
	if !firstRead {
		r.log.Info("settings file changed", "seeds", strings.Join(settings.Seeds, ","), "store", settings.StoreAddress, "takes_effect", "at the next start")
	}
}
