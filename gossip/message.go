// Package gossip carries what VMs tell each other all the time, by datagrams:
// their load at backend servers, the requests that they have admitted, and the
// version of the configuration that they have in force. A lost message is made up
// for by the next: each holds all that has changed in a while, some hold all.
package gossip

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Message is one VM's account of itself.
type Message struct {
	VMID string
	// Incarnation is the Unix nanosecond of the process's start.
	Incarnation int64
	// Sequence rises with each message of an incarnation.
	Sequence uint64
	// Version is the version of the configuration in force; zero for none.
	Version int64
	// Callers is set on VMs that take requests of callers.
	Callers bool
	// Runner is set on VMs that run batch items.
	Runner bool
	// Leaving is set while the VM stops.
	Leaving bool
	// StoreAway is set while the VM does not reach the platform's store.
	StoreAway bool
	// Load lists requests by backend server.
	Load []ServerLoad
	// Suspects lists backend servers that have failed this VM of late.
	Suspects []string
	// Admitted counts the admitted requests by team since the start. Counts that
	// have not changed of late are left out of most messages.
	Admitted map[string]uint64
	// AllAdmitted is set where no count is left out.
	AllAdmitted bool
}

// ServerLoad is the number of requests at one backend server.
type ServerLoad struct {
	ServerID string
	Online   int
	Batch    int
}

// Encode returns the datagram of the message. Fields go by their positions, which
// keeps it small; new fields are added at the end.
func Encode(message Message) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(message)
	return buffer.Bytes(), err
}

// Decode reads the first message of the data and returns its size.
func Decode(data []byte) (message Message, size int, err error) {
	reader := bytes.NewReader(data)
	err = msgpack.NewDecoder(reader).Decode(&message)
	return message, len(data) - reader.Len(), err
}
