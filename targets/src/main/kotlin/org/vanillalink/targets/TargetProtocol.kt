/*
 * The HTTP protocol of targets: paths, header fields and JSON bodies. The stand-ins use the same definitions.
 */
package org.vanillalink.targets

import org.vanillalink.model.Assignment
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId

/** Paths and header fields of the target protocol. */
object TargetProtocol {
    /** Chat completions, streaming or not. */
    const val COMPLETIONS_PATH = "/v1/chat/completions"

    /** Returns the target's report. */
    const val REPORT_PATH = "/engine/report"

    /** Accepts orders to a model engine. */
    const val ORDERS_PATH = "/engine/orders"

    /** Prefix of the path that cancels an attempt. */
    const val ATTEMPTS_PATH = "/engine/attempts/"

    /** The attempt's id, which the response must echo. */
    const val ATTEMPT_HEADER = "vanillalink-attempt"

    /** The serving group that the request is addressed to. */
    const val GROUP_HEADER = "vanillalink-group"

    /** The generation of the group that the request is addressed to. */
    const val GENERATION_HEADER = "vanillalink-generation"

    /** The target process instance that the request was admitted for. */
    const val BOOT_HEADER = "vanillalink-boot"

    /** The fencing number under which the request was admitted. */
    const val FENCING_HEADER = "vanillalink-fencing"

    /** The request's priority; higher values are served first. */
    const val PRIORITY_HEADER = "vanillalink-priority"

    /** The number of tokens that the caller has already received; the target resumes after them. */
    const val RESUME_HEADER = "vanillalink-resume-from"

    /** In a refusal: the attempt that is guaranteed not to have been executed. */
    const val NOT_RUN_HEADER = "vanillalink-not-run"

    /** The data of the event that marks a complete stream. */
    const val STREAM_END = "[DONE]"
}

/** The kinds of orders to a model engine. */
enum class OrderKind { LOAD, RELEASE, FENCE }

/** A member of a group, as announced to the other members. */
data class MemberMessage(
    val host: HostId,
    val endpoint: Endpoint,
)

/** Body of `POST /engine/orders`. [assignment] and [members] are set for LOAD. */
data class OrderMessage(
    val fencingNumber: FencingNumber,
    val kind: OrderKind,
    val assignment: Assignment? = null,
    val members: List<MemberMessage> = emptyList(),
)

/** Response to an order; [highestFencingNumber] is the highest number that the target has accepted. */
data class OrderResponse(
    val taken: Boolean,
    val highestFencingNumber: FencingNumber,
)
