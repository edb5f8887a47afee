package org.vanillalink.gateway.peers

import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.serving.balancing.PoisonReport
import org.vanillalink.serving.balancing.ReportedAnswer
import org.vanillalink.serving.balancing.ReportedBlock
import org.vanillalink.serving.balancing.ReportedLimit
import org.vanillalink.serving.balancing.ReportedLoss
import org.vanillalink.serving.balancing.ReportedProgress
import org.vanillalink.serving.balancing.ReportedSurvival
import org.vanillalink.serving.balancing.RequestFingerprint
import org.vanillalink.serving.balancing.RequestSignature
import org.vanillalink.serving.balancing.RequestTrait
import org.vanillalink.serving.balancing.TraitKind
import org.vanillalink.serving.control.AnnouncedGroup
import org.vanillalink.serving.peers.ControlledDomain
import org.vanillalink.serving.peers.DomainMember
import org.vanillalink.serving.peers.PeerMessage
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetInstance
import org.vanillalink.transport.Json
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class PeerMessageCodecTest {
    private val testSubject = PeerMessageCodec
    private val key = GroupKey("ikeja-m0-7", 7)
    private val target = TargetInstance(HostId("i-2"), 4)
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
            poison =
                PoisonReport(
                    listOf(ReportedLoss(target, 9, listOf(RequestSignature(RequestFingerprint("f"), listOf("p"))))),
                    listOf(ReportedAnswer(RequestTrait(TraitKind.PROMPT_PART, "p"), 10)),
                    listOf(ReportedSurvival(target, 11)),
                    listOf(ReportedBlock(RequestTrait(TraitKind.REQUEST, "f"), 12, setOf(target))),
                ),
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
            configurationVersion = 15,
            canRelay = true,
            isForDomain = true,
            relayedBy = DaemonId("b"),
            members =
                listOf(
                    DomainMember(DaemonId("c"), Endpoint("10.0.0.2", 7_340), 17, 18, isLeaving = true),
                    DomainMember(DaemonId("d"), Endpoint("10.0.0.3", 7_340), 19, 20, isLeaving = false),
                ),
            unheard = setOf(FailureDomainId("lekki")),
            limits =
                listOf(
                    ReportedLimit(target, 4.8, 13),
                    ReportedLimit(TargetInstance(HostId("i-5"), null), null, 14),
                ),
            progress = listOf(ReportedProgress(key, 180, true)),
        )

    @Test
    fun `an encoded message is decoded unchanged`() {
        assertEquals(message, testSubject.decode(testSubject.encode(message)).getOrNull())
    }

    // Guards against daemons of different versions that do not accept each other's messages during an update.
    @Test
    fun `a message of an earlier version is decoded, and the current one has the fields that it requires`() {
        val content = testSubject.encode(message).decodeToString()
        val earlier =
            OPTIONAL_FIELDS
                .fold(content) { text, field -> text.replace("\"$field\"", "\"other-$field\"") }
                .replace("\"members\":[{", "\"other-members\":[{")

        val expected =
            message.copy(
                poison = PoisonReport(),
                limits = emptyList(),
                configurationVersion = 0,
                canRelay = false,
                isForDomain = false,
                relayedBy = null,
                members = emptyList(),
                unheard = emptySet(),
                progress = emptyList(),
            )
        assertEquals(expected, testSubject.decode(earlier.toByteArray()).getOrNull())
        assertTrue("\"strikes\":[]" in content)
    }

    // Guards against a hand-written encoding that the decoder of the version before doesn't read.
    @Test
    fun `the encoding has the fields of the message, except for optional ones without content`() {
        val written = Json.mapper.readTree(testSubject.encode(message))
        val plain = Json.mapper.readTree(Json.write(message))

        val required = plain.fieldNames().asSequence().toSet() - "members"
        assertEquals(required, written.fieldNames().asSequence().toSet() - "members")
        required.forEach { assertEquals(plain[it], written[it], it) }
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

    private companion object {
        /** Those that daemons of the first version neither send nor read, except for the list of members. */
        val OPTIONAL_FIELDS =
            listOf(
                "poison",
                "limits",
                "configurationVersion",
                "canRelay",
                "isForDomain",
                "relayedBy",
                "unheard",
                "progress",
            )
    }
}
