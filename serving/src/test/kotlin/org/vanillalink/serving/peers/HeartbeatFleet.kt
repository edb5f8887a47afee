package org.vanillalink.serving.peers

import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.serving.balancing.PoisonReport

/** Daemons that exchange heartbeats at once, except over paths that are cut. */
internal class HeartbeatFleet(
    daemonsByDomain: Map<FailureDomainId, Int>,
) {
    inner class Daemon(
        val id: DaemonId,
        val failureDomain: FailureDomainId,
    ) {
        var directory = PeerDirectory()
        var isRunning = true
        var isOfEarlierVersion = false
        var controlled: List<ControlledDomain> = emptyList()
        private val sentAt = HashMap<DaemonId, Long>()
        private val membersSentAt = HashMap<DaemonId, Long>()
        private var sequence = 0L
        val own get() = OwnState(id, failureDomain, storeAge = 0, isLeaving = false)
        val status get() = OwnStatus(own, directory, controlled, failureDomainCount, now)

        fun sendDue() {
            val routes = status.routes(emptySet())
            val known = daemons.keys - id
            val paths = if (isOfEarlierVersion) pathsOfEarlierVersion(known) else routes.paths(known)
            paths.forEach { (peer, path) -> if (isDue(peer, path)) send(peer, path, routes) }
        }

        private fun pathsOfEarlierVersion(known: Set<DaemonId>) = known.associateWith {
            val isSame = daemons.getValue(it).failureDomain == failureDomain
            if (isSame) HeartbeatPath.WITHIN_DOMAIN else HeartbeatPath.ACROSS_DOMAINS
        }

        private fun isDue(
            peer: DaemonId,
            path: HeartbeatPath,
        ) = now - (sentAt[peer] ?: Long.MIN_VALUE / 2) >= status.period(path)

        private fun send(
            peer: DaemonId,
            path: HeartbeatPath,
            routes: HeartbeatRoutes,
        ) {
            sequence += 1
            sentAt[peer] = now
            val listsMembers =
                !path.isWithinDomain && !isOfEarlierVersion &&
                    now - (membersSentAt[peer] ?: Long.MIN_VALUE / 2) >= HeartbeatSchedule.MEMBERS_PERIOD_MILLISECONDS
            if (listsMembers) membersSentAt[peer] = now
            val message =
                heartbeat(id, failureDomain).copy(
                    sequence = sequence,
                    period = status.period(path),
                    controlled = controlled,
                    canRelay = !isOfEarlierVersion,
                    isForDomain = path == HeartbeatPath.TO_REPRESENTATIVE,
                    members = if (listsMembers) status.members() else emptyList(),
                    unheard = if (path.isWithinDomain) emptySet() else routes.unheardDomains,
                )
            deliver(this, daemons.getValue(peer), message)
        }

        fun receive(message: PeerMessage) {
            val isNews = directory.isNews(message)
            directory = directory.withMessage(message, now)
            val isToBeRelayed = message.isForDomain && message.relayedBy == null && isNews
            if (!isToBeRelayed || isOfEarlierVersion) return
            daemons.values.filter { it.failureDomain == failureDomain && it !== this }.forEach {
                deliver(this, it, message.copy(relayedBy = id))
            }
        }

        /** Whether messages of a live daemon of [domain] keep arriving here. */
        fun hears(domain: FailureDomainId) =
            directory.alivePeers(now).any { !it.isListed && it.message.failureDomain == domain }
    }

    private val failureDomainCount = daemonsByDomain.size
    val daemons: Map<DaemonId, Daemon> =
        daemonsByDomain
            .flatMap { (domain, count) -> (1..count).map { Daemon(DaemonId("$domain-$it"), domain) } }
            .associateBy { it.id }
    var now = 0L
    var datagramsAcrossDomains = 0

    /** Whether datagrams from the first daemon to the second are lost. */
    var isCut: (Daemon, Daemon) -> Boolean = { _, _ -> false }

    fun running(domain: FailureDomainId? = null) =
        daemons.values.filter { it.isRunning && (domain == null || it.failureDomain == domain) }

    fun representative(domain: FailureDomainId) = running(domain).single { it.status.representsDomain }

    /** Runs for [milliseconds]; [check] is called at each step. */
    fun run(
        milliseconds: Long,
        check: () -> Unit = {},
    ) {
        val end = now + milliseconds
        while (now < end) {
            now += STEP_MILLISECONDS
            running().forEach { it.sendDue() }
            check()
        }
    }

    private fun deliver(
        from: Daemon,
        to: Daemon,
        message: PeerMessage,
    ) {
        if (from.failureDomain != to.failureDomain) datagramsAcrossDomains += 1
        if (to.isRunning && !isCut(from, to)) to.receive(message)
    }

    private companion object {
        const val STEP_MILLISECONDS = 50L
    }
}

internal fun heartbeat(
    daemon: DaemonId,
    failureDomain: FailureDomainId,
) = PeerMessage(
    daemon = daemon,
    failureDomain = failureDomain,
    endpoint = Endpoint("10.0.0.1", 1),
    startedAt = 1,
    sequence = 1,
    storeAge = 0,
    isLeaving = false,
    period = HeartbeatSchedule.MIN_PERIOD_MILLISECONDS,
    inFlight = emptyMap(),
    demand = emptyMap(),
    suspects = emptySet(),
    poison = PoisonReport(),
    leaving = emptySet(),
    controlled = emptyList(),
)
