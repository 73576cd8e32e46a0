// Package gossip exchanges status messages between VMs in UDP datagrams: load by backend
// server, counts of admitted requests, and the version of the configuration in force. A
// later message makes up for a lost one: each message repeats all recent changes, and some
// hold the full state.
package gossip

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Message is the status of one VM.
type Message struct {
	VMID string
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation int64
	// Sequence increases with each message of an incarnation.
	Sequence uint64
	// Version is the version of the configuration in force; zero for none.
	Version int64
	// Callers is set on VMs that take callers' requests.
	Callers bool
	// Runner is set on VMs that run batch items.
	Runner bool
	// Leaving is set while the VM is stopping or being retired.
	Leaving bool
	// StoreUnreachable is set while the VM cannot reach the platform's store.
	StoreUnreachable bool
	// Load lists the VM's requests in flight by backend server.
	Load []ServerLoad
	// Suspects lists backend servers that have recently failed requests of the VM.
	Suspects []string
	// Admitted counts the admitted requests by team since the start of the process. Most
	// messages omit the counts that have not changed recently.
	Admitted map[string]uint64
	// AllAdmitted is set if Admitted holds the counts of all teams.
	AllAdmitted bool
}

// ServerLoad is the number of requests in flight at one backend server.
type ServerLoad struct {
	ServerID string
	Online   int
	Batch    int
}

// Encode encodes the message for a datagram. Fields are encoded by position, which keeps
// the datagram small; new fields must be added at the end.
func Encode(message Message) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(message)
	return buffer.Bytes(), err
}

// Decode decodes the first message in data and returns its size in bytes.
func Decode(data []byte) (message Message, size int, err error) {
	reader := bytes.NewReader(data)
	err = msgpack.NewDecoder(reader).Decode(&message)
	return message, len(data) - reader.Len(), err
}
