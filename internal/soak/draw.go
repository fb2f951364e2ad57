package soak

import (
	"math/rand/v2"
	"time"

	"finchlatch/liveness"
)

// Draw returns the Scenario of a seed: one fault pattern, chosen by the seed, and a few random faults. Callers offer calls for
// the given length. The order of all random draws is part of the meaning of a seed.
func Draw(seed uint64, length time.Duration) *Scenario {
	r := rand.New(rand.NewPCG(seed, 0x50a4))
	scenario := &Scenario{Seed: seed, Nodes: 3 + r.IntN(4), Length: Duration(length), Rate: 4 + 16*r.Float64(), Deployment: drawDeployment(r),
		Callers: drawCallers(r)}
	faultPatterns[seed%uint64(len(faultPatterns))](scenario, r)
	for range 2 + r.IntN(5) {
		scenario.addFault(r, backgroundKinds[r.IntN(len(backgroundKinds))], randomDuration(r, 0, length),
			randomDuration(r, time.Second, 6*time.Second))
	}
	scenario.addLaterKinds(rand.New(rand.NewPCG(seed, 0x50a5)))
	return scenario
}

// addLaterKinds has other call servers' calls in large trunk groups, offices replaced at once by successors that had started
// before, a client at full speed and a slow crowd. It draws from a source of its own, so that the rest of a scenario is the same without it.
func (s *Scenario) addLaterKinds(r *rand.Rand) {
	if s.Deployment.Circuits == 0 && r.IntN(2) == 0 {
		s.Deployment.OtherCircuits = 50 + r.IntN(250)
	}
	for range r.IntN(3) {
		s.addFault(r, ReplaceEarlyStart, randomDuration(r, 2*time.Second, time.Duration(s.Length)),
			randomDuration(r, 300*time.Millisecond, 700*time.Millisecond)).EarlyStart = Duration(randomDuration(r, 0, 500*time.Millisecond))
	}
	if r.IntN(3) == 0 {
		fault := s.addFault(r, FullSpeedClient, randomDuration(r, 0, time.Duration(s.Length)), randomDuration(r, 2*time.Second, 5*time.Second))
		fault.Variant, fault.Unread = r.IntN(2*len(fullSpeedRequests)), r.IntN(3) == 0
		fault.Node = max(0, fault.Node) // one of them keeps a core of the process that plays callers and offices busy
	}
	if r.IntN(4) == 0 {
		fault := s.addFault(r, SlowCrowd, randomDuration(r, 0, time.Duration(s.Length)), randomDuration(r, 2*time.Second, 5*time.Second))
		fault.Variant, fault.Node = r.IntN(2*len(crowdRequests())), r.IntN(s.Nodes)
	}
}

// randomDuration draws a duration in whole milliseconds above the shortest one.
func randomDuration(r *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.Float64()*float64(longest-shortest)).Round(time.Millisecond)
}

// addFault adds a fault at a random call server and office.
func (s *Scenario) addFault(r *rand.Rand, kind Kind, at, duration time.Duration) *Fault {
	node := r.IntN(s.Nodes)
	if r.IntN(3) == 0 {
		node = -1
	}
	if kind == Restart || kind == RestartWithReload || kind == Kill {
		node = r.IntN(s.Nodes)
	}
	s.Faults = append(s.Faults, Fault{Kind: kind, At: Duration(at), For: Duration(duration), Node: node, Exchange: r.IntN(s.Nodes),
		HasSuccessor: r.IntN(2) == 0, AnnouncedLate: r.IntN(2) == 0})
	return &s.Faults[len(s.Faults)-1]
}

// drawDeployment draws the settings of a Scenario.
func drawDeployment(r *rand.Rand) Deployment {
	names := []string{"voice", "status-check", "refund", "bulk", "x"}
	r.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	deployment := Deployment{Attempts: 1 + r.IntN(5), Cancels: r.IntN(3) > 0, Probes: r.IntN(2) == 0,
		Hold: Duration(randomDuration(r, time.Second, 8*time.Second)), Descriptors: 192 + r.IntN(800), MemoryMB: 48 + r.IntN(100),
		PushesUpdates: r.IntN(2) == 0}
	if r.IntN(3) == 0 { // few circuits, so that calls overflow to two-leg calls
		deployment.Circuits, deployment.PushesUpdates = 8+r.IntN(40), true
	}
	if r.IntN(3) == 0 {
		deployment.PieceInterval = Duration(randomDuration(r, 0, 20*time.Millisecond))
	}
	for _, name := range names[:1+r.IntN(3)] {
		deadline := randomDuration(r, 300*time.Millisecond, 4*time.Second)
		if r.IntN(3) == 0 {
			deadline = randomDuration(r, 4*time.Second, 20*time.Second)
		}
		deployment.Classes = append(deployment.Classes, Class{Name: name, Worth: 0.3 + 5*r.Float64(), Deadline: Duration(deadline),
			Aim: Duration(time.Duration(float64(deadline) * (0.1 + 0.5*r.Float64()))), Width: 1 + r.IntN(3)})
	}
	return deployment
}

// drawCallers draws the behaviour of the callers.
func drawCallers(r *rand.Rand) Callers {
	share := func(limit float64) float64 { return float64(int(r.Float64()*limit*100)) / 100 }
	return Callers{Connections: 2 + r.IntN(6), CancelShare: share(0.15), DisconnectShare: share(0.06), InPiecesShare: share(0.1),
		SlowShare: share(0.03), HangUpShare: share(0.3), RetryShare: share(0.5), AnswersByes: r.IntN(4) > 0}
}

// backgroundKinds are the kinds of the random faults of each Scenario.
var backgroundKinds = []Kind{Partition, OneWayOut, OneWayIn, Hang, CorruptAnswers, Resets, LateConnections, EarlyClose,
	DiscoveryDown, DiscoveryPartitioned, DiscoveryUnresponsive, DiscoverySlow, DiscoveryTruncated, Reload, ReloadSeries, Restart, RestartWithReload,
	Kill, ConnectionFlood, UnknownClients, Crash, Replace}

// faultPatterns are combinations of related faults. The seed of a Scenario selects one.
var faultPatterns = []func(scenario *Scenario, r *rand.Rand){patternLostOffices, patternFailureLimit, patternShutdowns, patternDiscovery,
	patternPeers, patternNetwork, patternReplaced, patternNoCallers}

// firstFaultAt is the time at which the faults of most patterns begin, give or take a second; calls are established by then.
const firstFaultAt = 5 * time.Second

// patternLostOffices loses offices with established calls while service discovery is down or silent.
func patternLostOffices(scenario *Scenario, r *rand.Rand) {
	kinds := []Kind{DiscoveryDown, DiscoveryPartitioned, DiscoveryUnresponsive}
	scenario.Deployment.Hold = Duration(randomDuration(r, 6*time.Second, 15*time.Second))
	at := randomDuration(r, firstFaultAt, firstFaultAt+3*time.Second)
	scenario.addFault(r, kinds[r.IntN(len(kinds))], at-500*time.Millisecond, randomDuration(r, 10*time.Second, 14*time.Second)).Node = -1
	for range 1 + r.IntN(2) {
		scenario.addFault(r, MachineLost, at, randomDuration(r, 9*time.Second, 13*time.Second)).AnnouncedLate = true
	}
}

// patternFailureLimit has a partition heal just before or after the offices behind it count as failed.
func patternFailureLimit(scenario *Scenario, r *rand.Rand) {
	scenario.Deployment.Hold = Duration(15 * time.Second)
	limit := liveness.FailAfter
	duration := limit - 200*time.Millisecond
	if r.IntN(2) == 0 {
		duration = limit + 200*time.Millisecond
	}
	scenario.addFault(r, DiscoveryUnresponsive, firstFaultAt-time.Second, 12*time.Second).Node = -1
	scenario.addFault(r, Partition, firstFaultAt, duration)
	scenario.addFault(r, Partition, firstFaultAt+time.Second, randomDuration(r, time.Second, 7*time.Second))
}

// patternShutdowns restarts call servers one after another while offices hang, end or are replaced.
func patternShutdowns(scenario *Scenario, r *rand.Rand) {
	at := firstFaultAt
	for i := range scenario.Nodes {
		kind := Restart
		if r.IntN(2) == 0 {
			kind = RestartWithReload
		}
		scenario.addFault(r, kind, at, randomDuration(r, 0, 2*time.Second)).Node = i
		at += randomDuration(r, 200*time.Millisecond, 2*time.Second)
	}
	kinds := []Kind{Hang, HangThenCrash, MachineLost, CrashAndReplace}
	for range 2 {
		scenario.addFault(r, kinds[r.IntN(len(kinds))], randomDuration(r, firstFaultAt-time.Second, firstFaultAt+2*time.Second),
			randomDuration(r, 2*time.Second, 7*time.Second)).HasSuccessor = true
	}
}

// patternDiscovery has a fault of service discovery, a drain close to its end, and new configurations in quick succession.
func patternDiscovery(scenario *Scenario, r *rand.Rand) {
	kinds := []Kind{DiscoveryDown, DiscoveryPartitioned, DiscoveryUnresponsive, DiscoverySlow, DiscoveryTruncated}
	duration := randomDuration(r, 2*time.Second, 9*time.Second)
	scenario.addFault(r, kinds[r.IntN(len(kinds))], firstFaultAt, duration).Node = -1
	offset := []time.Duration{-5 * time.Millisecond, 5 * time.Millisecond}[r.IntN(2)]
	scenario.addFault(r, Replace, firstFaultAt+duration+offset, randomDuration(r, time.Second, 3*time.Second))
	at := firstFaultAt + duration
	for range 4 {
		kind := []Kind{Reload, ReloadSeries}[r.IntN(2)]
		scenario.addFault(r, kind, at, 0)
		at += randomDuration(r, 0, 2*time.Second)
	}
}

// patternPeers has misbehaving callers, unknown clients, a connection flood and corrupted answers of offices.
func patternPeers(scenario *Scenario, r *rand.Rand) {
	scenario.Callers.CancelShare, scenario.Callers.DisconnectShare, scenario.Callers.InPiecesShare = 0.15, 0.08, 0.15
	scenario.addFault(r, UnknownClients, firstFaultAt, 6*time.Second).Node = -1
	scenario.addFault(r, ConnectionFlood, firstFaultAt+time.Second, 5*time.Second)
	for range 2 {
		scenario.addFault(r, CorruptAnswers, randomDuration(r, 2*time.Second, firstFaultAt), randomDuration(r, 3*time.Second, 10*time.Second))
	}
}

// patternNetwork has partitions, one-way losses, resets, and connections that are established late or closed early.
func patternNetwork(scenario *Scenario, r *rand.Rand) {
	kinds := []Kind{Partition, OneWayOut, OneWayIn, Resets, LateConnections, EarlyClose}
	for range 6 {
		scenario.addFault(r, kinds[r.IntN(len(kinds))], randomDuration(r, 2*time.Second, firstFaultAt+6*time.Second),
			randomDuration(r, 500*time.Millisecond, 6*time.Second))
	}
}

// patternReplaced starts successors at the addresses of offices while service discovery cannot announce them.
func patternReplaced(scenario *Scenario, r *rand.Rand) {
	scenario.Deployment.Hold = Duration(randomDuration(r, 6*time.Second, 15*time.Second))
	scenario.addFault(r, DiscoveryUnresponsive, firstFaultAt-time.Second, randomDuration(r, 11*time.Second, 14*time.Second)).Node = -1
	scenario.addFault(r, CrashAndReplace, firstFaultAt, randomDuration(r, 9*time.Second, 12*time.Second))
	scenario.addFault(r, HangThenCrash, firstFaultAt+time.Second, randomDuration(r, 2*time.Second, 6*time.Second)).HasSuccessor = true
}

// patternNoCallers loses an office while no caller is connected; callers connect again later.
func patternNoCallers(scenario *Scenario, r *rand.Rand) {
	scenario.Deployment.Hold = Duration(15 * time.Second)
	scenario.addFault(r, DiscoveryDown, firstFaultAt-200*time.Millisecond, 12*time.Second).Node = -1
	scenario.addFault(r, CallersDisconnected, firstFaultAt-100*time.Millisecond, 6*time.Second).Node = -1
	scenario.addFault(r, MachineLost, firstFaultAt, 12*time.Second).AnnouncedLate = true
}
