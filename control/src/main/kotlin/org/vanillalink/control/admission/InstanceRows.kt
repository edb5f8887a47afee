/*
 * The rows that name the runs of a failure domain's daemons: `daemons/{failure domain}/{daemon}/{boot}`.
 */
package org.vanillalink.control.admission

import arrow.core.Either
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import com.fasterxml.jackson.module.kotlin.readValue
import org.vanillalink.admission.Holder
import org.vanillalink.groups.ControlHolder
import org.vanillalink.groups.ControlRow
import org.vanillalink.membership.DaemonIdentity
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.FencingNumber
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey

/** What a run's row holds: where the run takes messages of daemons. */
internal data class InstanceRow(
    val peers: Endpoint,
)

internal object InstanceRows {
    private const val PARTS = 4
    private const val DAEMON_PART = 2
    private const val BOOT_PART = 3
    private val mapper = jacksonObjectMapper()

    fun prefix(domain: FailureDomainId): String = "daemons/$domain/"

    fun prefix(identity: DaemonIdentity): String = "daemons/${identity.failureDomain}/${identity.daemon}/"

    fun key(identity: DaemonIdentity): RowKey = RowKey(prefix(identity) + identity.boot)

    fun holderOf(key: RowKey): Holder? {
        val parts = key.value.split('/').takeIf { it.size == PARTS } ?: return null
        return Holder(DaemonId(parts[DAEMON_PART]), BootId(parts[BOOT_PART]))
    }

    fun write(row: InstanceRow): String = mapper.writeValueAsString(row)

    fun read(row: Row): InstanceRow? = Either.catch { mapper.readValue<InstanceRow>(row.value) }.getOrNull()

    /** Whether [row] says that the run of [identity] controls the failure domain under [fencingNumber]. */
    fun isControlledBy(
        row: Row?,
        identity: DaemonIdentity,
        fencingNumber: FencingNumber,
    ): Boolean {
        val text = row?.value ?: return false
        val control = Either.catch { mapper.readValue<ControlRow>(text) }.getOrNull() ?: return false
        val holder = ControlHolder(identity.daemon, identity.boot)
        return control.holder == holder && control.fencingNumber == fencingNumber && !control.givenUp
    }
}
