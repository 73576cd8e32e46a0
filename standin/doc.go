// Package standin provides stand-ins for the backend servers of the VMs: a model engine and
// a plain service. Tests and the demo use them. Package platform/standin has the stand-ins
// for the platform, package tcpproxy the proxy that injects network faults.
package standin
