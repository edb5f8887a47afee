/*
 * All requests in progress; touched by the control thread only.
 */
package org.vanillalink.daemon.traffic

import org.vanillalink.model.RequestId

/** The requests in progress by id. */
class ActiveCalls {
    private val calls = LinkedHashMap<RequestId, ActiveCall>()

    /** All of them. */
    val all: Collection<ActiveCall> get() = calls.values.toList()

    /** Adds [call]. */
    fun add(call: ActiveCall) {
        calls[call.request] = call
    }

    /** The call with [request], if it is still in progress. */
    operator fun get(request: RequestId): ActiveCall? = calls[request]

    /** Takes the call with [request] out. */
    fun remove(request: RequestId): ActiveCall? = calls.remove(request)
}
