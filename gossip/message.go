// Package gossip carries what VMs tell each other all the time, by datagrams:
// their load at backend servers, the requests that they have admitted, and the
// version of the configuration that they have in force. Each message holds the
// whole account of its sender, so a lost one is made up for by the next.
package gossip

import (
	"github.com/vmihailenco/msgpack/v5"
)

// Message is one VM's account of itself.
type Message struct {
	VMID string `msgpack:"v"`
	// Incarnation is the Unix nanosecond of the process's start.
	Incarnation int64 `msgpack:"i"`
	// Sequence rises with each message of an incarnation.
	Sequence uint64 `msgpack:"s"`
	// Version is the version of the configuration in force; zero for none.
	Version int64 `msgpack:"c,omitempty"`
	// Callers is set on VMs that take requests of callers.
	Callers bool `msgpack:"f,omitempty"`
	// Runner is set on VMs that run batch items.
	Runner bool `msgpack:"r,omitempty"`
	// Leaving is set while the VM stops.
	Leaving bool `msgpack:"l,omitempty"`
	// StoreAway is set while the VM does not reach the platform's store.
	StoreAway bool `msgpack:"w,omitempty"`
	// Load lists requests by backend server.
	Load []ServerLoad `msgpack:"o,omitempty"`
	// Admitted counts the admitted requests by team since the start.
	Admitted map[string]uint64 `msgpack:"a,omitempty"`
}

// ServerLoad is the number of requests at one backend server.
type ServerLoad struct {
	_msgpack struct{} `msgpack:",as_array"`

	ServerID string
	Online   int
	Batch    int
}

// Encode returns the datagram of the message.
func Encode(message Message) ([]byte, error) { return msgpack.Marshal(message) }

// Decode reads one datagram.
func Decode(data []byte) (Message, error) {
	var message Message
	err := msgpack.Unmarshal(data, &message)
	return message, err
}
