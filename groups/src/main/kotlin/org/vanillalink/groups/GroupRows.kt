/*
 * The row of a failure domain's control and the JSON of this module's rows.
 */
package org.vanillalink.groups

import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import com.fasterxml.jackson.module.kotlin.readValue
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.Generation
import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import org.vanillalink.store.RowKey

/** One run of one daemon. */
data class ControlHolder(
    val daemon: DaemonId,
    val boot: BootId,
)

/** Who controls a failure domain. [write] names the last transaction, so that its writer recognises it. */
data class ControlRow(
    val holder: ControlHolder,
    val fencingNumber: FencingNumber,
    val write: Long,
    val givenUp: Boolean = false,
)

/** A serving group as its controller formed it; without members it waits for hosts. */
data class GroupRow(
    val service: ServiceName,
    val generation: Generation,
    val members: List<HostId>,
)

/** Who may use a host: the controller with number [owner], for [group] or as a spare; with number 0 nobody does. */
data class HostClaim(
    val owner: FencingNumber,
    val group: GroupId? = null,
    val generation: Generation? = null,
)

/** Keys and JSON of this module's rows. */
object GroupRows {
    /** All groups' rows of [domain] start with this. */
    fun groupsPrefix(domain: FailureDomainId): String = "groups/$domain/"

    /** The row of the control of [domain]. */
    fun controlKey(domain: FailureDomainId): RowKey = RowKey("control/$domain")

    /** The row of the claim on [host]. */
    fun hostKey(host: HostId): RowKey = RowKey("hosts/$host")

    /** The row of [group], whose identifier starts with its failure domain. */
    fun groupKey(group: GroupId): RowKey = RowKey("groups/$group")

    /** The host of a claim's row, or null for another row. */
    internal fun decodeHost(key: RowKey): HostId? =
        key.value.takeIf { it.startsWith("hosts/") }?.let { HostId(it.removePrefix("hosts/")) }

    /** The group of a group's row, or null for another row. */
    internal fun decodeGroupId(key: RowKey): GroupId? =
        key.value.takeIf { it.startsWith("groups/") }?.let { GroupId(it.removePrefix("groups/")) }

    internal fun encode(value: Any): String = mapper.writeValueAsString(value)

    internal fun decodeControl(text: String): ControlRow = mapper.readValue(text)

    internal fun decodeGroup(text: String): GroupRow = mapper.readValue(text)

    internal fun decodeClaim(text: String): HostClaim = mapper.readValue(text)

    private val mapper = jacksonObjectMapper()
}
