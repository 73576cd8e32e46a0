package relay

import (
	"context"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/scripttest"
)

// knownOrigins knows the same origin of all streams.
type knownOrigins struct{ origin bergamotgrade.StreamOrigin }

func (o knownOrigins) Find(context.Context, string, []string) (bergamotgrade.StreamOrigin, error) {
	return o.origin, nil
}

func (knownOrigins) Began(string, bergamotgrade.StreamOrigin, int) {}

// resumeAfter makes the request take up a stream of the servers of newScheduler.
func resumeAfter(relay *Relay, request *Request, lastEvent string) {
	request.ResumeAfter, request.Resumes = lastEvent, "r0"
	relay.origins = knownOrigins{bergamotgrade.OriginOf(bergamotgrade.ServerRecord{Service: "svc"})}
}

// parseResult parses the words of a script: a status, and body=, type= or unsigned. In a body, \s stands
// for a space and \n and \r for the ends of lines; EVENTS(from,to) stands for these events.
func parseResult(words []string) result {
	status, _ := strconv.Atoi(words[0])
	parsed := result{status: status}
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "unsigned":
			parsed.unsigned = true
		case "type":
			parsed.contentType = value
		case "body":
			value = eventsPattern.ReplaceAllStringFunc(value, func(match string) string {
				var from, to int
				_, _ = fmt.Sscanf(match, "EVENTS(%d,%d)", &from, &to)
				return formatEvents(from, to)
			})
			parsed.body = strings.NewReplacer(`\s`, " ", `\n`, "\n", `\r`, "\r").Replace(value)
		}
	}
	return parsed
}

var eventsPattern = regexp.MustCompile(`EVENTS\(\d+,\d+\)`)

// TestOnlyTheNextEventsGoOnWithAStream guards against text of an error, or a whole head, in the
// middle of a caller's stream, and against a stream that ends as if it were complete. Each step of the
// scripts is what a server sends where event 3 of a stream is due.
func TestOnlyTheNextEventsGoOnWithAStream(t *testing.T) {
	scripttest.Run(t, func() scripttest.Step { return goOnWith })
}

// goOnWith returns what callers get if the answer comes where event 3 of a stream is due: "broken" if the
// stream is broken off after event 2, "whole" if it ends after event 4. A caller that takes the stream up
// may also get the answer itself, as "answer".
func goOnWith(words []string) string {
	next := parseResult(words)
	first := result{status: 200, body: formatEvents(1, 2), truncated: true}
	serve := func(maxAttempts int, resumes bool, results ...result) (string, error) {
		relay, _ := newRelay(newScheduler("a", "b", "c"), results...)
		request := newStreamRequest(true, maxAttempts)
		if resumes {
			resumeAfter(relay, request, "2")
		}
		var out recorder
		err := relay.Serve(context.Background(), request, &out)
		return out.body.String(), err
	}
	// It is the second and last answer: no other server brings the rest.
	body, err := serve(2, false, first, next)
	outcome := fmt.Sprintf("%q %v", body, err)
	switch {
	case err == nil && body == formatEvents(1, 4):
		outcome = "whole"
	case errors.Is(err, ErrTruncated) && body == formatEvents(1, 2):
		outcome = "broken"
	}
	// Another server brings the rest.
	if body, err := serve(3, false, first, next, result{status: 200, body: ": here\n\n" + formatEvents(3, 4)}); err != nil || body != formatEvents(1, 4) {
		return fmt.Sprintf("not mended: %q %v", body, err)
	}
	// The caller itself takes the stream up, and no other server is asked.
	switch body, err := serve(1, true, next); {
	case err == nil && body == formatEvents(3, 4), err != nil && body == "":
		return outcome
	case err == nil && body == next.body && next.status != 200:
		return outcome + ", answer"
	default:
		return fmt.Sprintf("taken up: %q %v", body, err)
	}
}

// TestEndOfAStreamIsConfirmed guards against a stream that ends too soon because one server has nothing
// to go on with, and against one that never ends because its end was lost with a connection.
func TestEndOfAStreamIsConfirmed(t *testing.T) {
	for _, callerResumes := range []bool{false, true} {
		for _, servers := range [][]string{{"a", "b", "c"}, {"a"}} {
			results := []result{{status: 200, body: formatEvents(1, 2), truncated: true}, {status: 200}, {status: 200, body: ": done\n\n"}}
			request := newStreamRequest(true, 3)
			want := formatEvents(1, 2)
			if callerResumes {
				want, results = "", results[1:]
			}
			relay, _ := newRelay(newScheduler(servers...), results...)
			if callerResumes {
				resumeAfter(relay, request, "2")
			}
			var out recorder
			err := relay.Serve(context.Background(), request, &out)
			qt.Assert(t, err == nil, qt.Equals, len(servers) > 1, qt.Commentf("%v", err))
			qt.Assert(t, out.body.String(), qt.Equals, want)
		}
	}
}

// TestEndIsConfirmedAtItsEvent guards against an end that two servers confirm after different events.
func TestEndIsConfirmedAtItsEvent(t *testing.T) {
	relay, _ := newRelay(newScheduler("a", "b", "c", "d"),
		result{status: 200, body: formatEvents(1, 2), truncated: true}, result{status: 200},
		result{status: 200, body: formatEvents(3, 4), truncated: true}, result{status: 200})
	var out recorder
	err := relay.Serve(context.Background(), newStreamRequest(true, 4), &out)
	qt.Assert(t, errors.Is(err, ErrTruncated), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, out.body.String(), qt.Equals, formatEvents(1, 4))
}

// TestGarbageAfterAnEvent guards against the same later in an answer.
func TestGarbageAfterAnEvent(t *testing.T) {
	for _, garbage := range []string{
		"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy", "error: overloaded\n\n", "data: overloaded\n\n", formatEvents(2, 3), formatEvents(5, 5), "{}\n\n", "event: error\ndata: overloaded\n\n",
	} {
		relay, _ := newRelay(newScheduler("a"), result{status: 200, body: formatEvents(1, 3) + garbage})
		var out recorder
		err := relay.Serve(context.Background(), newStreamRequest(false, 1), &out)
		qt.Assert(t, errors.Is(err, ErrTruncated), qt.IsTrue, qt.Commentf("%q", garbage))
		qt.Assert(t, out.body.String(), qt.Equals, formatEvents(1, 3), qt.Commentf("%q", garbage))
	}
}

// TestStreamWithoutIDsIsNotBegunAgain guards against the pieces of a stream that come twice: without
// ids no server knows where to go on.
func TestStreamWithoutIDsIsNotBegunAgain(t *testing.T) {
	const body = "data: a\n\ndata: b\n\n"
	relay, s := newRelay(newScheduler("a", "b"), result{status: 200, body: body, truncated: true}, result{status: 200, body: body})
	var out recorder
	qt.Assert(t, errors.Is(relay.Serve(context.Background(), newStreamRequest(true, 2), &out), ErrTruncated), qt.IsTrue)
	qt.Assert(t, out.body.String(), qt.Equals, body)
	qt.Assert(t, s.attempts, qt.HasLen, 1)
}

// TestLargeBodyIsNotBegunAgain guards against a second body after a part of the first one: a response
// that is no event stream cannot go on at another server once the caller has a part of it.
func TestLargeBodyIsNotBegunAgain(t *testing.T) {
	part := strings.Repeat("x", 2*maxBufferedBytes)
	for _, status := range []int{200, 404} {
		for _, streams := range []bool{true, false} {
			if status == 200 && streams {
				continue
			}
			relay, s := newRelay(newScheduler("a", "b"), result{status: status, body: part, truncated: true}, result{status: 200, body: formatEvents(1, 2)})
			request := newStreamRequest(true, 3)
			request.Streams = streams
			var out recorder
			err := relay.Serve(context.Background(), request, &out)
			qt.Assert(t, errors.Is(err, ErrTruncated), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, out.body.String(), qt.Equals, part)
			qt.Assert(t, s.attempts, qt.HasLen, 1)
		}
	}
}

// TestUnsendableRequestIsInvalid guards against a caller's request that takes the blame to servers.
func TestUnsendableRequestIsInvalid(t *testing.T) {
	scheduler := newScheduler("a")
	relay, s := newRelay(scheduler, result{err: bergamotgrade.NotSent(bergamotgrade.ErrUnsendable)})
	failure := bergamotgrade.AsError(relay.Serve(context.Background(), newStreamRequest(true, 3), &recorder{}))
	qt.Assert(t, failure.Kind(), qt.Equals, bergamotgrade.KindInvalidRequest)
	qt.Assert(t, failure.NotRun(), qt.IsTrue)
	qt.Assert(t, s.attempts, qt.HasLen, 1)
	qt.Assert(t, scheduler.Suspects(), qt.HasLen, 0)
}
