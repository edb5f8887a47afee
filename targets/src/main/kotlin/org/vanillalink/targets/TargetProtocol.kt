/*
 * The HTTP interface of targets: paths, header fields and JSON bodies. The stand-ins use the same definitions.
 */
package org.vanillalink.targets

import org.vanillalink.model.Assignment
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId

/** Paths and header fields of the targets' interface. */
object TargetProtocol {
    /** Chat completions, streamed or not. */
    const val COMPLETIONS_PATH = "/v1/chat/completions"

    /** A target's report. */
    const val REPORT_PATH = "/engine/report"

    /** Orders to a model engine. */
    const val ORDERS_PATH = "/engine/orders"

    /** An attempt, to cancel it. */
    const val ATTEMPTS_PATH = "/engine/attempts/"

    /** The attempt's id; the answer repeats it. */
    const val ATTEMPT_HEADER = "vanillalink-attempt"

    /** The serving group that the request is meant for. */
    const val GROUP_HEADER = "vanillalink-group"

    /** The group's generation that the request is meant for. */
    const val GENERATION_HEADER = "vanillalink-generation"

    /** The target's boot that the request was admitted for. */
    const val BOOT_HEADER = "vanillalink-boot"

    /** The fencing number that the request was admitted under. */
    const val FENCING_HEADER = "vanillalink-fencing"

    /** The request's priority; greater goes first. */
    const val PRIORITY_HEADER = "vanillalink-priority"

    /** How many tokens of the answer the caller has already; the target goes on after them. */
    const val RESUME_HEADER = "vanillalink-resume-from"

    /** In a refusal: the attempt that certainly did not run. */
    const val NOT_RUN_HEADER = "vanillalink-not-run"

    /** The data of the event that ends a whole stream. */
    const val STREAM_END = "[DONE]"
}

/** What an order asks of a model engine. */
enum class OrderKind { LOAD, RELEASE, FENCE }

/** A member of a group as told to the others. */
data class MemberMessage(
    val host: HostId,
    val endpoint: Endpoint,
)

/** Body of `POST /engine/orders`. [assignment] and [members] are set for a LOAD. */
data class OrderMessage(
    val fencingNumber: FencingNumber,
    val kind: OrderKind,
    val assignment: Assignment? = null,
    val members: List<MemberMessage> = emptyList(),
)

/** Answer to an order; [highestFencingNumber] is the greatest number that the target has taken. */
data class OrderResponse(
    val taken: Boolean,
    val highestFencingNumber: FencingNumber,
)
