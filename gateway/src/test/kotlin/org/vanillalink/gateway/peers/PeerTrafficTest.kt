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
internal class PeerTrafficTest {
    private val part = HeartbeatRole(isRepresentative = false, daemonsInDomain = 12, failureDomainCount = 3)
    private val message =
        PeerMessage(
            daemon = DaemonId("edge-apapa-12"),
            failureDomain = FailureDomainId("apapa"),
            endpoint = Endpoint("10.2.0.40", 7_340),
            startedAt = 1_778_560_409_160,
            sequence = 123_456,
            storeAge = 1_200,
            isLeaving = false,
            period = HeartbeatSchedule.periodWithinDomain(part),
            inFlight = (1..TARGETS).associate { HostId("i-c94d8f36$it") to 1 },
            demand = emptyMap(),
            suspects = emptySet(),
            strikes = emptyList(),
            leaving = emptySet(),
            controlled = emptyList(),
        )

    // Guards against heartbeats that fill links, so that a caller's leaving reaches targets seconds late (issue 14).
    @Test
    fun `what a daemon of a fleet of 32 tells its peers fits its budget for control`() {
        val inside =
            (part.daemonsInDomain - 1) * bytes(message) * MILLISECONDS / HeartbeatSchedule.periodWithinDomain(part)
        val elsewhere = part.daemonsInDomain * (part.failureDomainCount - 1)
        val outside =
            elsewhere * bytes(message.copy(inFlight = emptyMap())) * MILLISECONDS /
                HeartbeatSchedule.periodAcrossDomains(part)

        assertTrue(inside + outside <= BUDGET_BYTES, "$inside and $outside bytes a second")
    }

    private fun bytes(message: PeerMessage): Long = PeerMessageCodec.write(message).size.toLong()

    private companion object {
        /** Targets that one daemon has requests at, at ten requests a second. */
        const val TARGETS = 15
        const val MILLISECONDS = 1_000L

        /** Bytes a second, by letter 1. */
        const val BUDGET_BYTES = 23_000L
    }
}
