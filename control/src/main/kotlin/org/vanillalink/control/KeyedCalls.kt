/*
 * Calls with an idempotency key, which pass through two aggregates: the dispatch record decides whether a call may be
 * sent, the router decides where to.
 */
package org.vanillalink.control

import org.vanillalink.dispatch.record.CallOutcome
import org.vanillalink.dispatch.record.DispatchEvent
import org.vanillalink.dispatch.record.KeyedCall
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RequestId
import org.vanillalink.routing.RouterEvent

/** The keyed calls that this daemon has sent or is about to send; confined to the control thread. */
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

    /** The router event for [request] once its record permits the call to be sent. */
    fun arrivalFor(request: RequestId): RouterEvent.RequestArrived? = entries[request]?.arrival

    /** Keeps the target's complete response until the router has processed the end of the attempt. */
    fun recordOutcome(
        request: RequestId,
        outcome: CallOutcome,
    ) {
        entries[request]?.outcome = outcome
    }

    /** The event for the record once the router reports [request] as answered. */
    fun complete(request: RequestId): DispatchEvent? {
        val entry = entries.remove(request) ?: return null
        val outcome = entry.outcome ?: return failureEvent(entry.call, mayHaveRun = true)
        return DispatchEvent.TargetResponded(entry.call.record, entry.call.attempt, outcome)
    }

    /** The event for the record once the router refuses [request]. */
    fun fail(
        request: RequestId,
        refusal: Refusal,
    ): DispatchEvent? {
        val entry = entries.remove(request) ?: return null
        return failureEvent(entry.call, mayHaveRun = refusal.outcome == RefusalOutcome.UNKNOWN)
    }

    /** Removes a call that was answered or refused without being sent. */
    fun remove(request: RequestId) {
        entries.remove(request)
    }

    private fun failureEvent(
        call: KeyedCall,
        mayHaveRun: Boolean,
    ) = DispatchEvent.TargetFailed(call.record, call.attempt, mayHaveRun)
}
