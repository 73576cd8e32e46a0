// Case 9: a front machine gets SIGTERM while resumable streams are under way whose replicas pause for longer than
// a second now and then. The machine ends the streams in the middle, long before their deadline.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bergamotgrade/bergamotgrade/review/stage"
)

const (
	// Each stream has events events, one each eventTime; with trouble the replicas pause after every fifth one.
	streams, events = 6, 14
	eventTime       = 60 * time.Millisecond
	pauseEvery      = 5
	pauseLength     = 1400 * time.Millisecond
	// deadline is that of the clients and of the route, grace is graceS.
	deadline = 5 * time.Second
	grace    = 8 * time.Second
)

func main() {
	status, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = 2
	}
	os.Exit(status)
}

// outcome is what a client has seen of its stream.
type outcome struct {
	id             string
	status, events int
	complete       bool
	// end is how the connection ended: EOF after a complete answer.
	end  string
	took time.Duration
}

func run() (int, error) {
	trouble := stage.Trouble(os.Getenv("TROUBLE"))
	options := stage.Options{Folder: os.Args[1], Fronts: 3, Stores: 3, Replicas: 3, Slots: 8, EventTime: eventTime}
	options.Pauses = stage.Pauses{Every: 1 << 30, Length: eventTime}
	if trouble {
		options.Pauses = stage.Pauses{Every: pauseEvery, Length: pauseLength}
	}
	fleet, err := stage.Start(options)
	defer fleet.Stop()
	if err != nil {
		return 2, err
	}
	time.Sleep(4 * time.Second) // the machines are in touch
	front := fleet.Fronts()[0]
	outcomes := make([]outcome, streams)
	var clients sync.WaitGroup
	for i := range streams {
		clients.Go(func() {
			outcomes[i] = stream(front, fmt.Sprintf("9c41d07be2a3%04d", i))
			fleet.Record.Add("client: %+v", outcomes[i])
		})
	}
	time.Sleep(200 * time.Millisecond)
	fleet.Record.Add("platform: SIGTERM to %s", front.Name)
	front.Signal(syscall.SIGTERM)
	stopped := time.Now()
	clients.Wait()
	cut := 0
	for _, o := range outcomes {
		// The answer began, the machine had SIGTERM, no replica broke off, and the deadline was not reached.
		if !o.complete && o.status == http.StatusOK && o.took < deadline-500*time.Millisecond {
			cut++
			fleet.Record.Add("BROKEN: the connection of request %s ended after %d of %d events and %.3f s, without a complete answer", o.id, o.events, events, o.took.Seconds())
		}
	}
	for !front.HasExited() && time.Since(stopped) < grace {
		time.Sleep(50 * time.Millisecond)
	}
	for _, line := range fleet.LogLines("may have run the request") {
		fleet.Record.Add("log of %.400s", line)
	}
	fmt.Printf("trouble=%t streams cut=%d of %d\n", trouble, cut, streams)
	if cut > 0 {
		return 1, nil
	}
	return 0, nil
}

// stream sends a request for a stream on a connection of its own and reads its events to the end.
func stream(front *stage.VM, id string) outcome {
	result := outcome{id: id}
	startedAt := time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://"+front.FrontAddress()+stage.StreamPath+"2f", strings.NewReader("prompt of "+id))
	if err != nil {
		return outcome{id: id, end: err.Error()}
	}
	req.Host = stage.Host
	for name, value := range map[string]string{
		"Authorization": "Bearer " + stage.Key, "Bergamotgrade-Attempt-Id": id, "Bergamotgrade-Model": "m", "Bergamotgrade-Token-Usage": fmt.Sprintf("450,%d", events),
		"Bergamotgrade-Prompt-Prefix": "5c1e07a2:200," + id + ":250", "Bergamotgrade-Deadline-Remaining": fmt.Sprint(deadline.Milliseconds()),
	} {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	res, err := (&http.Client{Transport: transport, Timeout: deadline + time.Second}).Do(req)
	if err != nil {
		result.end, result.took = err.Error(), time.Since(startedAt)
		return result
	}
	defer res.Body.Close()
	result.status = res.StatusCode
	reader := bufio.NewReader(res.Body)
	for {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, "data:") {
			result.events++
		}
		if err != nil {
			result.complete = err == io.EOF && (result.status != http.StatusOK || result.events == events)
			result.end, result.took = err.Error(), time.Since(startedAt)
			return result
		}
	}
}
