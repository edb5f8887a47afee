/*
 * State of the platform stand-in.
 */
package org.vanillalink.standins.platform

import org.vanillalink.model.Host
import org.vanillalink.model.HostId
import org.vanillalink.model.HostStatus
import org.vanillalink.testing.InMemoryTableStore
import org.vanillalink.testing.StoreBehaviour
import java.util.concurrent.ConcurrentHashMap

/** Table, object store and host list; calls to the table and the host list are serialised. */
class InMemoryPlatform(
    hosts: List<Host>,
) {
    private val table = InMemoryTableStore()
    private val hostsById = hosts.associateBy { it.id }.toMutableMap()

    /** The stored objects by name. */
    val objects = ConcurrentHashMap<String, ByteArray>()

    /** The fault injected into calls. */
    var behaviour: StoreBehaviour
        get() = withTable { it.behaviour }
        set(value) = withTable { it.behaviour = value }

    /** Runs [action] on the table under the lock. */
    @Synchronized
    fun <T> withTable(action: (InMemoryTableStore) -> T): T = action(table)

    /** All listed hosts. */
    @Synchronized
    fun hosts(): List<Host> = hostsById.values.toList()

    /** Changes the status of [host]; a null [status] removes it from the list. */
    @Synchronized
    fun setStatus(
        host: HostId,
        status: HostStatus?,
    ) {
        if (status ==
            null
        ) {
            hostsById.remove(host)
        } else {
            hostsById.computeIfPresent(host) { _, old -> old.copy(status = status) }
        }
    }
}
