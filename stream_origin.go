package bergamotgrade

import "context"

// ServerSet selects backend servers: those of a service or, if OneVersion is set, only those of
// a version of its software.
type ServerSet struct {
	Service         string
	SoftwareVersion string
	OneVersion      bool
	// Homes are the regions of the servers.
	Homes Homes
}

// Includes reports whether the set includes the server.
func (s ServerSet) Includes(server ServerRecord) bool {
	return s.Service == server.Service && (!s.OneVersion || s.SoftwareVersion == server.SoftwareVersion) && s.Homes.Includes(server.Region)
}

// StreamOrigin names the software that began a stream; the stream may go on there only.
type StreamOrigin struct {
	Service         string `json:"service"`
	SoftwareVersion string `json:"software_version"`
}

// OriginOf returns the origin of the streams that the server begins.
func OriginOf(server ServerRecord) StreamOrigin {
	return StreamOrigin{Service: server.Service, SoftwareVersion: server.SoftwareVersion}
}

// IsZero reports whether the stream has not begun.
func (o StreamOrigin) IsZero() bool { return o == StreamOrigin{} }

// Servers returns the servers in the homes at which a stream may go on; for one that has not begun,
// these are the servers of the service.
func (o StreamOrigin) Servers(service string, homes Homes) ServerSet {
	if o.IsZero() {
		return ServerSet{Service: service, Homes: homes}
	}
	return ServerSet{Service: o.Service, SoftwareVersion: o.SoftwareVersion, OneVersion: true, Homes: homes}
}

// StreamRecord says where the stream of a request began.
type StreamRecord struct {
	// Key is a hash of the request's id.
	Key    uint64       `json:"key"`
	Origin StreamOrigin `json:"origin"`
	// Attempt orders the records of one request, of which the last one counts.
	Attempt int `json:"attempt"`
}

// StreamOrigins knows where streams began, also those that began at other VMs.
type StreamOrigins interface {
	// Began records that the request was sent to a server of the origin. attempt orders the
	// calls for one request, of which the last one counts.
	Began(requestID string, origin StreamOrigin, attempt int)
	// Find returns the origin of the stream that the request began, which is one of the
	// services. It fails with KindOriginUnknown if that is not known for sure.
	Find(ctx context.Context, requestID string, services []string) (StreamOrigin, error)
}
