/*
 * This daemon's part in the control of one failure domain: winning it by a conditional write, and the groups while it
 * has it. Each term begins with a greater epoch than any of the term before.
 */
package org.vanillalink.gateway.control

import arrow.core.Either
import org.vanillalink.gateway.logs.EventLines
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.serving.control.DomainView
import org.vanillalink.serving.control.GroupControlState
import org.vanillalink.serving.control.GroupController
import org.vanillalink.serving.control.GroupDecision
import org.vanillalink.serving.control.GroupEvent
import org.vanillalink.serving.peers.ControlledDomain
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TableStore
import org.vanillalink.store.TransactionResult

/** Lives on the control thread. */
internal class DomainControl(
    val failureDomain: FailureDomainId,
    private val daemon: DaemonId,
    private val table: TableStore,
    private val thread: ControlThread,
    private val lines: EventLines,
    private val clock: EntryClock,
    private val onTaken: () -> Unit,
) {
    private val controller = GroupController()
    private val key = RowKey("control/${failureDomain.value}")
    private var state: GroupControlState? = null
    private var isAsking = false
    private var askAgainAt = 0L

    /** Whether this daemon should control, by the last look at its peers. */
    private var isWanted = false

    /** The greatest term that this daemon has heard of. */
    private var knownTerm = 0L

    /** When this daemon last took control, on the steady clock. */
    var takenAt = 0L
        private set

    /** The term that this daemon holds, or 0. */
    var term = 0L
        private set

    /** Whether this daemon has control. */
    val isHeld: Boolean get() = state != null

    /** Takes or gives up control; [claimed] is the greatest term that a peer claims. */
    fun elect(
        isWanted: Boolean,
        claimed: Long?,
    ) {
        this.isWanted = isWanted
        if (claimed != null) knownTerm = maxOf(knownTerm, claimed)
        if (isHeld) {
            if (claimed != null && claimed > term) giveUp("peer-holds-term-$claimed")
            if (!isWanted && isHeld) giveUp("another-daemon-should-control")
            return
        }
        if (!isWanted || isAsking || clock.steady() < askAgainAt) return
        take()
    }

    /** Feeds [event] to the controller, where this daemon has control. */
    fun apply(event: GroupEvent): List<GroupDecision> {
        val current = state ?: return emptyList()
        val transition = controller.applyEvent(current, event, clock.steady())
        state = transition.state
        return transition.decisions
    }

    /** The groups that serve, where this daemon has control. */
    fun announced(
        view: DomainView,
        isKnown: Boolean,
    ): ControlledDomain? {
        val current = state ?: return null
        if (!isKnown) return ControlledDomain(failureDomain, term, null, emptySet())
        val broken = controller.brokenGroups(current, clock.steady())
        // Others only need the members that take requests.
        val groups = controller.servingGroups(current, view).map { it.copy(members = it.members.take(1)) }
        return ControlledDomain(failureDomain, term, groups, broken)
    }

    private fun giveUp(reason: String) {
        lines.record("control-given-up", "failureDomain" to failureDomain, "term" to term, "reason" to reason)
        state = null
        term = 0
    }

    private fun take() {
        isAsking = true
        table.read(setOf(key)).thenAccept { result ->
            thread.execute { result.fold(::failed) { rows -> write(rows[key]) } }
        }
    }

    private fun write(row: Row?) {
        // Peers may have been heard of while the row was read.
        if (!isWanted) {
            isAsking = false
            return
        }
        val standing = row?.value?.substringBefore(' ')?.toLongOrNull() ?: 0
        if (standing > knownTerm) {
            // Its holder may live and not have been heard of yet.
            knownTerm = standing
            isAsking = false
            askAgainAt = clock.steady() + HEAR_HOLDER_MILLISECONDS
            return
        }
        val next = standing + 1
        val mark = "$next $daemon ${clock.wall()}"
        val write = ConditionalWrite(key, row?.version ?: ConditionalWrite.ABSENT, mark)
        table.transact(listOf(write)).thenAccept { result -> thread.execute { written(next, mark, result) } }
    }

    private fun written(
        next: Long,
        mark: String,
        result: Either<StoreFailure, TransactionResult>,
    ) = result.fold(
        { failure -> if (failure is StoreFailure.AnswerLost) readBack(next, mark) else failed(failure) },
        { if (it is TransactionResult.Committed) won(next) else failed(StoreFailure.Unavailable) },
    )

    /** The write may have taken effect although its answer was lost. */
    private fun readBack(
        next: Long,
        mark: String,
    ) {
        table.read(setOf(key)).thenAccept { result ->
            thread.execute {
                result.fold(::failed) { rows ->
                    if (rows[key]?.value == mark) won(next) else failed(StoreFailure.Unavailable)
                }
            }
        }
    }

    private fun won(next: Long) {
        isAsking = false
        term = next
        takenAt = clock.steady()
        onTaken()
        state =
            GroupControlState(
                nextEpoch = next * EPOCHS_PER_TERM,
                hasPredecessor = next > 1,
                loadTokensFilledAt = clock.steady(),
            )
        lines.record("control-taken", "failureDomain" to failureDomain, "term" to term)
    }

    private fun failed(failure: StoreFailure) {
        isAsking = false
        askAgainAt = clock.steady() + ASK_AGAIN_MILLISECONDS
        lines.record("control-not-taken", "failureDomain" to failureDomain, "failure" to failure)
    }

    private companion object {
        /** More than a term can use at one formation a millisecond for a quarter of an hour. */
        const val EPOCHS_PER_TERM = 1_000_000L
        const val ASK_AGAIN_MILLISECONDS = 500L

        /** Several heartbeats and the time in which daemons find each other. */
        const val HEAR_HOLDER_MILLISECONDS = 900L
    }
}
