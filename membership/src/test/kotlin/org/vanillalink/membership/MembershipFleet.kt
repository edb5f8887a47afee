/*
 * Membership aggregates of several daemons on virtual time, connected by unreliable links.
 */
package org.vanillalink.membership

import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.testing.LinkBehaviour
import org.vanillalink.testing.Scenario
import org.vanillalink.testing.UnreliableLink
import java.time.Duration

internal class MembershipFleet(
    val scenario: Scenario,
    domains: List<String>,
    seedCount: Int = 1,
) {
    private val identities = domains.mapIndexed { index, domain -> identity(index, FailureDomainId(domain), "first") }
    val daemons =
        identities.map {
            MemberDaemon(
                it,
                this,
                identities.take(seedCount).map { seed ->
                    seed.endpoints.peers
                },
            )
        }
    private val links = daemons.associateWith { to -> daemons.associateWith { link(to) } }

    init {
        daemons.forEach { it.start() }
    }

    private fun link(to: MemberDaemon) = UnreliableLink<Any>(scenario) { to.receive(it) }

    fun daemonAt(endpoint: Endpoint): MemberDaemon = daemons.first { it.identity.endpoints.peers == endpoint }

    fun daemonNamed(daemon: DaemonId): MemberDaemon = daemons.first { it.identity.daemon == daemon }

    fun send(
        from: MemberDaemon,
        to: MemberDaemon,
        message: Any,
    ) = links.getValue(to).getValue(from).send(message)

    fun setLinks(
        behaviour: LinkBehaviour,
        matches: (MemberDaemon, MemberDaemon) -> Boolean = { _, _ -> true },
    ) = links.forEach { (to, senders) ->
        senders.filterKeys { matches(it, to) }.values.forEach { it.behaviour = behaviour }
    }

    fun run(seconds: Long) = scenario.run(Duration.ofSeconds(seconds))
}

internal fun identity(
    index: Int,
    failureDomain: FailureDomainId,
    boot: String,
): DaemonIdentity {
    fun endpoint(port: Int) = Endpoint("10.0.0.$index", port)
    return DaemonIdentity(
        DaemonId("d$index"),
        BootId(boot),
        failureDomain,
        DaemonEndpoints(endpoint(8080), endpoint(8081), endpoint(8082)),
    )
}

internal class MemberDaemon(
    var identity: DaemonIdentity,
    private val fleet: MembershipFleet,
    private val seeds: List<Endpoint>,
) {
    private val rules = Membership()
    private var currentInstance = 0
    lateinit var state: MembershipState
    var running = false
    val changes = mutableListOf<Pair<DaemonId, PeerChange>>()
    val strikes = mutableListOf<String>()
    var sent = 0
    var itemsSent = 0

    fun start() {
        running = true
        val startedInstance = ++currentInstance
        state = MembershipState(identity, seeds)
        scheduleTick(startedInstance)
    }

    fun restart(boot: String) {
        identity = identity.copy(boot = BootId(boot))
        start()
    }

    fun stop() {
        running = false
        currentInstance++
    }

    private fun scheduleTick(startedInstance: Int) {
        fleet.scenario.after(Duration.ofMillis(200)) {
            if (currentInstance == startedInstance) {
                feed(MembershipEvent.Tick)
                scheduleTick(startedInstance)
            }
        }
    }

    fun receive(message: Any) {
        if (!running) return
        when (message) {
            is Heartbeat -> feed(MembershipEvent.HeartbeatReceived(message), fleet.daemonNamed(message.identity.daemon))
            is HeartbeatAnswer -> feed(MembershipEvent.HeartbeatAnswered(message))
        }
    }

    fun feed(
        event: MembershipEvent,
        requester: MemberDaemon? = null,
    ) {
        val transition = rules.handle(state, event, fleet.scenario.now)
        state = transition.state
        transition.decisions.forEach { execute(it, requester) }
    }

    private fun execute(
        decision: MembershipDecision,
        requester: MemberDaemon?,
    ) {
        when (decision) {
            is MembershipDecision.SendHeartbeat -> {
                sent++
                itemsSent += decision.heartbeat.items.size
                fleet.send(this, fleet.daemonAt(decision.endpoint), decision.heartbeat)
            }

            is MembershipDecision.AnswerHeartbeat -> {
                requester?.let { fleet.send(this, it, decision.answer) }
            }

            is MembershipDecision.StrikeReceived -> {
                strikes.add(decision.strike.id)
            }

            is MembershipDecision.RecordPeerChange -> {
                fleet.scenario.note("${identity.daemon} sees ${decision.peer.daemon} ${decision.change}")
                changes.add(decision.peer.daemon to decision.change)
            }

            is MembershipDecision.RevisionReceived,
            is MembershipDecision.FencingNumberReceived,
            is MembershipDecision.ActiveDaemonsChanged,
            -> {
                Unit
            }
        }
    }
}
