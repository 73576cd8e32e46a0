// Package standin holds small stand-ins for the systems around the VMs: a model
// engine, a plain service, and a TCP proxy that injects faults. They serve tests
// and the demonstration; the platform's own stand-ins are below platform.
package standin
