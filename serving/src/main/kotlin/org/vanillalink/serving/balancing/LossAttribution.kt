/*
 * Attributes the losses of targets to traits of the requests that they ran.
 *
 * A trait is a cause if it explains several losses and no target has begun to answer a request with it since. The
 * traits that explain most are examined first, and each loss is explained once: parts of the prompt that sound requests
 * carry, too, are in as many losses as the part that crashes targets, but are not needed to explain them.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.serving.targets.TargetInstance

/** The loss of [target] at [at], with the suspects known so far and the shared parts of their prompts. */
internal class TargetLoss(
    val target: TargetInstance,
    var at: Long,
) {
    val suspects = LinkedHashMap<RequestFingerprint, Set<String>>()
    private var parts = 0

    /** Adds a suspect; returns whether it is new. */
    fun add(suspect: RequestSignature): Boolean {
        if (suspect.fingerprint in suspects || suspects.size >= MAX_SUSPECTS) return false
        val sharedParts = suspect.sharedParts.take(MAX_PARTS - parts).toSet()
        suspects[suspect.fingerprint] = sharedParts
        parts += sharedParts.size
        return true
    }

    fun signatures(): List<RequestSignature> = suspects.map { RequestSignature(it.key, it.value.toList()) }

    private companion object {
        /** Twice the requests that a target runs and queues. */
        const val MAX_SUSPECTS = 128
        const val MAX_PARTS = 256
    }
}

/** Explains [losses]. If [isAmbiguous], other traits explain the same losses as well. */
internal class LossCause(
    val losses: Set<TargetLoss>,
    val isAmbiguous: Boolean,
)

/** Attributes losses; [lastAnsweredAt] is when a target last began to answer a request with a trait, or null. */
internal class LossAttribution(
    private val lastAnsweredAt: (RequestTrait) -> Long?,
) {
    private class Candidate(
        val trait: RequestTrait,
        val wasAnswered: Boolean,
        val losses: Set<TargetLoss>,
        val requests: Set<RequestFingerprint>,
    )

    /** Returns the traits that cause [losses]. */
    fun findCauses(
        losses: Collection<TargetLoss>,
        now: Long,
    ): Map<RequestTrait, LossCause> {
        val causes = LinkedHashMap<RequestTrait, LossCause>()
        var unexplained = losses.toSet()
        // Parts come first: a request that is sent again with such a part is explained by it, but not the reverse.
        for (kind in listOf(TraitKind.PROMPT_PART, TraitKind.REQUEST)) {
            while (unexplained.isNotEmpty()) {
                val candidates = collectCandidates(unexplained, kind, now).filter(::isSufficient)
                val best = candidates.minWithOrNull(STRONGEST_FIRST) ?: break
                val equals = candidates.filter { it == best || (it.losses == best.losses && !it.wasAnswered) }
                equals.forEach { causes[it.trait] = LossCause(it.losses, isAmbiguous = equals.size > 1) }
                unexplained = unexplained - best.losses
            }
        }
        return causes
    }

    private fun collectCandidates(
        losses: Set<TargetLoss>,
        kind: TraitKind,
        now: Long,
    ): List<Candidate> {
        val suspectsByTrait = HashMap<RequestTrait, MutableMap<TargetLoss, MutableSet<RequestFingerprint>>>()
        for (loss in losses) {
            for ((fingerprint, parts) in loss.suspects) {
                val values = if (kind == TraitKind.REQUEST) listOf(fingerprint.value) else parts
                for (value in values) {
                    suspectsByTrait
                        .getOrPut(RequestTrait(kind, value)) { LinkedHashMap() }
                        .getOrPut(loss) { HashSet() }
                        .add(fingerprint)
                }
            }
        }
        return suspectsByTrait.filterValues { it.size >= MIN_LOSSES }.map { (trait, suspects) ->
            buildCandidate(trait, suspects, now)
        }
    }

    private fun buildCandidate(
        trait: RequestTrait,
        suspects: Map<TargetLoss, Set<RequestFingerprint>>,
        now: Long,
    ): Candidate {
        val answeredAt = lastAnsweredAt(trait)
        val relevant =
            if (answeredAt == null) {
                suspects
            } else {
                suspects.filterKeys { it.at > answeredAt && now - it.at >= SETTLING_MILLISECONDS }
            }
        return Candidate(trait, answeredAt != null, relevant.keys, relevant.values.flatten().toSet())
    }

    private fun isSufficient(candidate: Candidate): Boolean {
        val minLosses = if (candidate.wasAnswered) MIN_LOSSES_ONCE_ANSWERED else MIN_LOSSES
        val minRequests = if (candidate.trait.kind == TraitKind.REQUEST) 1 else MIN_REQUESTS_WITH_PART
        return candidate.losses.size >= minLosses && candidate.requests.size >= minRequests
    }

    companion object {
        /** Two losses can be coincidence where targets fail often; a third one hardly can. */
        const val MIN_LOSSES = 3

        /** A trait that was answered before may be in several losses because it is in many requests. */
        private const val MIN_LOSSES_ONCE_ANSWERED = 5

        /** A single request, sent again several times, doesn't tell its parts apart. */
        private const val MIN_REQUESTS_WITH_PART = 2

        /** How long other daemons take to report their suspects of the same loss, and answers since. */
        const val SETTLING_MILLISECONDS = 500L

        /** How much stronger a loss is as evidence if the trait was never answered. */
        private const val NEVER_ANSWERED_WEIGHT = 2

        private val STRONGEST_FIRST =
            compareByDescending<Candidate> { it.losses.size * if (it.wasAnswered) 1 else NEVER_ANSWERED_WEIGHT }
                .thenBy { it.wasAnswered }
                .thenBy { it.trait.value }
    }
}
