/*
 * The attempts of this daemon at targets of its own failure domain whose work may not have ended.
 */
package org.vanillalink.control.admission

import org.vanillalink.model.AttemptId
import org.vanillalink.model.HostId
import org.vanillalink.model.RequestId

/** Attempt number [attempt] of [request] at [host]. */
internal data class LocalAttempt(
    val request: RequestId,
    val attempt: Int,
    val host: HostId,
)

/** Confined to the control thread. */
internal class LocalAttempts {
    private val byId = HashMap<AttemptId, LocalAttempt>()
    private val byHost = HashMap<HostId, MutableSet<AttemptId>>()

    val isEmpty: Boolean get() = byId.isEmpty()

    operator fun get(id: AttemptId): LocalAttempt? = byId[id]

    fun add(
        id: AttemptId,
        attempt: LocalAttempt,
    ) {
        byId[id] = attempt
        byHost.getOrPut(attempt.host) { HashSet() }.add(id)
    }

    fun remove(id: AttemptId): LocalAttempt? {
        val attempt = byId.remove(id) ?: return null
        byHost[attempt.host]?.remove(id)
        return attempt
    }

    /** Forgets the attempts at [host] that aren't among [running], and gives them. */
    fun removeEnded(
        host: HostId,
        running: Set<AttemptId>,
    ): List<LocalAttempt> = byHost[host].orEmpty().filter { it !in running }.mapNotNull(::remove)
}
