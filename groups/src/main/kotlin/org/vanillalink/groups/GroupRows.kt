/*
 * The row types of this module with their keys and JSON. The properties' names are the JSON fields.
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

/** One boot of a daemon. */
data class ControlHolder(
    val daemon: DaemonId,
    val boot: BootId,
)

/** The holder of control. [write] is the number of the last transaction, by which its writer recognises it. */
data class ControlRow(
    val holder: ControlHolder,
    val fencingNumber: FencingNumber,
    val write: Long,
    val givenUp: Boolean = false,
)

/** A serving group as formed by its controller; without members it is waiting for hosts. */
data class GroupRow(
    val service: ServiceName,
    val generation: Generation,
    val members: List<HostId>,
)

/** The controller with number [owner] may use a host, for [group] or as a spare; with number 0 no controller may. */
data class HostClaim(
    val owner: FencingNumber,
    val group: GroupId? = null,
    val generation: Generation? = null,
)

/** The keys of this module's rows and their conversion to and from JSON. */
object GroupRows {
    /** The common key prefix of all group rows of [domain]. */
    fun groupsPrefix(domain: FailureDomainId): String = "groups/$domain/"

    /** The key of the control row of [domain]. */
    fun controlKey(domain: FailureDomainId): RowKey = RowKey("control/$domain")

    /** The key of the claim on [host]. */
    fun hostKey(host: HostId): RowKey = RowKey("hosts/$host")

    /** The key of the row of [group], whose identifier starts with its failure domain. */
    fun groupKey(group: GroupId): RowKey = RowKey("groups/$group")

    /** The host of a claim's key, or null for any other key. */
    internal fun decodeHost(key: RowKey): HostId? =
        key.value.takeIf { it.startsWith("hosts/") }?.let { HostId(it.removePrefix("hosts/")) }

    /** The group of a group row's key, or null for any other key. */
    internal fun decodeGroupId(key: RowKey): GroupId? =
        key.value.takeIf { it.startsWith("groups/") }?.let { GroupId(it.removePrefix("groups/")) }

    internal fun encode(value: Any): String = mapper.writeValueAsString(value)

    internal fun decodeControl(text: String): ControlRow = mapper.readValue(text)

    internal fun decodeGroup(text: String): GroupRow = mapper.readValue(text)

    internal fun decodeClaim(text: String): HostClaim = mapper.readValue(text)

    private val mapper = jacksonObjectMapper()
}
