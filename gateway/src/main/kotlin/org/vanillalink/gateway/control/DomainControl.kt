/*
 * Control of one failure domain by this daemon: control is claimed with a conditional write to the store, and the
 * groups are managed while it is held. Each term starts with an epoch greater than all epochs of the previous term.
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
import java.time.Duration

/** Confined to the control thread. */
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

    /** Whether this daemon should have control, by the last evaluation of the peers. */
    private var isPreferred = false

    /** The highest term received from peers or read from the store. */
    private var highestObservedTerm = 0L

    /** The highest term whose epochs a target has seen; the store may have lost its claim. */
    private var highestUsedTerm = 0L

    /** When this daemon last took control, in milliseconds on the steady clock. */
    var takenAt = 0L
        private set

    /** The term in which this daemon has control, or 0. */
    var term = 0L
        private set

    val isHeld: Boolean get() = state != null

    /** Incremented when the store has come back from an older copy: calls that were begun before are void. */
    private var restorations = 0

    /**
     * Writes this daemon's claim again if the store has lost it, so that its term is not given out a second time. A
     * claim in progress was based on a row of the previous era.
     */
    fun onStoreRestored() {
        restorations += 1
        isClaimPending = false
        highestObservedTerm = maxOf(highestObservedTerm, term)
        if (isHeld) rewriteClaim()
    }

    private fun rewriteClaim() {
        val heldTerm = term
        val restoration = restorations
        table.read(setOf(rowKey)).thenAccept { result ->
            controlThread.execute {
                if (term != heldTerm || restoration != restorations) return@execute
                result.fold({ retryRewrite(heldTerm, restoration) }) { rows -> rewriteClaim(rows[rowKey], heldTerm) }
            }
        }
    }

    private fun rewriteClaim(
        row: Row?,
        heldTerm: Long,
    ) {
        if (parseTerm(row) >= heldTerm) return
        val restoration = restorations
        val claim = "$heldTerm $daemon ${clock.wall()}"
        val write = ConditionalWrite(rowKey, row?.version ?: ConditionalWrite.ABSENT, claim)
        table.transact(listOf(write)).thenAccept { result ->
            controlThread.execute {
                val isCommitted = result.getOrNull() is TransactionResult.Committed
                if (isCommitted) {
                    eventLogger.record("claim-rewritten", "failureDomain" to failureDomain, "term" to heldTerm)
                } else {
                    retryRewrite(heldTerm, restoration)
                }
            }
        }
    }

    private fun retryRewrite(
        heldTerm: Long,
        restoration: Int,
    ) {
        controlThread.scheduleOnce(Duration.ofMillis(RETRY_DELAY_MILLISECONDS)) {
            if (term == heldTerm && restoration == restorations) rewriteClaim()
        }
    }

    private fun parseTerm(row: Row?): Long = row?.value?.substringBefore(' ')?.toLongOrNull() ?: 0

    /**
     * Starts to claim control or releases it. [claimedTerm] is the highest term that a peer claims, [usedEpoch] the
     * highest epoch in the entries of the failure domain's targets.
     */
    fun updateElection(
        isPreferred: Boolean,
        claimedTerm: Long?,
        usedEpoch: Long,
    ) {
        this.isPreferred = isPreferred
        if (claimedTerm != null) highestObservedTerm = maxOf(highestObservedTerm, claimedTerm)
        if (usedEpoch in 0..MAX_USED_EPOCH) highestUsedTerm = maxOf(highestUsedTerm, usedEpoch / EPOCHS_PER_TERM)
        if (isHeld) {
            if (claimedTerm != null && claimedTerm > term) releaseControl("peer-holds-term-$claimedTerm")
            if (!isPreferred && isHeld) releaseControl("another-daemon-should-control")
            return
        }
        if (!isPreferred || isClaimPending || clock.steady() < retryAt) return
        readClaim()
    }

    /** Applies [event] to the group controller; returns no decisions where this daemon has no control. */
    fun apply(event: GroupEvent): List<GroupDecision> {
        val currentState = state ?: return emptyList()
        val transition = controller.applyEvent(currentState, event, clock.steady())
        state = transition.state
        return transition.decisions
    }

    /** The serving and broken groups to announce, or null where this daemon has no control. */
    fun announcement(
        view: DomainView,
        hasCurrentView: Boolean,
    ): ControlledDomain? {
        val currentState = state ?: return null
        if (!hasCurrentView) return ControlledDomain(failureDomain, term, null, emptySet())
        val brokenGroups = controller.brokenGroups(currentState, clock.steady())
        // Peers only need the head, which takes the requests.
        val announcedGroups = controller.servingGroups(currentState, view).map { it.copy(members = it.members.take(1)) }
        return ControlledDomain(failureDomain, term, announcedGroups, brokenGroups)
    }

    private fun releaseControl(reason: String) {
        eventLogger.record("control-given-up", "failureDomain" to failureDomain, "term" to term, "reason" to reason)
        highestObservedTerm = maxOf(highestObservedTerm, term)
        state = null
        term = 0
    }

    private fun readClaim() {
        isClaimPending = true
        val restoration = restorations
        table.read(setOf(rowKey)).thenAccept { result ->
            controlThread.execute {
                if (restoration == restorations) result.fold(::onFailure) { rows -> writeClaim(rows[rowKey]) }
            }
        }
    }

    private fun writeClaim(row: Row?) {
        // Messages of peers may have been received while the row was read.
        if (!isPreferred) {
            isClaimPending = false
            return
        }
        val storedTerm = parseTerm(row)
        if (storedTerm > highestObservedTerm) {
            // The holder of this term may be alive, with no message received from it yet.
            highestObservedTerm = storedTerm
            isClaimPending = false
            retryAt = clock.steady() + HOLDER_DISCOVERY_MILLISECONDS
            return
        }
        // Higher than all terms in use, also if the store has lost the row of the last one.
        val newTerm = maxOf(storedTerm, highestObservedTerm, highestUsedTerm) + 1
        val restoration = restorations
        val claim = "$newTerm $daemon ${clock.wall()}"
        val write = ConditionalWrite(rowKey, row?.version ?: ConditionalWrite.ABSENT, claim)
        table.transact(listOf(write)).thenAccept { result ->
            controlThread.execute { if (restoration == restorations) onClaimWritten(newTerm, claim, result) }
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

    /** Reads the row back, since a write may have been committed although its response was lost. */
    private fun verifyClaim(
        newTerm: Long,
        claim: String,
    ) {
        val restoration = restorations
        table.read(setOf(rowKey)).thenAccept { result ->
            controlThread.execute {
                if (restoration != restorations) return@execute
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
        /** More than a term uses with one group formation per millisecond for 15 minutes. */
        const val EPOCHS_PER_TERM = 1_000_000L

        /** An entry with a higher epoch isn't of a group of ours: that takes a billion changes of control. */
        const val MAX_USED_EPOCH = 1_000_000_000L * EPOCHS_PER_TERM
        const val RETRY_DELAY_MILLISECONDS = 500L

        /** Several heartbeat periods plus the time in which daemons discover each other. */
        const val HOLDER_DISCOVERY_MILLISECONDS = 900L
    }
}
