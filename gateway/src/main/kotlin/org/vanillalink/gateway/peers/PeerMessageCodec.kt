/*
 * Peers' messages as JSON. Reading goes through the library's tree: a daemon reads many messages a second, and building
 * each of their parts by reflection costs several times as much.
 */
package org.vanillalink.gateway.peers

import arrow.core.Either
import arrow.core.flatMap
import com.fasterxml.jackson.databind.JsonNode
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
import org.vanillalink.transport.Json
import org.vanillalink.transport.MalformedJson
import org.vanillalink.transport.read

internal object PeerMessageCodec {
    fun write(message: PeerMessage): ByteArray = Json.write(message)

    fun read(content: ByteArray): Either<MalformedJson, PeerMessage> = Json.read<JsonNode>(content).flatMap { node ->
        Either
            .catchOrThrow<IllegalArgumentException, PeerMessage> { message(node) }
            .mapLeft { MalformedJson(it.message.orEmpty()) }
    }

    private fun message(node: JsonNode) = PeerMessage(
        daemon = DaemonId(node.text("daemon")),
        failureDomain = FailureDomainId(node.text("failureDomain")),
        endpoint = node.required("endpoint").let { Endpoint(it.text("address"), it.required("port").asInt()) },
        startedAt = node.number("startedAt"),
        sequence = node.number("sequence"),
        storeAge = node.number("storeAge"),
        isLeaving = node.required("isLeaving").asBoolean(),
        period = node.number("period"),
        inFlight = node.required("inFlight").properties().associate { (id, count) -> HostId(id) to count.asInt() },
        demand = node.required("demand").properties().associate { (model, places) -> model to places.asDouble() },
        suspects = node.required("suspects").map(::groupKey).toSet(),
        strikes = node.required("strikes").map(::strike),
        leaving = node.required("leaving").map(::run).toSet(),
        controlled = node.required("controlled").map(::controlled),
    )

    private fun controlled(node: JsonNode) = ControlledDomain(
        failureDomain = FailureDomainId(node.text("failureDomain")),
        term = node.number("term"),
        groups = node.required("groups").takeUnless { it.isNull }?.map(::group),
        broken = node.required("broken").map(::groupKey).toSet(),
        isSameAsBefore = node.required("isSameAsBefore").asBoolean(),
    )

    private fun group(node: JsonNode) = AnnouncedGroup(
        key = groupKey(node.required("key")),
        model = node.text("model"),
        members = node.required("members").map { HostId(it.asText()) },
    )

    private fun groupKey(node: JsonNode) = GroupKey(node.text("group"), node.number("epoch"))

    private fun run(node: JsonNode) =
        TargetInstance(HostId(node.text("id")), node.required("bornAt").takeUnless { it.isNull }?.asLong())

    private fun strike(node: JsonNode) =
        Strike(RequestFingerprint(node.required("fingerprint").text("value")), HostId(node.text("target")))

    private fun JsonNode.text(field: String): String = required(field).asText()

    private fun JsonNode.number(field: String): Long = required(field).asLong()
}
