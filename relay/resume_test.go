package relay

import (
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
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

// notTheNextEvents holds what a server in trouble may send where event 3 of a stream is due.
var notTheNextEvents = map[string]result{
	"error status":                {status: 503, body: "busy"},
	"error status, not signed":    {status: 500, body: "no", unsigned: true},
	"client error":                {status: 400, body: "id: 3\ndata: bad request\n\n"},
	"redirect":                    {status: 302, body: "id: 3\ndata: elsewhere\n\n"},
	"other success":               {status: 206, body: formatEvents(3, 4)},
	"nothing":                     {status: 200},
	"no content":                  {status: 204},
	"not signed":                  {status: 200, body: formatEvents(3, 4), unsigned: true},
	"text":                        {status: 200, body: "overloaded"},
	"lines of text":               {status: 200, body: "overloaded\n\ntry again\n\n"},
	"JSON":                        {status: 200, body: `{"error":"overloaded"}` + "\n\n"},
	"text like a field":           {status: 200, body: "error: overloaded\n\n"},
	"head of an answer":           {status: 200, body: "HTTP/1.1 503 Busy\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbusy"},
	"head, then events":           {status: 200, body: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + formatEvents(3, 4)},
	"data without id":             {status: 200, body: "data: overloaded\n\n"},
	"data without id, then more":  {status: 200, body: "data: overloaded\n\n" + formatEvents(3, 4)},
	"error event":                 {status: 200, body: "event: error\ndata: overloaded\n\n"},
	"named event without data":    {status: 200, body: "event: error\n\n"},
	"comments only":               {status: 200, body: ": one\n\n: two\n\n"},
	"first event again":           {status: 200, body: formatEvents(1, 4)},
	"last event again":            {status: 200, body: formatEvents(2, 4)},
	"event too far":               {status: 200, body: formatEvents(4, 4)},
	"id that is no number":        {status: 200, body: "id: error\ndata: overloaded\n\n"},
	"two ids":                     {status: 200, body: "id: 3\nid: 9\ndata: a\n\n"},
	"empty id":                    {status: 200, body: "id:\ndata: overloaded\n\n"},
	"half an event":               {status: 200, body: "id: 3\nda"},
	"other type":                  {status: 200, body: formatEvents(3, 4), contentType: "application/json"},
	"field name that begins data": {status: 200, body: "database: away\n\n"},
}

// TestOnlyTheNextEventsGoOnWithAStream guards against text of an error, or a whole head, in the
// middle of a caller's stream, and against a stream that ends as if it were complete.
func TestOnlyTheNextEventsGoOnWithAStream(t *testing.T) {
	for name, wrong := range notTheNextEvents {
		t.Run(name, func(t *testing.T) {
			relay, _ := newRelay(newScheduler("a", "b"), result{status: 200, body: formatEvents(1, 2), truncated: true}, wrong)
			var out recorder
			err := relay.Serve(context.Background(), newStreamRequest(true, 2), &out)
			qt.Assert(t, errors.Is(err, ErrTruncated), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, out.body.String(), qt.Equals, formatEvents(1, 2))

			relay, s := newRelay(newScheduler("a", "b", "c"), result{status: 200, body: formatEvents(1, 2), truncated: true}, wrong, result{status: 200, body: ": here\n\n" + formatEvents(3, 4)})
			out = recorder{}
			qt.Assert(t, relay.Serve(context.Background(), newStreamRequest(true, 3), &out), qt.IsNil)
			qt.Assert(t, out.body.String(), qt.Equals, formatEvents(1, 4))
			qt.Assert(t, s.attempts[2].ResumeAfter, qt.Equals, "2")

			// The caller itself takes the stream up, and no other server is asked.
			relay, _ = newRelay(newScheduler("a", "b"), wrong)
			request := newStreamRequest(true, 1)
			resumeAfter(relay, request, "2")
			out = recorder{}
			err = relay.Serve(context.Background(), request, &out)
			if wrong.status >= 400 && wrong.status < 503 && !wrong.unsigned || wrong.status == 302 {
				qt.Assert(t, err, qt.IsNil) // a server's own answer to this request
				return
			}
			qt.Assert(t, err != nil || out.body.String() == formatEvents(3, 4), qt.IsTrue, qt.Commentf("%q", out.body.String()))
		})
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
