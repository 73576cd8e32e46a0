package entry

import "time"

// logCold logs which servers have become cold or warm. When many do at once, only the first
// maxColdLines are named.
func (n *Node) logCold() {
	changes := n.scheduler.ColdChanges()
	for i, change := range changes {
		if i == maxColdLines {
			n.log.Info("further servers have become cold or warm", "servers", len(changes)-i, "cold_servers", n.scheduler.ColdServers())
			return
		}
		if change.IsCold {
			n.log.Info("server is cold; it gets this VM's share of its bound", "server", change.ServerID, "until", change.Until.Format(time.RFC3339Nano))
		} else {
			n.log.Info("server is warm", "server", change.ServerID)
		}
	}
}

// setServices passes the services of the configuration in force on.
func (n *Node) setServices() {
	if configuration := n.view.Configuration(); configuration != nil {
		n.scheduler.SetServices(configuration.Services(), n.settings.ColdOvershoot)
	}
}

// setRegistered passes the registered VMs on, once this VM has read its own registration: a list from
// before may lack others that start at the same time.
func (n *Node) setRegistered() {
	if n.view.knowsMembers() {
		n.scheduler.SetRegistered(n.view.registeredVMs())
	}
}
