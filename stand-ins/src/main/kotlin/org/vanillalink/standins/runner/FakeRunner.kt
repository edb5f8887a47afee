/*
 * An in-process runner, listed in the registry of a store.
 */
package org.vanillalink.standins.runner

import org.vanillalink.model.Endpoint
import org.vanillalink.standins.rows.RowStore
import org.vanillalink.transport.Json
import org.vanillalink.transport.NettyEventLoops
import org.vanillalink.transport.NettyHttpServer
import org.vanillalink.transport.ServerLimits
import java.util.Base64

/** Listens on [listen] and writes its registry entry to [store]. */
class FakeRunner(
    loops: NettyEventLoops,
    listen: Endpoint,
    private val settings: RunnerSettings,
    private val store: RowStore,
    private val memberships: GroupMemberships = GroupMemberships(),
    onGroupChanged: (GroupChange) -> Unit = {},
) {
    private val state = RunnerState(settings, memberships = memberships, onGroupChanged = onGroupChanged)

    @Volatile
    private var isEnded = false

    /** The address in its registry entry. */
    val address: String get() = settings.address

    /** Handles its requests; faults are set here. */
    val handler = RunnerHandler(settings, state, ::publishEntry)
    private val server = NettyHttpServer(loops, listen, ServerLimits(), handler)

    init {
        memberships.onIncomplete(settings.id, handler::publishBreak)
        publishEntry()
    }

    /** Writes the current entry to the registry, unless it is unresponsive. */
    fun publishEntry() {
        if (isEnded || handler.fault == RunnerFault.DARK) return
        store.put(TABLE, settings.id, Base64.getEncoder().encodeToString(Json.write(state.entry())))
    }

    /** Removes the entry, as the store does after several missed heartbeats. */
    fun expireEntry() = store.remove(TABLE, settings.id)

    /** Marks the entry as draining. */
    fun startDraining() {
        state.isDraining = true
        publishEntry()
    }

    /** Whether the head of its group has streams under way. */
    fun hasWorkInGroup(): Boolean = memberships.hasWork(settings.id)

    /** Stops the server without draining. */
    fun kill() {
        isEnded = true
        server.close()
        state.end()
    }

    private companion object {
        const val TABLE = "servers"
    }
}
