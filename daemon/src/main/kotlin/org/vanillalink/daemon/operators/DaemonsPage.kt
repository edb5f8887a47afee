/*
 * What a daemon knows of itself and of the other daemons.
 */
package org.vanillalink.daemon.operators

import org.vanillalink.control.DaemonControl
import org.vanillalink.membership.PeerState
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.ResponseWriter
import java.time.Clock
import java.time.Duration
import java.time.Instant

/** [isReachable] tells whether the platform answered the last call. */
internal class DaemonsPage(
    private val pages: StatusPages,
    private val health: HealthPages,
    private val clock: Clock,
    private val isReachable: () -> Boolean,
) : OperatorsPage {
    override fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) = pages.answer(response, ::describe)

    private fun describe(control: DaemonControl): DaemonsAnswer {
        val now = clock.instant()
        val identity = control.membershipState.identity
        val readiness = health.readiness(control.isReady)
        return DaemonsAnswer(
            daemon = identity.daemon.value,
            boot = identity.boot.value,
            failureDomain = identity.failureDomain.value,
            ready = readiness.ready,
            notReadyReason = readiness.reason,
            draining = health.draining,
            revision = control.replicaState.revision,
            ageMilliseconds = control.replicaState.age(now)?.toMillis(),
            platformReachable = isReachable(),
            control = controlOf(control),
            peers =
                control.membershipState.peers.values
                    .map { describe(it, now) }
                    .sortedBy { it.daemon },
        )
    }

    private fun describe(
        peer: PeerState,
        now: Instant,
    ) = PeerAnswer(
        daemon = peer.identity.daemon.value,
        boot = peer.identity.boot.value,
        failureDomain = peer.identity.failureDomain.value,
        operators = peer.identity.endpoints.operators,
        status = peer.status.name,
        heardMilliseconds = Duration.between(peer.lastReceivedAt, now).toMillis(),
        revision = peer.configurationRevision,
        heldFencingNumber = peer.heldFencingNumber?.value,
    )
}

/** Who controls the failure domain, by what [control] knows. */
internal fun controlOf(control: DaemonControl): ControlAnswer {
    val state = control.domainState.control
    val held = state.held
    val self = control.membershipState.identity.daemon
    val row = state.observed?.row
    val holder = if (held != null) self else row?.takeUnless { it.givenUp }?.holder?.daemon
    val number = held?.fencingNumber ?: state.highestObserved
    return ControlAnswer(holder?.value, number.value, held != null)
}
