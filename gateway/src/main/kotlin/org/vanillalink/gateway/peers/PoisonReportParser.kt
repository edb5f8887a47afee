/*
 * The part of peers' messages with the evidence about poison requests.
 */
package org.vanillalink.gateway.peers

import com.fasterxml.jackson.databind.JsonNode
import org.vanillalink.model.HostId
import org.vanillalink.serving.balancing.PoisonReport
import org.vanillalink.serving.balancing.ReportedAnswer
import org.vanillalink.serving.balancing.ReportedBlock
import org.vanillalink.serving.balancing.ReportedLoss
import org.vanillalink.serving.balancing.ReportedSurvival
import org.vanillalink.serving.balancing.RequestFingerprint
import org.vanillalink.serving.balancing.RequestSignature
import org.vanillalink.serving.balancing.RequestTrait
import org.vanillalink.serving.balancing.TraitKind
import org.vanillalink.serving.targets.TargetInstance

/** Throws IllegalArgumentException for missing fields, as [JsonNode.required] does. */
internal object PoisonReportParser {
    fun parse(node: JsonNode) = PoisonReport(
        losses =
            node.required("losses").map { loss ->
                ReportedLoss(
                    parseInstance(loss.required("target")),
                    loss.number("age"),
                    loss.required("suspects").map(::parseSignature),
                )
            },
        answers = node.required("answers").map { ReportedAnswer(parseTrait(it.required("trait")), it.number("age")) },
        survivals =
            node.required("survivals").map { ReportedSurvival(parseInstance(it.required("target")), it.number("age")) },
        blocks =
            node.required("blocks").map { block ->
                ReportedBlock(
                    parseTrait(block.required("trait")),
                    block.number("age"),
                    block.required("targets").map(::parseInstance).toSet(),
                )
            },
    )

    fun parseSignature(node: JsonNode) = RequestSignature(
        RequestFingerprint(node.required("fingerprint").text("value")),
        node.required("sharedParts").map { it.asText() },
    )

    fun parseTrait(node: JsonNode) = RequestTrait(TraitKind.valueOf(node.text("kind")), node.text("value"))

    fun parseInstance(node: JsonNode) =
        TargetInstance(HostId(node.text("id")), node.required("bornAt").takeUnless { it.isNull }?.asLong())
}

internal fun JsonNode.text(field: String): String = required(field).asText()

internal fun JsonNode.number(field: String): Long = required(field).asLong()
