package relay

import (
	"context"
	"log/slog"

	"github.com/bergamotgrade/bergamotgrade"
)

// observingExchanger reports to the scheduler what answers say of their servers.
type observingExchanger struct {
	bergamotgrade.Exchanger
	scheduler *Scheduler
	log       *slog.Logger
}

// NewObservingExchanger returns an exchanger that exchanges through the given one and reports to
// the scheduler what answers say of their servers: the limits that they name, and that they leave.
// It sends nothing to a server that has become ineligible since the request got its slot, also while
// the connection was opened.
func NewObservingExchanger(exchanger bergamotgrade.Exchanger, scheduler *Scheduler, log *slog.Logger) bergamotgrade.Exchanger {
	return &observingExchanger{Exchanger: exchanger, scheduler: scheduler, log: log}
}

// Exchange implements bergamotgrade.Exchanger.
func (e *observingExchanger) Exchange(ctx context.Context, server bergamotgrade.ServerRecord, attempt bergamotgrade.Attempt) (*bergamotgrade.Answer, error) {
	process := bergamotgrade.ProcessOf(server)
	attempt.MaySend = func() error { return e.scheduler.maySendTo(server) }
	if err := attempt.MaySend(); err != nil {
		return nil, bergamotgrade.NotSent(err)
	}
	answer, err := e.Exchanger.Exchange(ctx, server, attempt)
	if err != nil {
		return nil, err
	}
	if former, changed := e.scheduler.ObserveAnswer(server.ServerID, answer.RateLimit); changed {
		e.log.Info("server names another limit on requests", "request_id", attempt.RequestID, "server", server.ServerID, "named", answer.RateLimit.Named,
			"per_second", answer.RateLimit.PerSecond, "former_per_second", former.PerSecond)
	}
	if answer.ColdNamed {
		e.scheduler.ObserveCold(server, answer.ColdRemaining)
	}
	if answer.ServerLeaving && len(e.scheduler.MarkLeaving([]bergamotgrade.ServerProcess{process}, true)) > 0 {
		e.log.Info("server says that it leaves; sending it nothing new", "request_id", attempt.RequestID, "server", server.ServerID, "started_at", server.StartedAt, "status", answer.Status)
	}
	return answer, nil
}
