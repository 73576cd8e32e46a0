package memory

import (
	"net/http"
	"time"
)

// maxPieceBytes is the largest piece of a response that is written under one deadline; at 200 kbit/s
// it takes 2.6 seconds.
const maxPieceBytes = 64 << 10

// WritePieces sends the data in pieces, each of which the client has to take within the timeout, so
// that a client that does not read holds a response no longer than that.
func WritePieces(w http.ResponseWriter, data []byte, timeout time.Duration) error {
	control := http.NewResponseController(w)
	for {
		piece := data[:min(len(data), maxPieceBytes)]
		data = data[len(piece):]
		if err := control.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return err
		}
		if _, err := w.Write(piece); err != nil {
			return err
		}
		if err := control.Flush(); err != nil || len(data) == 0 {
			return err
		}
	}
}
