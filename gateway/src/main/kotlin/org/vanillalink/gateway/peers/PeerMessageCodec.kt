/*
 * Peers' messages as JSON. Decoding uses the library's tree model: a daemon decodes many messages per second, and
 * binding each part by reflection costs several times as much.
 */
package org.vanillalink.gateway.peers

import arrow.core.Either
import arrow.core.flatMap
import com.fasterxml.jackson.databind.JsonNode
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.serving.balancing.PoisonReport
import org.vanillalink.serving.balancing.ReportedLimit
import org.vanillalink.serving.balancing.ReportedProgress
import org.vanillalink.serving.control.AnnouncedGroup
import org.vanillalink.serving.peers.ControlledDomain
import org.vanillalink.serving.peers.DomainMember
import org.vanillalink.serving.peers.PeerMessage
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetInstance
import org.vanillalink.transport.Json
import org.vanillalink.transport.MalformedJson
import org.vanillalink.transport.read

internal object PeerMessageCodec {
    fun encode(message: PeerMessage): ByteArray = PeerMessageWriter.write(message)

    fun decode(content: ByteArray): Either<MalformedJson, PeerMessage> = Json.read<JsonNode>(content).flatMap { node ->
        Either
            .catchOrThrow<IllegalArgumentException, PeerMessage> { parseMessage(node) }
            .mapLeft { MalformedJson(it.message.orEmpty()) }
    }

    private fun parseMessage(node: JsonNode) = PeerMessage(
        daemon = DaemonId(node.text("daemon")),
        failureDomain = FailureDomainId(node.text("failureDomain")),
        endpoint = node.required("endpoint").let { Endpoint(it.text("address"), it.required("port").asInt()) },
        startedAt = node.number("startedAt"),
        sequence = node.number("sequence"),
        storeAge = node.number("storeAge"),
        isLeaving = node.required("isLeaving").asBoolean(),
        period = node.number("period"),
        inFlight = node.required("inFlight").properties().associate { (id, count) -> HostId(id) to count.asInt() },
        demand = node.required("demand").properties().associate { (model, slots) -> model to slots.asDouble() },
        suspects = node.required("suspects").map(::parseGroupKey).toSet(),
        poison = node.get("poison")?.let(PoisonReportParser::parse) ?: PoisonReport(),
        leaving = node.required("leaving").map(PoisonReportParser::parseInstance).toSet(),
        controlled = node.required("controlled").map(::parseControlledDomain),
        limits = node.get("limits")?.map(::parseLimit).orEmpty(),
        configurationVersion = node.path("configurationVersion").asLong(),
        canRelay = node.path("canRelay").asBoolean(),
        isForDomain = node.path("isForDomain").asBoolean(),
        relayedBy = node.get("relayedBy")?.takeUnless { it.isNull }?.let { DaemonId(it.asText()) },
        members = node.get("members")?.map(::parseMember).orEmpty(),
        unheard =
            node
                .get("unheard")
                ?.map { FailureDomainId(it.asText()) }
                ?.toSet()
                .orEmpty(),
        progress = node.get("progress")?.map(::parseProgress).orEmpty(),
    )

    private fun parseMember(node: JsonNode) = DomainMember(
        daemon = DaemonId(node.text("daemon")),
        endpoint = Endpoint(node.text("address"), node.required("port").asInt()),
        startedAt = node.number("startedAt"),
        storeAge = node.number("storeAge"),
        isLeaving = node.path("isLeaving").asBoolean(),
    )

    private fun parseProgress(node: JsonNode) = ReportedProgress(
        group = parseGroupKey(node.required("group")),
        silence = node.number("silence"),
        isStanding = node.required("isStanding").asBoolean(),
    )

    private fun parseLimit(node: JsonNode) = ReportedLimit(
        target = PoisonReportParser.parseInstance(node.required("target")),
        requestsPerSecond = node.required("requestsPerSecond").takeIf { it.isNumber }?.asDouble(),
        age = node.number("age"),
    )

    private fun parseControlledDomain(node: JsonNode) = ControlledDomain(
        failureDomain = FailureDomainId(node.text("failureDomain")),
        term = node.number("term"),
        groups = node.required("groups").takeUnless { it.isNull }?.map(::parseGroup),
        broken = node.required("broken").map(::parseGroupKey).toSet(),
        isSameAsBefore = node.required("isSameAsBefore").asBoolean(),
    )

    private fun parseGroup(node: JsonNode) = AnnouncedGroup(
        key = parseGroupKey(node.required("key")),
        model = node.text("model"),
        members = node.required("members").map { HostId(it.asText()) },
    )

    private fun parseGroupKey(node: JsonNode) = GroupKey(node.text("group"), node.number("epoch"))
}
