package memory

import "time"

const (
	// connBytes is what an open connection costs: 7 KB were measured for an idle connection of
	// net/http, 10 KB for one with half a head.
	connBytes = 10 << 10
	// firstReadBytes is the first step in which a body is read; it then doubles, so that a buffer
	// is at most twice as large as what has arrived.
	firstReadBytes = 16 << 10
	// smallBytes is the size up to which a holding may use the whole budget. The larger ones leave
	// a part of one in reservedPart, so that ordinary requests are served beside them.
	smallBytes   = 128 << 10
	reservedPart = 8
	// pinnedUnreadBytes may wait unread behind a request that runs: two heads of the largest size. The
	// kernel takes some 100 KB for a connection that is not read.
	pinnedUnreadBytes = 32 << 10
	// stallBase is added to the time without progress when a holding is weighed, so that bytes
	// count also between holdings that all make progress.
	stallBase = 100 * time.Millisecond
	// reportInterval is the shortest pause between two reports of a shortage.
	reportInterval = 10 * time.Second
	// sweepInterval is the pause between two looks at all connections of a listener. It adds to the
	// timeouts of heads and idle connections.
	sweepInterval = 250 * time.Millisecond
	// fieldBytes is what a field of a head costs besides its bytes once it is parsed: its part of a map, a
	// slice and two strings.
	fieldBytes = 128
	// maxHeadFields bounds the lines of a head; clients send some ten, with proxies a few dozen.
	maxHeadFields = 256
	// headSlopBytes is what net/http may read beyond the head of a request.
	headSlopBytes = 8 << 10
)
