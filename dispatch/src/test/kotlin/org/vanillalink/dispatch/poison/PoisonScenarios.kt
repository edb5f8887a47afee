package org.vanillalink.dispatch.poison

import org.vanillalink.dispatch.record.CallFingerprint
import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import org.vanillalink.model.RefusalReason
import org.vanillalink.model.RequestId
import org.vanillalink.testing.Scenario
import org.vanillalink.testing.forEachSeed
import java.time.Duration
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class PoisonScenarios {
    private val poison = CallFingerprint("poison")
    private val testSubject = PoisonRequestTracker()

    @Test
    fun `a poison request crashes at most two targets across resends through three daemons`() = forEachSeed(1L..50L) {
        val cluster = PoisonCluster(this, daemons = 3, hosts = 6, poison)
        (0 until 12).forEach { cluster.requestPlacement(it % 3, CallFingerprint("innocent$it"), "i$it") }
        (0 until 6).forEach { resend ->
            after(Duration.ofSeconds(1L + resend)) { cluster.requestPlacement(resend % 3, poison, "p$resend") }
        }
        run(Duration.ofSeconds(60))

        check(cluster.losses == 2) { "${cluster.losses} targets lost" }
        val refused = cluster.refused.filterKeys { it.value.startsWith("p") }
        check(refused.isNotEmpty() && refused.values.all { it == RefusalReason.POISON_REQUEST }) { "$refused" }
        check(cluster.completed.count { it.value.startsWith("i") } == 12) { "innocents: ${cluster.completed}" }
    }

    @Test
    fun `the same loss counts once however often it is reported`() {
        val loss = TargetInstance(HostId("h"), BootId("b"))
        val started = running(loss)

        val state = listOf(PoisonEvent.TargetLost(loss), strikeReport(loss), strikeReport(loss)).fold(started, ::after)

        assertEquals(1, state.countStrikes(poison, PoisonSettings(), Instant.EPOCH))
    }

    @Test
    fun `a target never runs two suspects at once`() {
        val state = stateWithStrikes(CallFingerprint("x"), CallFingerprint("y"))

        val placed = testSubject.handle(state, requestPlacement("x"), Instant.EPOCH)
        val second = testSubject.handle(placed.state, requestPlacement("y"), Instant.EPOCH)

        assertIs<PoisonDecision.Place>(placed.decisions.single())
        assertIs<PoisonDecision.Postpone>(second.decisions.single())
    }

    @Test
    fun `a suspect is not sent without a permit from the owner of the permits`() {
        val owner =
            (1..50).map { DaemonId("o$it") }.first { other ->
                PoisonState(DaemonId("d"), setOf(DaemonId("d"), other)).permitOwner == other
            }
        val state = stateWithStrikes(CallFingerprint("x")).copy(activeDaemons = setOf(DaemonId("d"), owner))

        val requested = testSubject.handle(state, requestPlacement("x"), Instant.EPOCH)
        val denied =
            testSubject.handle(
                requested.state,
                PoisonEvent.PermitResponseReceived(RequestId("x"), false),
                Instant.EPOCH,
            )

        assertIs<PoisonDecision.RequestPermit>(requested.decisions.single())
        assertIs<PoisonDecision.Postpone>(denied.decisions.single())
    }

    @Test
    fun `the owner grants no permit for a request with two strikes`() {
        val losses = listOf("b1", "b2").map { TargetInstance(HostId("old"), BootId(it)) }
        val state = losses.map { strikeReport(it) }.fold(PoisonState(DaemonId("d")), ::after)
        val permit = Permit(poison, HostId("h"), DaemonId("e"))

        val answer = testSubject.handle(state, PoisonEvent.PermitRequested(RequestId("r"), permit), Instant.EPOCH)

        assertEquals(PoisonDecision.SendPermitResponse(DaemonId("e"), RequestId("r"), false), answer.decisions.single())
    }

    @Test
    fun `identical requests at one daemon are sent to one target`() {
        val state = running(TargetInstance(HostId("h1"), BootId("b")))
        val copy = PoisonEvent.PlacementRequested(RequestId("r"), poison, HostId("h2"), mayHaveRun = false)

        val decisions = testSubject.handle(state, copy, Instant.EPOCH).decisions

        assertEquals(listOf(PoisonDecision.Place(RequestId("r"), HostId("h1"))), decisions)
    }

    @Test
    fun `only a report requested after the strike removes it`() {
        val loss = TargetInstance(HostId("h"), BootId("b"))
        val at = Instant.EPOCH.plusSeconds(10)
        val broken = testSubject.handle(running(loss), PoisonEvent.AttemptConnectionLost(AttemptId("a")), at).state

        val stale = after(broken, PoisonEvent.TargetConfirmedAlive(loss, at.minusSeconds(1)))
        val fresh = after(broken, PoisonEvent.TargetConfirmedAlive(loss, at.plusSeconds(1)))

        assertEquals(1, stale.countStrikes(poison, PoisonSettings(), at))
        assertEquals(0, fresh.countStrikes(poison, PoisonSettings(), at))
    }

    @Test
    fun `a strike expires`() {
        val state = stateWithStrikes(poison)

        assertEquals(0, state.countStrikes(poison, PoisonSettings(), Instant.EPOCH.plus(Duration.ofHours(25))))
        assertTrue(state.countStrikes(poison, PoisonSettings(), Instant.EPOCH) > 0)
    }

    private fun after(
        state: PoisonState,
        event: PoisonEvent,
    ): PoisonState = testSubject.handle(state, event, Instant.EPOCH).state

    private fun running(target: TargetInstance): PoisonState =
        after(PoisonState(DaemonId("d")), PoisonEvent.AttemptStarted(AttemptId("a"), poison, target))

    private fun strikeReport(loss: TargetInstance) =
        PoisonEvent.PeerReported(DaemonId("e"), setOf(Strike(poison, loss, Instant.EPOCH)), emptySet())

    private fun stateWithStrikes(vararg fingerprints: CallFingerprint): PoisonState {
        val loss = TargetInstance(HostId("old"), BootId("b"))
        val strikes = fingerprints.map { Strike(it, loss, Instant.EPOCH) }.toSet()
        return after(PoisonState(DaemonId("d")), PoisonEvent.PeerReported(DaemonId("e"), strikes, emptySet()))
    }

    private fun requestPlacement(name: String) =
        PoisonEvent.PlacementRequested(RequestId(name), CallFingerprint(name), HostId("h"), mayHaveRun = false)
}

/** Daemons and targets. A target that runs [poison] crashes 100 ms later with all of its requests, and restarts. */
private class PoisonCluster(
    private val scenario: Scenario,
    daemons: Int,
    private val hosts: Int,
    private val poison: CallFingerprint,
) {
    private val testSubject = PoisonRequestTracker()
    private val daemonIds = List(daemons) { DaemonId("d$it") }
    private val states = daemonIds.associateWith { PoisonState(it, daemonIds.toSet()) }.toMutableMap()
    private val fingerprints = mutableMapOf<RequestId, CallFingerprint>()
    private val boots = mutableMapOf<HostId, Int>()
    private var attempts = 0
    var losses = 0
    val completed = mutableSetOf<RequestId>()
    val refused = mutableMapOf<RequestId, RefusalReason>()

    fun requestPlacement(
        daemon: Int,
        fingerprint: CallFingerprint,
        name: String,
    ) {
        fingerprints[RequestId(name)] = fingerprint
        retry(daemonIds[daemon], RequestId(name))
    }

    private fun retry(
        daemon: DaemonId,
        request: RequestId,
    ) {
        val host = HostId("h${scenario.random.nextInt(hosts)}")
        feed(daemon, PoisonEvent.PlacementRequested(request, fingerprints.getValue(request), host, mayHaveRun = false))
    }

    private fun feed(
        daemon: DaemonId,
        event: PoisonEvent,
    ) {
        val transition = testSubject.handle(states.getValue(daemon), event, scenario.now)
        states[daemon] = transition.state
        transition.decisions.forEach { execute(daemon, it) }
    }

    private fun execute(
        daemon: DaemonId,
        decision: PoisonDecision,
    ) {
        scenario.note("$daemon $decision")
        when (decision) {
            is PoisonDecision.Place -> {
                run(daemon, decision.request, decision.host)
            }

            is PoisonDecision.Forward -> {
                error("unexpected decision: this cluster forwards no request")
            }

            is PoisonDecision.RequestPermit -> {
                deliver { feed(decision.owner, PoisonEvent.PermitRequested(decision.request, decision.permit)) }
            }

            is PoisonDecision.SendPermitResponse -> {
                deliver {
                    feed(
                        decision.recipient,
                        PoisonEvent.PermitResponseReceived(decision.request, decision.isGranted),
                    )
                }
            }

            is PoisonDecision.ReturnPermit -> {
                deliver { feed(decision.owner, PoisonEvent.PermitReturned(decision.permit)) }
            }

            is PoisonDecision.Postpone -> {
                scenario.after(Duration.ofMillis(200)) { retry(daemon, decision.request) }
            }

            is PoisonDecision.Refuse -> {
                refused[decision.request] = decision.refusal.reason
            }

            is PoisonDecision.SendStrikes -> {
                (daemonIds - daemon).forEach { peer ->
                    deliver {
                        feed(
                            peer,
                            PoisonEvent.PeerReported(daemon, decision.strikes, states.getValue(daemon).heldPermits),
                        )
                    }
                }
            }
        }
    }

    private fun run(
        daemon: DaemonId,
        request: RequestId,
        host: HostId,
    ) {
        val boot = boots.getOrDefault(host, 0)
        val attempt = AttemptId("a${attempts++}")
        val target = TargetInstance(host, BootId("$host-$boot"))
        feed(daemon, PoisonEvent.AttemptStarted(attempt, fingerprints.getValue(request), target))
        if (fingerprints.getValue(request) == poison) scenario.after(Duration.ofMillis(100)) { crash(host, boot) }
        scenario.after(Duration.ofSeconds(3)) { finish(daemon, attempt, request, host, boot) }
        pending[attempt] = Triple(daemon, request, target)
    }

    private val pending = mutableMapOf<AttemptId, Triple<DaemonId, RequestId, TargetInstance>>()

    private fun crash(
        host: HostId,
        boot: Int,
    ) {
        if (boots.getOrDefault(host, 0) != boot) return
        boots[host] = boot + 1
        losses++
        val loss = TargetInstance(host, BootId("$host-$boot"))
        val affected = pending.filterValues { it.third == loss }
        pending.keys.removeAll(affected.keys)
        daemonIds.forEach { feed(it, PoisonEvent.TargetLost(loss)) }
        affected.values.forEach { (daemon, request, _) ->
            scenario.after(Duration.ofMillis(50)) { retry(daemon, request) }
        }
    }

    private fun finish(
        daemon: DaemonId,
        attempt: AttemptId,
        request: RequestId,
        host: HostId,
        boot: Int,
    ) {
        if (boots.getOrDefault(host, 0) != boot || pending.remove(attempt) == null) return
        completed.add(request)
        feed(daemon, PoisonEvent.AttemptEnded(attempt))
    }

    private fun deliver(action: () -> Unit) = scenario.after(Duration.ofMillis(1 + scenario.random.nextLong(5)), action)
}
