package relay

import (
	"context"
	"log/slog"

	"github.com/bergamotgrade/bergamotgrade"
)

// observingExchanger reports the limits that answers name to the scheduler.
type observingExchanger struct {
	bergamotgrade.Exchanger
	scheduler *Scheduler
	log       *slog.Logger
}

// NewObservingExchanger returns an exchanger that exchanges through the given one and reports
// the limits that answers name to the scheduler.
func NewObservingExchanger(exchanger bergamotgrade.Exchanger, scheduler *Scheduler, log *slog.Logger) bergamotgrade.Exchanger {
	return &observingExchanger{Exchanger: exchanger, scheduler: scheduler, log: log}
}

// Exchange implements bergamotgrade.Exchanger.
func (e *observingExchanger) Exchange(ctx context.Context, server bergamotgrade.ServerRecord, attempt bergamotgrade.Attempt) (*bergamotgrade.Answer, error) {
	answer, err := e.Exchanger.Exchange(ctx, server, attempt)
	if err != nil {
		return nil, err
	}
	if former, changed := e.scheduler.ObserveAnswer(server.ServerID, answer.RateLimit); changed {
		e.log.Info("server names another limit on requests", "request_id", attempt.RequestID, "server", server.ServerID, "named", answer.RateLimit.Named,
			"per_second", answer.RateLimit.PerSecond, "former_per_second", former.PerSecond)
	}
	return answer, nil
}
