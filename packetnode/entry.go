package packetnode

import (
	"context"
	"sync/atomic"
	"time"

	"endiveflow.example/endiveflow/announce"
	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packetentry"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/watchduty"
)

const (
	// entryStopMin is the minimum time for which a stopping entry keeps forwarding: the routers need two
	// probes, half a second apart, to take it out of rotation.
	entryStopMin = 1600 * time.Millisecond
	// quietTime is the time without packets from callers after which a planned stop may end early.
	quietTime = 700 * time.Millisecond
)

// NewEntry returns an entry that runs with the settings of its VM.
func NewEntry(s platform.Settings, log *eventlog.Log) Process {
	return newProcess(s, log, assembleEntry)
}

func assembleEntry(ctx context.Context, b *base) (role, error) {
	s := b.settings
	callerConn, err := b.listen(ctx, s.PacketAddr)
	if err != nil {
		return role{}, err
	}
	discovered, stateChanged := make(chan uint32, 64), make(chan uint32, 64)
	var entry *packetentry.Entry
	duties := newStoreDuties(watchduty.Config{IP: b.ip(), Now: b.now, Peers: func() []uint32 { return entry.ZonePeers() }})
	recorded := new(recordedVersion)
	entry = packetentry.New(packetentry.Config{
		IP: b.ip(), Zone: s.Zone, Incarnation: time.Now().UnixMilli(), Now: b.now, Routes: &b.routes, Log: b.log,
		LinkBytesPerSecond: s.LinkBytesPerSecond, CPUShare: s.CPUShare,
		ToCaller: callerSender(callerConn, s.PacketAddr.Port()), ToMember: b.toMember,
		NewerConfig: b.config.noteNewer, ScheduleTick: b.alarm.schedule,
		StoreStatus: func() mesh.StoreStatus { return mesh.NewStoreStatus(b.store.Era(), duties.config.Age) },
		StoreReported: func(s mesh.StoreStatus) {
			b.noteStoreEra(s.Era)
			if age, known := s.Age(); known {
				duties.answeredOther(age)
			}
		},
		Evacuations: &b.evacuations, EvacuationsReported: b.noteEvacuations, Membership: b.members.membership, JoinOrder: b.members.joinOrder,
		RecordedVersion: func() uint64 { return recorded.in(b.store.Era()) }, VersionRecorded: recorded.note,
		PeerDiscovered: enqueue(discovered), StateChanged: enqueue(stateChanged),
	})
	recorder := &routeRecorder{
		store: b.store, log: b.log, version: b.routes.Version, record: entry.RouteRecord, hasFormer: entry.HasFormerServices, read: entry.RouteRecordRead,
		entriesBefore: func() int {
			entries, _ := entry.ActivePeers()
			return watchduty.EntriesBefore(b.ip(), entries)
		},
		onDuty: make(chan struct{}, 1), changed: make(chan struct{}, 1), recorded: recorded,
	}
	var lastCallerPacket atomic.Int64
	b.parts.add("callers", receive(callerConn, func(packet []byte) {
		lastCallerPacket.Store(int64(b.now()))
		entry.FromCaller(packet)
	}))
	// Reports carry the configuration's version, which makes other processes fetch a newer one.
	b.config.applied = func() {
		entry.ConfigChanged()
		signal(b.configured)
		signal(recorder.changed)
	}
	b.config.watching = func() { signal(recorder.onDuty) }
	b.restored = func() { signal(recorder.changed) }
	b.config.spread, b.config.firstSpread = fetchSpread, 0
	b.parts.add("configuration", b.config.followStore(ctx, duties.config))
	b.parts.add("route record", recorder.run(ctx))
	if s.EvacuationDeadline > 0 {
		b.parts.add("evacuations", evacuationWatch{store: b.store, duty: duties.evacuations, current: b.evacuations.Current, read: b.noteEvacuations, log: b.log}.run(ctx))
	}
	return role{
		record:  memberRecord{Role: roleEntry, IP: s.IP, Zone: s.Zone},
		receive: entry.Receive, tick: entry.Tick, sweep: entry.Sweep, discovered: discovered, stateChanged: stateChanged,
		report: func(i *reportIntervals) ([]byte, error) {
			return entry.ReportMessage(i.of(announce.Entries), i.of(announce.Agents))
		},
		known: func(g announce.Group) []uint32 {
			entries, agents := entry.ActivePeers()
			if g == announce.Entries {
				return entries
			}
			return agents
		},
		ratePerSecond: func(announce.Group) float64 { return announce.RegularPerSecond },
		serve: func(ctx context.Context, _ func() bool) error {
			if s.ControlAddr.IsValid() {
				relay := hostRelay{port: s.ControlAddr.Port(), http: newHTTPClient(), log: b.log}
				if err := b.parts.serve(ctx, s.ControlAddr, relay); err != nil {
					return err
				}
			}
			ready := func() bool { ok, _ := entry.Ready(); return ok }
			return b.parts.serve(ctx, s.ReadinessAddr, platform.ReadinessHandler(ready))
		},
		flows: entry.Flows, beginStop: entry.Stop,
		canStop: func(since time.Duration) bool {
			return since > entryStopMin && b.now()-time.Duration(lastCallerPacket.Load()) > quietTime
		},
	}, nil
}

// enqueue returns a function that sends to a channel unless it is full.
func enqueue(c chan<- uint32) func(uint32) {
	return func(ip uint32) {
		select {
		case c <- ip:
		default:
		}
	}
}
