/*
 * Evidence about requests that crash the targets that run them, as daemons record and report it.
 *
 * The requests that a lost target had not yet begun to answer are the suspects of its loss. Reports carry the age of
 * each observation, so that it doesn't become younger when it is passed on. Ages are in milliseconds.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.serving.targets.TargetInstance

/** Digest of caller, path and body; requests with the same digest are considered equal. */
data class RequestFingerprint(
    val value: String,
)

/** The kinds of traits. */
enum class TraitKind {
    /** The whole request, sent again unchanged. */
    REQUEST,

    /** A part of the prompt that requests share. */
    PROMPT_PART,
}

/** What requests can have in common that may crash targets. */
data class RequestTrait(
    val kind: TraitKind,
    val value: String,
)

/** A request with the parts of its prompt that other requests may share. */
data class RequestSignature(
    val fingerprint: RequestFingerprint,
    val sharedParts: List<String> = emptyList(),
) {
    /** Its shared parts and the request itself. */
    fun traits(): List<RequestTrait> = sharedParts.map { RequestTrait(TraitKind.PROMPT_PART, it) } +
        RequestTrait(TraitKind.REQUEST, fingerprint.value)
}

/** [target] was lost [age] ago with [suspects] that it had not begun to answer. */
data class ReportedLoss(
    val target: TargetInstance,
    val age: Long,
    val suspects: List<RequestSignature>,
)

/** A target began an answer to a request with [trait] [age] ago, and did not crash. */
data class ReportedAnswer(
    val trait: RequestTrait,
    val age: Long,
)

/** [target] responded to a request that was sent [age] ago, which was after its supposed loss. */
data class ReportedSurvival(
    val target: TargetInstance,
    val age: Long,
)

/** Requests with [trait] are refused, because it explains the loss of [targets], the last of them [age] ago. */
data class ReportedBlock(
    val trait: RequestTrait,
    val age: Long,
    val targets: Set<TargetInstance>,
)

/** What a daemon has observed itself or received from peers. */
data class PoisonReport(
    val losses: List<ReportedLoss> = emptyList(),
    val answers: List<ReportedAnswer> = emptyList(),
    val survivals: List<ReportedSurvival> = emptyList(),
    val blocks: List<ReportedBlock> = emptyList(),
)
