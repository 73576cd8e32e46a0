// Package gossip spreads the status of all VMs in UDP datagrams: load by backend server,
// counts of admitted requests, and the version of the configuration in force. Each VM
// reports to two hubs of its data centre. A hub sends digests with the totals of its data
// centre to the VMs that report to it and to the hubs of the other data centres, which
// forward them. The number of datagrams of a VM therefore does not depend on the number of
// VMs. A later message makes up for a lost one: each message repeats all recent changes,
// and some hold the full state.
package gossip

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/bergamotgrade/bergamotgrade"
)

// The first byte of each message in a datagram tells its type.
const (
	tagStatus  = 's'
	tagDigest  = 'd'
	tagStreams = 'o'
)

// VMState is what the other VMs have to know of one VM.
type VMState struct {
	VMID string
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation int64
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
}

// Status is the message of one VM to its hubs.
type Status struct {
	VM VMState
	// Sequence increases with each status of an incarnation.
	Sequence uint64
	// Primary is set in the statuses to the hub that the VM wants to hear from often.
	Primary bool
	// Load lists the VM's requests in flight by backend server.
	Load []ServerLoad
	// Suspects lists backend servers that have recently failed requests of the VM.
	Suspects []string
	// Admitted counts the admitted requests by team since the start of the process. Most
	// messages omit the counts that have not changed recently.
	Admitted map[string]uint64
	// AllAdmitted is set if Admitted holds the counts of all teams.
	AllAdmitted bool
	// Copies holds the copies of parts of the store that other VMs may fetch from this one.
	Copies []CopyState
	// Rates holds what the VM has recently heard of the limits that servers name.
	Rates []ServerRate
	// Leaving holds the processes of servers that have recently told the VM that they leave.
	Leaving []bergamotgrade.ServerProcess
	// Asked is the work that teams have recently asked for at the VM; most messages omit it. It is empty, but not nil,
	// if there is none.
	Asked []ServiceWork
	// Speeds holds what recent runs of the VM tell of the speed of servers. Most messages omit it.
	Speeds []bergamotgrade.ServerSpeed
}

// ServiceWork is the work that teams have recently asked for at one service.
type ServiceWork struct {
	Service string
	Teams   []TeamWork
	// RestTeams counts the teams that are not listed, RestPerSecond is the sum of their work.
	RestTeams     int
	RestPerSecond uint64
}

// TeamWork is the work that a team asks for, in tokens per second.
type TeamWork struct {
	// Team is the key of the team's name (share.TeamKey).
	Team      uint32
	PerSecond uint64
}

// Streams holds records of streams that the receiver keeps for other VMs.
type Streams struct {
	Records []bergamotgrade.StreamRecord
}

// CopyState announces a VM's copy of a prefix of the store.
type CopyState struct {
	VMID   string
	Prefix string
	// Revision is the revision up to which the copy is complete, ChangedAt the one of its
	// last change, ListedAt the one of its last complete listing.
	Revision, ChangedAt, ListedAt int64
	// AgeMs is how many milliseconds before the sending the copy was up to date.
	AgeMs int64
}

// ServerLoad is the number of requests in flight at one backend server.
type ServerLoad struct {
	ServerID string
	Online   int
	Batch    int
}

// Digest is the message of a hub: the totals of the VMs of its data centre.
type Digest struct {
	DataCentre string
	HubID      string
	// Incarnation and Sequence order the digests of one hub.
	Incarnation int64
	Sequence    uint64
	// RosterVersion increases whenever the roster changes. Most digests omit the roster.
	RosterVersion uint64
	Roster        []VMState
	// Seen holds, in the order of the roster, the sequence of the last status of each VM
	// that the totals include.
	Seen     []uint64
	Load     []ServerLoad
	Suspects []ServerCount
	// Limits lists the VMs that have to end batch runs, each with the number that may remain.
	Limits []bergamotgrade.BatchRuns
	// Admitted counts the requests that the hub has seen its VMs admit, by team. Most
	// digests omit the counts that have not changed recently.
	Admitted    map[string]uint64
	AllAdmitted bool
	// Copies holds the announced copies of the VMs.
	Copies []CopyState
	// Rates holds the newest that the VMs have heard of the limits that servers name. Most
	// digests omit them unless they have changed recently.
	Rates []ServerRate
	// Leaving holds the processes of servers that have recently told VMs that they leave.
	Leaving []bergamotgrade.ServerProcess
	// Asked is the sum of the work that teams have recently asked for at the VMs. Most digests omit it.
	Asked []ServiceWork
	// Speeds holds what recent runs of the VMs tell of the speed of servers. Most digests omit it.
	Speeds []bergamotgrade.ServerSpeed
}

// ServerRate is what a VM has heard of the limit of a backend server.
type ServerRate struct {
	ServerID string
	// Named is set if the server's answer named a limit, PerSecond is the limit.
	Named     bool
	PerSecond float64
	// AgeMs is how many milliseconds before the sending the answer arrived.
	AgeMs int64
}

// ServerCount is a number of VMs by backend server.
type ServerCount struct {
	ServerID string
	Count    int
}

// stamp orders the messages of one process: by incarnation, then by sequence.
type stamp struct {
	incarnation int64
	sequence    uint64
}

// before reports whether the stamp is older than the other.
func (s stamp) before(other stamp) bool {
	return s.incarnation < other.incarnation || (s.incarnation == other.incarnation && s.sequence < other.sequence)
}

func (s Status) stamp() stamp { return stamp{s.VM.Incarnation, s.Sequence} }
func (d Digest) stamp() stamp { return stamp{d.Incarnation, d.Sequence} }

// encode encodes a message for a datagram. Fields are encoded by position, which keeps the
// datagram small; new fields must be added at the end.
func encode(tag byte, message any) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.WriteByte(tag)
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(message)
	return buffer.Bytes(), err
}

// decode decodes the first message in data, a *Status, a *Digest or *Streams, and returns its size in
// bytes.
func decode(data []byte) (message any, size int, err error) {
	switch {
	case len(data) > 0 && data[0] == tagStatus:
		message = &Status{}
	case len(data) > 0 && data[0] == tagDigest:
		message = &Digest{}
	case len(data) > 0 && data[0] == tagStreams:
		message = &Streams{}
	default:
		return nil, 0, errors.New("datagram holds no message of a known type")
	}
	if err := bergamotgrade.CheckMessagePack(data[1:]); err != nil {
		return nil, 0, err
	}
	reader := bytes.NewReader(data[1:])
	err = msgpack.NewDecoder(reader).Decode(message)
	return message, len(data) - reader.Len(), err
}
