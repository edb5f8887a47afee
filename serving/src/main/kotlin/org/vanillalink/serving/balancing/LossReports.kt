/*
 * What a daemon reports to its peers about the losses that it knows: a bounded choice of the evidence that explains
 * most.
 */
package org.vanillalink.serving.balancing

/** Times are milliseconds on the steady clock. Not thread safe. */
internal class LossReports(
    private val answers: TraitAnswers,
) {
    /** This daemon's latest answers to the requests in [losses], to others with their parts and [disputedTraits]. */
    fun reportAnswers(
        losses: List<TargetLoss>,
        disputedTraits: Set<RequestTrait>,
        now: Long,
    ): List<ReportedAnswer> {
        val parts = losses.flatMapTo(LinkedHashSet()) { loss -> loss.suspects.values.flatten() }
        val requests = losses.flatMapTo(LinkedHashSet()) { it.suspects.keys }
        return (parts.map(::promptPart) + requests.map(::wholeRequest) + disputedTraits)
            .distinct()
            .mapNotNull { trait -> answers.latestOwn(trait)?.let { ReportedAnswer(trait, now - it) } }
            .sortedBy { it.age }
            .take(MAX_ANSWERS)
    }

    /** [losses] with the suspects that explain them best: those with parts in many losses and no answer. */
    fun reportLosses(
        losses: List<TargetLoss>,
        now: Long,
    ): List<ReportedLoss> {
        val lossesByPart = losses.flatMap { unansweredParts(it) }.groupingBy { it }.eachCount()
        return losses.map { loss -> ReportedLoss(loss.target, now - loss.at, chooseSuspects(loss, lossesByPart)) }
    }

    /**
     * [losses] with the suspects that no target is known to have ever answered; losses without any are left out. Those
     * that were in most losses come first.
     */
    fun reportOpenLosses(
        losses: List<TargetLoss>,
        now: Long,
    ): List<ReportedLoss> {
        val lossesByRequest = losses.flatMap { it.suspects.keys }.groupingBy { it }.eachCount()
        return losses.mapNotNull { loss ->
            val suspects =
                loss
                    .signatures()
                    .filter { neverAnswered(wholeRequest(it.fingerprint)) }
                    .sortedByDescending { lossesByRequest[it.fingerprint] }
                    .take(MAX_OPEN_SUSPECTS)
                    .map(::withOpenParts)
            ReportedLoss(loss.target, now - loss.at, suspects).takeIf { suspects.isNotEmpty() }
        }
    }

    /** A part that is too long for a record in the table is left out. */
    private fun withOpenParts(request: RequestSignature): RequestSignature {
        val parts = request.sharedParts.filter { it.length <= MAX_PART_LENGTH && neverAnswered(promptPart(it)) }
        return request.copy(sharedParts = parts.take(MAX_PARTS))
    }

    private fun neverAnswered(trait: RequestTrait): Boolean = answers.latest(trait) == null

    private fun chooseSuspects(
        loss: TargetLoss,
        lossesByPart: Map<String, Int>,
    ): List<RequestSignature> {
        val unanswered = unansweredParts(loss)
        return loss
            .signatures()
            .map { request -> request.copy(sharedParts = request.sharedParts.filter { it in unanswered }) }
            .sortedByDescending { request -> request.sharedParts.maxOfOrNull { weigh(it, lossesByPart) } ?: 0 }
            .take(MAX_SUSPECTS)
            .map { request ->
                val parts = request.sharedParts.sortedByDescending { weigh(it, lossesByPart) }
                request.copy(sharedParts = parts.take(MAX_PARTS))
            }
    }

    private fun unansweredParts(loss: TargetLoss): Set<String> = loss.suspects.values
        .flatten()
        .filterNotTo(HashSet()) { answers.isAnsweredSince(promptPart(it), loss.at) }

    private fun weigh(
        part: String,
        lossesByPart: Map<String, Int>,
    ): Int = (lossesByPart[part] ?: 0) * if (answers.latest(promptPart(part)) == null) NEVER_ANSWERED_WEIGHT else 1

    private fun wholeRequest(fingerprint: RequestFingerprint) = RequestTrait(TraitKind.REQUEST, fingerprint.value)

    private fun promptPart(id: String) = RequestTrait(TraitKind.PROMPT_PART, id)

    private companion object {
        /** Limit the datagram size. */
        const val MAX_SUSPECTS = 4
        const val MAX_PARTS = 4
        const val MAX_ANSWERS = 32

        /** Limit the size of a record in the table. */
        const val MAX_OPEN_SUSPECTS = 16
        const val MAX_PART_LENGTH = 64

        /** A part that was never answered explains a loss better than one that was. */
        const val NEVER_ANSWERED_WEIGHT = 4
    }
}
