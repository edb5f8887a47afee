/*
 * This daemon's part in the control of one failure domain: winning it by a conditional write, and the groups while it
 * has it. Each term begins with a greater epoch than any of the term before.
 */
package org.vanillalink.gateway.control

import arrow.core.Either
import org.vanillalink.gateway.logs.EventLogger
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
    private val controlThread: ControlThread,
    private val eventLogger: EventLogger,
    private val clock: GatewayClock,
    private val onTermStarted: () -> Unit,
) {
    private val controller = GroupController()
    private val rowKey = RowKey("control/${failureDomain.value}")
    private var state: GroupControlState? = null
    private var isClaimPending = false
    private var retryAt = 0L

    /** Whether this daemon should control, by the last look at its peers. */
    private var isPreferred = false

    /** The greatest term that this daemon has heard of. */
    private var highestObservedTerm = 0L

    /** When this daemon last took control, on the steady clock. */
    var takenAt = 0L
        private set

    /** The term that this daemon holds, or 0. */
    var term = 0L
        private set

    /** Whether this daemon has control. */
    val isHeld: Boolean get() = state != null

    /** Takes or gives up control; [claimedTerm] is the greatest term that a peer claims. */
    fun updateElection(
        isPreferred: Boolean,
        claimedTerm: Long?,
    ) {
        this.isPreferred = isPreferred
        if (claimedTerm != null) highestObservedTerm = maxOf(highestObservedTerm, claimedTerm)
        if (isHeld) {
            if (claimedTerm != null && claimedTerm > term) releaseControl("peer-holds-term-$claimedTerm")
            if (!isPreferred && isHeld) releaseControl("another-daemon-should-control")
            return
        }
        if (!isPreferred || isClaimPending || clock.steady() < retryAt) return
        readClaim()
    }

    /** Feeds [event] to the controller, where this daemon has control. */
    fun apply(event: GroupEvent): List<GroupDecision> {
        val currentState = state ?: return emptyList()
        val transition = controller.applyEvent(currentState, event, clock.steady())
        state = transition.state
        return transition.decisions
    }

    /** The groups that serve, where this daemon has control. */
    fun announcement(
        view: DomainView,
        hasCurrentView: Boolean,
    ): ControlledDomain? {
        val currentState = state ?: return null
        if (!hasCurrentView) return ControlledDomain(failureDomain, term, null, emptySet())
        val brokenGroups = controller.brokenGroups(currentState, clock.steady())
        // Others only need the members that take requests.
        val announcedGroups = controller.servingGroups(currentState, view).map { it.copy(members = it.members.take(1)) }
        return ControlledDomain(failureDomain, term, announcedGroups, brokenGroups)
    }

    private fun releaseControl(reason: String) {
        eventLogger.record("control-given-up", "failureDomain" to failureDomain, "term" to term, "reason" to reason)
        state = null
        term = 0
    }

    private fun readClaim() {
        isClaimPending = true
        table.read(setOf(rowKey)).thenAccept { result ->
            controlThread.execute { result.fold(::onFailure) { rows -> writeClaim(rows[rowKey]) } }
        }
    }

    private fun writeClaim(row: Row?) {
        // Peers may have been heard of while the row was read.
        if (!isPreferred) {
            isClaimPending = false
            return
        }
        val storedTerm = row?.value?.substringBefore(' ')?.toLongOrNull() ?: 0
        if (storedTerm > highestObservedTerm) {
            // Its holder may live and not have been heard of yet.
            highestObservedTerm = storedTerm
            isClaimPending = false
            retryAt = clock.steady() + HOLDER_DISCOVERY_MILLISECONDS
            return
        }
        val newTerm = storedTerm + 1
        val claim = "$newTerm $daemon ${clock.wall()}"
        val write = ConditionalWrite(rowKey, row?.version ?: ConditionalWrite.ABSENT, claim)
        table.transact(listOf(write)).thenAccept { result ->
            controlThread.execute { onClaimWritten(newTerm, claim, result) }
        }
    }

    private fun onClaimWritten(
        newTerm: Long,
        claim: String,
        result: Either<StoreFailure, TransactionResult>,
    ) = result.fold(
        { failure -> if (failure is StoreFailure.AnswerLost) verifyClaim(newTerm, claim) else onFailure(failure) },
        { if (it is TransactionResult.Committed) onWon(newTerm) else onFailure(StoreFailure.Unavailable) },
    )

    /** The write may have taken effect although its answer was lost. */
    private fun verifyClaim(
        newTerm: Long,
        claim: String,
    ) {
        table.read(setOf(rowKey)).thenAccept { result ->
            controlThread.execute {
                result.fold(::onFailure) { rows ->
                    if (rows[rowKey]?.value == claim) onWon(newTerm) else onFailure(StoreFailure.Unavailable)
                }
            }
        }
    }

    private fun onWon(newTerm: Long) {
        isClaimPending = false
        term = newTerm
        takenAt = clock.steady()
        onTermStarted()
        state =
            GroupControlState(
                nextEpoch = newTerm * EPOCHS_PER_TERM,
                hasPredecessor = newTerm > 1,
                loadTokensFilledAt = clock.steady(),
            )
        eventLogger.record("control-taken", "failureDomain" to failureDomain, "term" to term)
    }

    private fun onFailure(failure: StoreFailure) {
        isClaimPending = false
        retryAt = clock.steady() + RETRY_DELAY_MILLISECONDS
        eventLogger.record("control-not-taken", "failureDomain" to failureDomain, "failure" to failure)
    }

    private companion object {
        /** More than a term can use at one formation a millisecond for a quarter of an hour. */
        const val EPOCHS_PER_TERM = 1_000_000L
        const val RETRY_DELAY_MILLISECONDS = 500L

        /** Several heartbeats and the time in which daemons find each other. */
        const val HOLDER_DISCOVERY_MILLISECONDS = 900L
    }
}
