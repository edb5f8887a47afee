/*
 * Detects poison requests: requests that crash the targets that run them. They are sent again unchanged, or differ but
 * for one part of their prompts, and arrive at any daemon.
 *
 * The evidence is the losses of targets with the requests that they had not begun to answer, and the answers that
 * targets did begin. LossAttribution finds the traits that cause the losses; requests with such a trait are refused.
 * A lost connection is not yet the loss of its target: the loss is withdrawn if the target responds again at once.
 *
 * A refused trait is tried with a single request after a long time. An answer ends the refusal, at all daemons that
 * hear of it; another loss prolongs it.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.serving.targets.TargetInstance
import kotlin.random.Random

/** Requests with [trait] are refused [since] a time on the steady clock, because it caused the loss of [targets]. */
class PoisonBlock internal constructor(
    val trait: RequestTrait,
    val since: Long,
    private val trialDelayFraction: Double,
) {
    private val lostTargets = LinkedHashSet<TargetInstance>()

    val targets: Set<TargetInstance> get() = lostTargets

    /** When the last of [targets] was lost, on the steady clock. */
    var lastLossAt: Long = Long.MIN_VALUE
        internal set

    /** Whether other traits explain the same losses, so that this one may be innocent. */
    var isAmbiguous = false
        private set

    /** When a single request may be tried. Daemons that wait for different times learn from each other's trials. */
    internal fun trialAt(daemons: Int): Long {
        if (!isAmbiguous) return lastLossAt + (TRIAL_DELAY_MILLISECONDS * (1 + trialDelayFraction)).toLong()
        val spread = AMBIGUOUS_TRIAL_SPREAD_MILLISECONDS * daemons
        return lastLossAt + AMBIGUOUS_TRIAL_DELAY_MILLISECONDS + (spread * trialDelayFraction).toLong()
    }

    internal fun setAmbiguous(isAmbiguous: Boolean) {
        this.isAmbiguous = isAmbiguous
    }

    internal fun add(targets: Collection<TargetInstance>): Boolean =
        lostTargets.addAll(targets.take(maxOf(0, MAX_TARGETS - lostTargets.size)))

    internal fun remove(targets: Set<TargetInstance>) = lostTargets.removeAll(targets)

    private companion object {
        /** More losses would not make the evidence stronger. */
        const val MAX_TARGETS = 8

        /** A trial can cost a group; until then callers of a repaired target wait. */
        const val TRIAL_DELAY_MILLISECONDS = 300_000L

        /** Another request that crashes a target shows within about a second which trait it is. */
        const val AMBIGUOUS_TRIAL_DELAY_MILLISECONDS = 1_000L
        const val AMBIGUOUS_TRIAL_SPREAD_MILLISECONDS = 1_000L
    }
}

/** The blocks that began and ended. */
data class PoisonBlockChanges(
    val begun: List<PoisonBlock>,
    val ended: List<PoisonBlock>,
)

/** Times are milliseconds on the steady clock. Not thread safe. */
class PoisonRequestDetector(
    private val random: Random,
) {
    private val losses = LinkedHashMap<TargetInstance, TargetLoss>()
    private val answers = TraitAnswers()
    private val lossReports = LossReports(answers)
    private val ownSurvivals = RecentTimes<TargetInstance>(MAX_LOSSES)
    private val peerSurvivals = RecentTimes<TargetInstance>(MAX_LOSSES)
    private val blocks = LinkedHashMap<RequestTrait, PoisonBlock>()
    private val reportedBlocks = LinkedHashMap<RequestTrait, Pair<ReportedBlock, Long>>()
    private val trialStartedAt = HashMap<RequestTrait, Long>()
    private val attribution = LossAttribution(answers::latest)
    private var announcedBlocks: Map<RequestTrait, PoisonBlock> = emptyMap()
    private var isOutdated = false
    private var peerStartedAt: Long? = null

    /** Incremented when there is something new to report to peers. */
    var version = 0L
        private set

    /** How many daemons there are; with more of them, trials are spread over a longer time. */
    var daemons = 1

    /** How many traits are blocked; may be read on any thread. */
    @Volatile
    var blockCount = 0
        private set

    /** Records that the connection to [target] was lost before it had begun to answer [request]. */
    fun recordLoss(
        target: TargetInstance,
        request: RequestSignature,
        now: Long,
    ) = recordLoss(target, listOf(request), now)

    /** Records that a target began to answer [request] at [begunAt] and continued. */
    fun recordAnswer(
        request: RequestSignature,
        begunAt: Long,
    ) = request.traits().forEach { trait ->
        if (answers.recordOwn(trait, begunAt)) onAnswer(trait, begunAt)
    }

    /** Records a success of [target] at [now] for a request that was sent at [sentAt]. */
    fun recordSuccess(
        target: TargetInstance,
        sentAt: Long,
        now: Long,
    ) {
        val loss = losses[target] ?: return
        // Later, the response may be that of a new process whose entry has not been read yet.
        if (sentAt > loss.at && now - loss.at < MIN_RESTART_MILLISECONDS) {
            ownSurvivals.advance(target, sentAt)
            withdrawLoss(target, sentAt)
        }
    }

    /** Adds the observations in a peer's [report]. */
    fun recordReport(
        report: PoisonReport,
        now: Long,
    ) {
        report.answers.forEach {
            if (answers.recordOfPeer(it.trait, now - it.age)) onAnswer(it.trait, now - it.age)
        }
        report.survivals.forEach {
            if (peerSurvivals.advance(it.target, now - it.age)) withdrawLoss(it.target, now - it.age)
        }
        report.losses.forEach { recordLoss(it.target, it.suspects, now - it.age) }
        report.blocks.forEach { recordBlock(it, now) }
    }

    /** Attributes the losses again if there is new evidence. */
    fun update(now: Long) {
        if (!isOutdated) return
        isOutdated = losses.values.any { now - it.at < LossAttribution.SETTLING_MILLISECONDS }
        removeExpired(now)
        reportedBlocks.forEach { (trait, received) ->
            val (report, receivedAt) = received
            block(
                trait,
                report.targets.filterNot(::hasSurvived),
                receivedAt - report.age,
                REPORT_DELAY_MILLISECONDS,
                now,
            )
        }
        val causes = attribution.findCauses(losses.values, now)
        causes.forEach { (trait, cause) ->
            val lastLossAt = cause.losses.maxOf { it.at }
            block(trait, cause.losses.map { it.target }, lastLossAt, tolerance = 0, now).setAmbiguous(cause.isAmbiguous)
        }
        blocks.values.removeIf { !isSupported(it, causes) }
        blockCount = blocks.size
    }

    /** Returns the changes since the last call. */
    fun takeChanges(): PoisonBlockChanges {
        val begun = (blocks - announcedBlocks.keys).values.toList()
        val ended = (announcedBlocks - blocks.keys).values.toList()
        if (begun.isNotEmpty() || ended.isNotEmpty()) {
            announcedBlocks = LinkedHashMap(blocks)
            version += 1
        }
        return PoisonBlockChanges(begun, ended)
    }

    /** Returns the block that applies to [request] at [now], or null if it may be sent. */
    fun findBlock(
        request: RequestSignature,
        now: Long,
    ): PoisonBlock? {
        if (blocks.isEmpty()) return null
        val applicable = request.traits().mapNotNull { blocks[it] }
        // A request with all traits that may be the cause shows nothing about any of them.
        if (applicable.size > 1 && applicable.all { it.isAmbiguous }) return applicable.first()
        return applicable.firstOrNull { now < it.trialAt(daemons) || isTrialInProgress(it, now) }
    }

    /** As [findBlock], but lets [request] through as the trial of a block that is due for one. */
    fun findBlockOrBeginTrial(
        request: RequestSignature,
        now: Long,
    ): PoisonBlock? {
        findBlock(request, now)?.let { return it }
        if (blocks.isNotEmpty()) request.traits().filter { it in blocks }.forEach { trialStartedAt[it] = now }
        return null
    }

    /** The milliseconds until requests under [block] may be tried. */
    fun remainingMilliseconds(
        block: PoisonBlock,
        now: Long,
    ): Long = maxOf(0, block.trialAt(daemons) - now)

    /** How many targets are known to have been lost with the request [fingerprint]. */
    fun countLosses(fingerprint: RequestFingerprint): Int = losses.values.count { fingerprint in it.suspects }

    /** Records that a process of a peer has started: for a while it is told of older losses, which it can't know. */
    fun recordPeerStart(now: Long) {
        peerStartedAt = now
        if (losses.isNotEmpty()) version += 1
    }

    /** The evidence to report to peers. Older losses are reported as the blocks that they led to. */
    fun buildReport(now: Long): PoisonReport {
        val recent = losses.values.filter { now - it.at < REPORTED_MILLISECONDS }.takeLast(MAX_REPORTED)
        val ownAnswers = lossReports.reportAnswers(recent, reportedBlocks.keys, now)
        val isPeerNew = peerStartedAt?.let { now - it < REPORTED_MILLISECONDS } ?: false
        val older = if (isPeerNew) openLosses(now).filter { it.age >= REPORTED_MILLISECONDS } else emptyList()
        val survivals = ownSurvivals.since(now - REPORTED_MILLISECONDS).map { ReportedSurvival(it.key, now - it.value) }
        val latestBlocks = blocks.values.toList().takeLast(MAX_REPORTED)
        return PoisonReport(
            older
                .takeLast(
                    MAX_REPORTED - recent.size,
                ).map { it.copy(suspects = it.suspects.take(MAX_OLDER_SUSPECTS)) } +
                lossReports.reportLosses(recent, now),
            ownAnswers,
            survivals,
            latestBlocks.map { ReportedBlock(it.trait, now - it.lastLossAt, it.targets) },
        )
    }

    /**
     * The losses that may lead to a block later, with the suspects that no target is known to have answered. They are
     * reported here only once the evidence of other daemons has arrived.
     */
    fun openLosses(now: Long): List<ReportedLoss> =
        lossReports.reportOpenLosses(losses.values.filter { now - it.at >= EVIDENCE_DELAY_MILLISECONDS }, now)

    private fun hasSurvived(target: TargetInstance): Boolean =
        ownSurvivals[target] != null || peerSurvivals[target] != null

    private fun recordLoss(
        target: TargetInstance,
        suspects: List<RequestSignature>,
        at: Long,
    ) {
        if (maxOf(ownSurvivals[target] ?: Long.MIN_VALUE, peerSurvivals[target] ?: Long.MIN_VALUE) > at) return
        val loss = losses.getOrPut(target) { TargetLoss(target, at) }
        loss.at = minOf(loss.at, at)
        if (suspects.count(loss::add) == 0) return
        isOutdated = true
        version += 1
    }

    /** Only a blocked trait's answer can change what the losses are attributed to. */
    private fun onAnswer(
        trait: RequestTrait,
        begunAt: Long,
    ) {
        val block = blocks[trait] ?: return
        if (begunAt <= block.lastLossAt) return
        isOutdated = true
        version += 1
    }

    private fun withdrawLoss(
        target: TargetInstance,
        sentAt: Long,
    ) {
        val loss = losses[target] ?: return
        if (loss.at >= sentAt) return
        losses.remove(target)
        blocks.values.forEach { it.remove(setOf(target)) }
        isOutdated = true
        version += 1
    }

    private fun recordBlock(
        reported: ReportedBlock,
        now: Long,
    ) {
        val isNew = reportedBlocks.put(reported.trait, reported to now) == null
        val known = blocks[reported.trait]
        if (isNew || known == null ||
            known.lastLossAt + REPORT_DELAY_MILLISECONDS < now - reported.age
        ) {
            isOutdated = true
        }
    }

    /** The delay of reports makes a loss look later; a block must not last longer by less than [tolerance]. */
    private fun block(
        trait: RequestTrait,
        targets: Collection<TargetInstance>,
        lastLossAt: Long,
        tolerance: Long,
        now: Long,
    ): PoisonBlock {
        val block = blocks.getOrPut(trait) { PoisonBlock(trait, now, random.nextDouble()) }
        block.add(targets)
        if (block.lastLossAt == Long.MIN_VALUE ||
            lastLossAt > block.lastLossAt + tolerance
        ) {
            block.lastLossAt = lastLossAt
        }
        return block
    }

    /** Of the losses that led to a block, enough must have no other cause. */
    private fun isSupported(
        block: PoisonBlock,
        causes: Map<RequestTrait, LossCause>,
    ): Boolean {
        if (answers.isAnsweredSince(block.trait, block.lastLossAt + 1)) return false
        if (block.trait in causes) return true
        val explained = causes.values.flatMapTo(HashSet()) { cause -> cause.losses.map { it.target } }
        return block.targets.count { it !in explained } >= LossAttribution.MIN_LOSSES
    }

    private fun isTrialInProgress(
        block: PoisonBlock,
        now: Long,
    ): Boolean = trialStartedAt[block.trait]?.let { now - it < TRIAL_TIMEOUT_MILLISECONDS } ?: false

    private fun removeExpired(now: Long) {
        losses.values.removeIf { now - it.at >= RETENTION_MILLISECONDS }
        val supporting = blocks.values.flatMap { it.targets }.toSet()
        while (losses.size > MAX_LOSSES) {
            losses.remove(losses.keys.firstOrNull { it !in supporting } ?: losses.keys.first())
        }
        blocks.values.removeIf { now - it.lastLossAt >= BLOCK_RETENTION_MILLISECONDS }
        reportedBlocks.values.removeIf { (_, receivedAt) -> now - receivedAt >= REPORTED_MILLISECONDS }
        trialStartedAt.keys.retainAll(blocks.keys)
    }

    companion object {
        /** How long a loss can lead to a block. */
        const val RETENTION_MILLISECONDS = 3_600_000L

        /** The longest heartbeat period; by then sound requests have mostly been answered by another target. */
        private const val EVIDENCE_DELAY_MILLISECONDS = 5_000L

        /** Longer than a report usually takes to arrive. */
        private const val REPORT_DELAY_MILLISECONDS = 2_000L

        /** Far more than crash before their cause is found, with those lost for other reasons. */
        private const val MAX_LOSSES = 64
        private const val BLOCK_RETENTION_MILLISECONDS = 86_400_000L

        /** A process that crashed needs longer to start and to join a group. */
        private const val MIN_RESTART_MILLISECONDS = 1_000L

        /** Longer than a request takes to be answered or to crash its target. */
        private const val TRIAL_TIMEOUT_MILLISECONDS = 30_000L

        /** Two of the longest heartbeat periods, since a datagram may be lost. */
        private const val REPORTED_MILLISECONDS = 10_000L

        /** Limits the datagram size. */
        private const val MAX_REPORTED = 6
        private const val MAX_OLDER_SUSPECTS = 4
    }
}
