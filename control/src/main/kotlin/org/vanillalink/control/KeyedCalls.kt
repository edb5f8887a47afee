/*
 * Calls with an idempotency key on their way through two aggregates: the dispatch record says whether a call may be
 * sent, the router says where to.
 */
package org.vanillalink.control

import org.vanillalink.dispatch.record.CallOutcome
import org.vanillalink.dispatch.record.DispatchEvent
import org.vanillalink.dispatch.record.KeyedCall
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RequestId
import org.vanillalink.routing.RouterEvent

/** The keyed calls that this daemon has sent, or is about to send; confined to the control thread. */
internal class KeyedCalls {
    private class Entry(
        val call: KeyedCall,
        val arrival: RouterEvent.RequestArrived,
    ) {
        var outcome: CallOutcome? = null
    }

    private val entries = HashMap<RequestId, Entry>()

    fun add(
        call: KeyedCall,
        arrival: RouterEvent.RequestArrived,
    ) {
        entries[call.request] = Entry(call, arrival)
    }

    fun contains(request: RequestId): Boolean = request in entries

    /** What the router has to be told once the record allows to send [request]. */
    fun arrivalFor(request: RequestId): RouterEvent.RequestArrived? = entries[request]?.arrival

    /** Keeps the target's whole answer until the router has taken notice of the attempt's end. */
    fun recordOutcome(
        request: RequestId,
        outcome: CallOutcome,
    ) {
        entries[request]?.outcome = outcome
    }

    /** What the record has to be told once the router calls [request] answered. */
    fun complete(request: RequestId): DispatchEvent? {
        val entry = entries.remove(request) ?: return null
        val outcome = entry.outcome ?: return failureEvent(entry.call, mayHaveRun = true)
        return DispatchEvent.TargetResponded(entry.call.record, entry.call.attempt, outcome)
    }

    /** What the record has to be told once the router refuses [request]. */
    fun fail(
        request: RequestId,
        refusal: Refusal,
    ): DispatchEvent? {
        val entry = entries.remove(request) ?: return null
        return failureEvent(entry.call, mayHaveRun = refusal.outcome == RefusalOutcome.UNKNOWN)
    }

    /** Forgets a call that was answered or refused without being sent. */
    fun remove(request: RequestId) {
        entries.remove(request)
    }

    private fun failureEvent(
        call: KeyedCall,
        mayHaveRun: Boolean,
    ) = DispatchEvent.TargetFailed(call.record, call.attempt, mayHaveRun)
}
