package relay

import "time"

const (
	// maxWaiting bounds the requests that wait for one service on this VM; each
	// holds its body in memory.
	maxWaiting = 256
	// maxWaitingPerTeam bounds the waiting requests of one team.
	maxWaitingPerTeam = 96
	// maxRefusals bounds how often one request is passed on to servers that
	// refuse it unrun.
	maxRefusals = 4
	// wholeAnswerBytes is the size up to which an answer without events is read
	// as a whole before its head goes out, so that a broken one can be repeated.
	wholeAnswerBytes = 64 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// minRunTime is the time left below which no further attempt is made.
	minRunTime = 20 * time.Millisecond
	// stallFactor times the longest pause that is on time is the silence after
	// which a stream goes on at another server.
	stallFactor = 2
	// minStall is the shortest such silence; an engine's step takes milliseconds,
	// and a preempted request is read again from the start.
	minStall = 800 * time.Millisecond
	// firstEventShare of the time left is what the first server has to begin a
	// repeatable stream.
	firstEventShare = 0.4
	// minRetryAfter is the shortest pause that a refused caller is asked for; a
	// place comes free about that often.
	minRetryAfter = 50 * time.Millisecond
	// readBuffer is the size of the buffer for answers.
	readBuffer = 4096
)
