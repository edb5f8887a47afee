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
    private val testSubject = PoisonRegister()

    @Test
    fun `a poison request takes two targets down at most over resends through three daemons`() = forEachSeed(1L..50L) {
        val cluster = PoisonCluster(this, daemons = 3, hosts = 6, poison)
        (0 until 12).forEach { cluster.want(it % 3, CallFingerprint("innocent$it"), "i$it") }
        (0 until 6).forEach { resend ->
            after(Duration.ofSeconds(1L + resend)) { cluster.want(resend % 3, poison, "p$resend") }
        }
        run(Duration.ofSeconds(60))

        check(cluster.losses == 2) { "${cluster.losses} targets lost" }
        val refused = cluster.refused.filterKeys { it.value.startsWith("p") }
        check(refused.isNotEmpty() && refused.values.all { it == RefusalReason.POISON_REQUEST }) { "$refused" }
        check(cluster.completed.count { it.value.startsWith("i") } == 12) { "innocents: ${cluster.completed}" }
    }

    @Test
    fun `the same loss counts once however often it is reported`() {
        val loss = TargetLoss(HostId("h"), BootId("b"))
        val started = running(loss)

        val struck = listOf(PoisonEvent.TargetLost(loss), heard(loss), heard(loss)).fold(started, ::after)

        assertEquals(1, struck.strikesOf(poison, PoisonSettings(), Instant.EPOCH))
    }

    @Test
    fun `a target is never given two suspects`() {
        val first = struck(CallFingerprint("x"), CallFingerprint("y"))

        val placed = testSubject.handle(first, want("x"), Instant.EPOCH)
        val second = testSubject.handle(placed.state, want("y"), Instant.EPOCH)

        assertIs<PoisonDecision.Place>(placed.decisions.single())
        assertIs<PoisonDecision.Postpone>(second.decisions.single())
    }

    @Test
    fun `without the permits' owner a suspect is not sent`() {
        val owner =
            (1..50).map { DaemonId("o$it") }.first { other ->
                PoisonState(DaemonId("d"), setOf(DaemonId("d"), other)).permitOwner == other
            }
        val state = struck(CallFingerprint("x")).copy(daemons = setOf(DaemonId("d"), owner))

        val asked = testSubject.handle(state, want("x"), Instant.EPOCH)
        val denied = testSubject.handle(asked.state, PoisonEvent.PermitAnswered(RequestId("x"), false), Instant.EPOCH)

        assertIs<PoisonDecision.AskPermit>(asked.decisions.single())
        assertIs<PoisonDecision.Postpone>(denied.decisions.single())
    }

    @Test
    fun `the owner gives no permit for a request that it knows to be poison`() {
        val losses = listOf("b1", "b2").map { TargetLoss(HostId("old"), BootId(it)) }
        val struck = losses.map { heard(it) }.fold(PoisonState(DaemonId("d")), ::after)
        val permit = Permit(poison, HostId("h"), DaemonId("e"))

        val answer = testSubject.handle(struck, PoisonEvent.PermitAsked(RequestId("r"), permit), Instant.EPOCH)

        assertEquals(PoisonDecision.AnswerPermit(DaemonId("e"), RequestId("r"), false), answer.decisions.single())
    }

    @Test
    fun `identical requests at one daemon go to one target`() {
        val state = running(TargetLoss(HostId("h1"), BootId("b")))
        val copy = PoisonEvent.PlacementWanted(RequestId("r"), poison, HostId("h2"), mayHaveRun = false)

        val decisions = testSubject.handle(state, copy, Instant.EPOCH).decisions

        assertEquals(listOf(PoisonDecision.Place(RequestId("r"), HostId("h1"))), decisions)
    }

    @Test
    fun `only a report asked for after the strike lifts it`() {
        val loss = TargetLoss(HostId("h"), BootId("b"))
        val at = Instant.EPOCH.plusSeconds(10)
        val broken = testSubject.handle(running(loss), PoisonEvent.AttemptBroken(AttemptId("a")), at).state

        val stale = after(broken, PoisonEvent.TargetProvedAlive(loss, at.minusSeconds(1)))
        val fresh = after(broken, PoisonEvent.TargetProvedAlive(loss, at.plusSeconds(1)))

        assertEquals(1, stale.strikesOf(poison, PoisonSettings(), at))
        assertEquals(0, fresh.strikesOf(poison, PoisonSettings(), at))
    }

    @Test
    fun `a strike expires`() {
        val struck = struck(poison)

        assertEquals(0, struck.strikesOf(poison, PoisonSettings(), Instant.EPOCH.plus(Duration.ofHours(25))))
        assertTrue(struck.strikesOf(poison, PoisonSettings(), Instant.EPOCH) > 0)
    }

    private fun after(
        state: PoisonState,
        event: PoisonEvent,
    ): PoisonState = testSubject.handle(state, event, Instant.EPOCH).state

    private fun running(target: TargetLoss): PoisonState =
        after(PoisonState(DaemonId("d")), PoisonEvent.AttemptStarted(AttemptId("a"), poison, target))

    private fun heard(loss: TargetLoss) =
        PoisonEvent.PeerReported(DaemonId("e"), setOf(Strike(poison, loss, Instant.EPOCH)), emptySet())

    private fun struck(vararg fingerprints: CallFingerprint): PoisonState {
        val loss = TargetLoss(HostId("old"), BootId("b"))
        val strikes = fingerprints.map { Strike(it, loss, Instant.EPOCH) }.toSet()
        return after(PoisonState(DaemonId("d")), PoisonEvent.PeerReported(DaemonId("e"), strikes, emptySet()))
    }

    private fun want(name: String) =
        PoisonEvent.PlacementWanted(RequestId(name), CallFingerprint(name), HostId("h"), mayHaveRun = false)
}

/** Daemons and targets; a target that runs [poison] dies at once with all that it runs, and restarts. */
private class PoisonCluster(
    private val scenario: Scenario,
    daemons: Int,
    private val hosts: Int,
    private val poison: CallFingerprint,
) {
    private val testSubject = PoisonRegister()
    private val ids = List(daemons) { DaemonId("d$it") }
    private val states = ids.associateWith { PoisonState(it, ids.toSet()) }.toMutableMap()
    private val wanted = mutableMapOf<RequestId, CallFingerprint>()
    private val boots = mutableMapOf<HostId, Int>()
    private var attempts = 0
    var losses = 0
    val completed = mutableSetOf<RequestId>()
    val refused = mutableMapOf<RequestId, RefusalReason>()

    fun want(
        daemon: Int,
        fingerprint: CallFingerprint,
        name: String,
    ) {
        wanted[RequestId(name)] = fingerprint
        retry(ids[daemon], RequestId(name))
    }

    private fun retry(
        daemon: DaemonId,
        request: RequestId,
    ) {
        val host = HostId("h${scenario.random.nextInt(hosts)}")
        feed(daemon, PoisonEvent.PlacementWanted(request, wanted.getValue(request), host, mayHaveRun = false))
    }

    private fun feed(
        daemon: DaemonId,
        event: PoisonEvent,
    ) {
        val transition = testSubject.handle(states.getValue(daemon), event, scenario.now)
        states[daemon] = transition.state
        transition.decisions.forEach { carryOut(daemon, it) }
    }

    private fun carryOut(
        daemon: DaemonId,
        decision: PoisonDecision,
    ) {
        scenario.note("$daemon $decision")
        when (decision) {
            is PoisonDecision.Place -> {
                run(daemon, decision.request, decision.host)
            }

            is PoisonDecision.Forward -> {
                error("nothing is passed on here")
            }

            is PoisonDecision.AskPermit -> {
                soon { feed(decision.owner, PoisonEvent.PermitAsked(decision.request, decision.permit)) }
            }

            is PoisonDecision.AnswerPermit -> {
                soon { feed(decision.to, PoisonEvent.PermitAnswered(decision.request, decision.granted)) }
            }

            is PoisonDecision.ReturnPermit -> {
                soon { feed(decision.owner, PoisonEvent.PermitReturned(decision.permit)) }
            }

            is PoisonDecision.Postpone -> {
                scenario.after(Duration.ofMillis(200)) { retry(daemon, decision.request) }
            }

            is PoisonDecision.Refuse -> {
                refused[decision.request] = decision.refusal.reason
            }

            is PoisonDecision.TellPeers -> {
                (ids - daemon).forEach { peer ->
                    soon {
                        feed(
                            peer,
                            PoisonEvent.PeerReported(daemon, decision.strikes, states.getValue(daemon).held),
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
        val target = TargetLoss(host, BootId("$host-$boot"))
        feed(daemon, PoisonEvent.AttemptStarted(attempt, wanted.getValue(request), target))
        if (wanted.getValue(request) == poison) scenario.after(Duration.ofMillis(100)) { crash(host, boot) }
        scenario.after(Duration.ofSeconds(3)) { finish(daemon, attempt, request, host, boot) }
        pending[attempt] = Triple(daemon, request, target)
    }

    private val pending = mutableMapOf<AttemptId, Triple<DaemonId, RequestId, TargetLoss>>()

    private fun crash(
        host: HostId,
        boot: Int,
    ) {
        if (boots.getOrDefault(host, 0) != boot) return
        boots[host] = boot + 1
        losses++
        val loss = TargetLoss(host, BootId("$host-$boot"))
        val hit = pending.filterValues { it.third == loss }
        pending.keys.removeAll(hit.keys)
        ids.forEach { feed(it, PoisonEvent.TargetLost(loss)) }
        hit.values.forEach { (daemon, request, _) -> scenario.after(Duration.ofMillis(50)) { retry(daemon, request) } }
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

    private fun soon(action: () -> Unit) = scenario.after(Duration.ofMillis(1 + scenario.random.nextLong(5)), action)
}
