/*
 * A runner in this process, listed in a store's registry.
 */
package org.vanillalink.standins.runner

import org.vanillalink.model.Endpoint
import org.vanillalink.standins.rows.RowStore
import org.vanillalink.transport.Json
import org.vanillalink.transport.NettyEventLoops
import org.vanillalink.transport.NettyHttpServer
import org.vanillalink.transport.ServerLimits
import java.util.Base64

/** Listens on [listen] and writes its entry into [store]. */
class FakeRunner(
    loops: NettyEventLoops,
    listen: Endpoint,
    private val settings: RunnerSettings,
    private val store: RowStore,
) {
    private val state = RunnerState(settings)

    /** Where it listens. */
    val address: String get() = settings.address

    /** What it does with requests. */
    val handler = RunnerHandler(settings, state, ::publishEntry)
    private val server = NettyHttpServer(loops, listen, ServerLimits(), handler)

    init {
        publishEntry()
    }

    /** Writes the entry anew. */
    fun publishEntry() {
        if (handler.fault == RunnerFault.DARK) return
        store.put(TABLE, settings.id, Base64.getEncoder().encodeToString(Json.write(state.entry())))
    }

    /** Removes the entry, as the store does after some silent heartbeats. */
    fun expireEntry() = store.remove(TABLE, settings.id)

    /** Announces that it leaves. */
    fun startDraining() {
        state.isDraining = true
        publishEntry()
    }

    /** Ends at once. */
    fun kill() = server.close()

    private companion object {
        const val TABLE = "servers"
    }
}
