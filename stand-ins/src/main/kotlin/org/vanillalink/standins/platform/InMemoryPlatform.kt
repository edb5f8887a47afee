/*
 * The state of the platform's stand-in.
 */
package org.vanillalink.standins.platform

import org.vanillalink.model.Host
import org.vanillalink.model.HostId
import org.vanillalink.model.HostStatus
import org.vanillalink.testing.InMemoryTableStore
import org.vanillalink.testing.StoreBehaviour
import java.util.concurrent.ConcurrentHashMap

/** Table, objects and hosts; all calls are serialised. */
class InMemoryPlatform(
    hosts: List<Host>,
) {
    private val table = InMemoryTableStore()
    private val hostsById = hosts.associateBy { it.id }.toMutableMap()

    /** Stored objects by name. */
    val objects = ConcurrentHashMap<String, ByteArray>()

    /** How calls are treated. */
    var behaviour: StoreBehaviour
        get() = withTable { it.behaviour }
        set(value) = withTable { it.behaviour = value }

    /** Runs [action] alone on the table. */
    @Synchronized
    fun <T> withTable(action: (InMemoryTableStore) -> T): T = action(table)

    /** The host list. */
    @Synchronized
    fun hosts(): List<Host> = hostsById.values.toList()

    /** Changes a host's status, or takes it off the list where [status] is null. */
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
