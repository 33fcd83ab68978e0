package heartbeater

import (
	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/messenger"
	"github.com/chivegauge/chivegauge/internal/cluster/replicator"
)

func toMember(m *messenger.Member) chivegauge.Member {
	return chivegauge.Member{
		Address:     m.GetAddress(),
		Service:     m.GetService(),
		Zone:        m.GetZone(),
		Region:      m.GetRegion(),
		Incarnation: m.GetIncarnation(),
		State:       chivegauge.MemberState(m.GetState()),
	}
}

func fromMember(m chivegauge.Member) *messenger.Member {
	return &messenger.Member{
		Address:     m.Address,
		Service:     m.Service,
		Zone:        m.Zone,
		Region:      m.Region,
		Incarnation: m.Incarnation,
		State:       int32(m.State),
	}
}

func fromMembers(list []chivegauge.Member) []*messenger.Member {
	out := make([]*messenger.Member, 0, len(list))
	for _, m := range list {
		out = append(out, fromMember(m))
	}
	return out
}

func toVersions(list []*messenger.Version) []replicator.Document {
	out := make([]replicator.Document, 0, len(list))
	for _, v := range list {
		out = append(out, replicator.Document{
			Name:    v.GetDocument(),
			Version: v.GetVersion(),
		})
	}
	return out
}

func fromVersions(list []replicator.Document) []*messenger.Version {
	out := make([]*messenger.Version, 0, len(list))
	for _, d := range list {
		out = append(out, &messenger.Version{
			Document: d.Name,
			Version:  d.Version,
		})
	}
	return out
}
