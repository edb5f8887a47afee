package org.vanillalink.gateway.peers

import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.serving.peers.HeartbeatRole
import org.vanillalink.serving.peers.HeartbeatSchedule
import org.vanillalink.serving.peers.PeerMessage
import kotlin.test.Test
import kotlin.test.assertTrue

/** Pattern: narrow links. Callers' bytes wait behind what daemons tell each other. */
internal class PeerMessageSizeTest {
    private val role = HeartbeatRole(isRepresentative = false, daemonsInDomain = 12, failureDomainCount = 3)
    private val message =
        PeerMessage(
            daemon = DaemonId("edge-apapa-12"),
            failureDomain = FailureDomainId("apapa"),
            endpoint = Endpoint("10.2.0.40", 7_340),
            startedAt = 1_778_560_409_160,
            sequence = 123_456,
            storeAge = 1_200,
            isLeaving = false,
            period = HeartbeatSchedule.periodWithinDomain(role),
            inFlight = (1..TARGETS_IN_USE).associate { HostId("i-c94d8f36$it") to 1 },
            demand = emptyMap(),
            suspects = emptySet(),
            strikes = emptyList(),
            leaving = emptySet(),
            controlled = emptyList(),
        )

    // Guards against heartbeats that fill links, so that a caller's leaving reaches targets seconds late (issue 14).
    @Test
    fun `what a daemon of a fleet of 32 tells its peers fits its budget for control`() {
        val localBytes =
            (role.daemonsInDomain - 1) * messageBytes(message) * MILLISECONDS_PER_SECOND /
                HeartbeatSchedule.periodWithinDomain(role)
        val remoteDaemons = role.daemonsInDomain * (role.failureDomainCount - 1)
        val remoteBytes =
            remoteDaemons * messageBytes(message.copy(inFlight = emptyMap())) * MILLISECONDS_PER_SECOND /
                HeartbeatSchedule.periodAcrossDomains(role)

        assertTrue(localBytes + remoteBytes <= BUDGET_BYTES_PER_SECOND, "$localBytes and $remoteBytes bytes a second")
    }

    private fun messageBytes(message: PeerMessage): Long = PeerMessageCodec.encode(message).size.toLong()

    private companion object {
        /** Targets that one daemon has requests at, at ten requests a second. */
        const val TARGETS_IN_USE = 15
        const val MILLISECONDS_PER_SECOND = 1_000L

        /** Bytes a second, by letter 1. */
        const val BUDGET_BYTES_PER_SECOND = 23_000L
    }
}
