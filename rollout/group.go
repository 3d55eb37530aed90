package rollout

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// group is the servers of the target version that get requests while the versions are
// compared. It is so small that each of its servers works as much as an old one.
type group struct {
	servers []TargetServer
	// likeShare is the share of requests that gives its slots as many as the old ones'.
	likeShare float64
}

// keys returns the keys of the group's servers.
func (g group) keys() []string {
	keys := make([]string, len(g.servers))
	for i, server := range g.servers {
		keys[i] = server.Key
	}
	return keys
}

// selectGroup returns the smallest group that takes the share of the requests under like
// load. All VMs select the same one, as they rank the servers alike. Suspect servers are
// left out, and cold ones are taken last.
func selectGroup(order Order, s Situation, share float64, suspects map[string]bool) group {
	ranked := rankServers(order, s.Targets, suspects)
	wanted := share * float64(s.OldSlots) / (1 - share)
	g, slots := group{}, 0
	for _, server := range ranked {
		if len(g.servers) > 0 && float64(slots) >= wanted {
			break
		}
		g.servers = append(g.servers, server)
		slots += server.Slots
	}
	g.likeShare = 1
	if all := slots + s.OldSlots; all > 0 {
		g.likeShare = float64(slots) / float64(all)
	}
	return g
}

// rankServers returns the servers that are not suspect, by a hash of the order and the
// server. If all are suspect, it returns all.
func rankServers(order Order, servers []TargetServer, suspects map[string]bool) []TargetServer {
	type rankedServer struct {
		TargetServer
		rank uint64
	}
	prefix := strconv.FormatUint(order.Row.Version, 10) + "/"
	ranked := make([]rankedServer, 0, len(servers))
	for _, server := range servers {
		if !suspects[server.Key] {
			ranked = append(ranked, rankedServer{server, xxhash.Sum64String(prefix + server.Key)})
		}
	}
	if len(ranked) == 0 && len(servers) > 0 {
		return rankServers(order, servers, nil)
	}
	slices.SortFunc(ranked, func(a, b rankedServer) int {
		switch {
		case a.Cold == b.Cold:
			return cmp.Compare(a.rank, b.rank)
		case b.Cold:
			return -1
		default:
			return 1
		}
	})
	out := make([]TargetServer, len(ranked))
	for i := range ranked {
		out[i] = ranked[i].TargetServer
	}
	return out
}
