package org.vanillalink.gateway.peers

import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.serving.balancing.RequestFingerprint
import org.vanillalink.serving.balancing.Strike
import org.vanillalink.serving.control.AnnouncedGroup
import org.vanillalink.serving.peers.ControlledDomain
import org.vanillalink.serving.peers.PeerMessage
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetInstance
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class PeerMessageCodecTest {
    private val testSubject = PeerMessageCodec
    private val key = GroupKey("ikeja-m0-7", 7)
    private val message =
        PeerMessage(
            daemon = DaemonId("a"),
            failureDomain = FailureDomainId("ikeja"),
            endpoint = Endpoint("10.0.0.1", 7_340),
            startedAt = 5,
            sequence = 6,
            storeAge = 7,
            isLeaving = true,
            period = 100,
            inFlight = mapOf(HostId("i-1") to 3),
            demand = mapOf("m0" to 1.5),
            suspects = setOf(key),
            strikes = listOf(Strike(RequestFingerprint("f"), HostId("i-2"))),
            leaving = setOf(TargetInstance(HostId("i-3"), 8), TargetInstance(HostId("i-4"), null)),
            controlled =
                listOf(
                    ControlledDomain(
                        FailureDomainId("ikeja"),
                        2,
                        listOf(AnnouncedGroup(key, "m0", listOf(HostId("i-1"), HostId("i-2")))),
                        setOf(GroupKey("ikeja-m0-6", 6)),
                    ),
                    ControlledDomain(FailureDomainId("lekki"), 3, null, emptySet(), isSameAsBefore = true),
                ),
        )

    @Test
    fun `an encoded message is decoded unchanged`() {
        assertEquals(message, testSubject.decode(testSubject.encode(message)).getOrNull())
    }

    @Test
    fun `a message with a missing field is malformed`() {
        val content = testSubject.encode(message).decodeToString().replace("\"sequence\"", "\"other\"")

        assertTrue(testSubject.decode(content.toByteArray()).isLeft())
    }

    @Test
    fun `content other than a JSON object is malformed`() {
        assertTrue(testSubject.decode("[1".toByteArray()).isLeft())
        assertTrue(testSubject.decode("7".toByteArray()).isLeft())
    }
}
