package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// shutdown completes the requests in flight within the stop grace period and ends the
// registration. Requests that are not sure to be complete by then are refused before they run.
func (n *Node) shutdown(servers map[string]*http.Server) {
	now := time.Now()
	endAt := now.Add(n.settings.StopGrace - shutdownReserve)
	stop := bergamotgrade.PlannedStop{NoticeEnd: now.Add(drainDelay), AnswersBy: endAt.Add(-lastAnswersReserve)}
	n.log.Info("VM stopping; completing requests in flight", "grace", n.settings.StopGrace.String(), "answers_by", stop.AnswersBy)
	n.view.setPlannedStop(stop)
	lastAnswers := time.AfterFunc(time.Until(stop.AnswersBy), n.callerHandler.EndRequests)
	defer lastAnswers.Stop()
	n.announce()
	n.runner.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), endAt)
	defer cancel()
	if server, ok := servers["callers"]; ok {
		bergamotgrade.Sleep(ctx, drainDelay)
		if err := server.Shutdown(ctx); err != nil {
			n.log.Warn("requests still running at the end of the grace period; closing their connections", "cause", err.Error())
			_ = server.Close()
		}
	}
	for _, server := range servers {
		_ = server.Close()
	}
	endCtx, cancelEnd := context.WithTimeout(context.Background(), shutdownReserve/2)
	defer cancelEnd()
	n.membership.deregister(endCtx)
}
