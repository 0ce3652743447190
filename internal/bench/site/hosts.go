package site

import (
	"geraniumhollow/internal/conf/flags"
	"geraniumhollow/internal/plat/hosts"
)

// List puts the nodes and the hosts of the runners on the platform's live list.
func (s *Site) List(nodes []flags.Settings) {
	var list []hosts.Host
	for _, cfg := range nodes {
		list = append(list, hosts.Host{
			Name: cfg.NodeName, Kind: hosts.Entry, State: hosts.Live,
			DataCentre: cfg.DataCentre, PeerAddress: cfg.PeerAddress,
		})
	}
	for i := range s.Deployment.Runners {
		for _, name := range s.Deployment.RunnerHosts(i) {
			list = append(list, hosts.Host{
				Name: name, Kind: hosts.Engine, State: hosts.Live, DataCentre: s.Deployment.RunnerDataCentre(i),
			})
		}
	}
	s.Platform.SetHosts(list)
}
