/*
 * What a controller knows and wants.
 *
 * What it wants and hasn't written yet is the difference between [ControllerState.groups] and
 * [ControllerState.storedRows]; while the platform is down that is its journal.
 */
package org.vanillalink.groups

import org.vanillalink.model.Assignment
import org.vanillalink.model.BootId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.Generation
import org.vanillalink.model.GroupId
import org.vanillalink.model.Host
import org.vanillalink.model.HostId
import org.vanillalink.model.HostStatus
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.TargetReport
import org.vanillalink.store.RowKey
import java.time.Instant

/** How far a controller is with its control. */
enum class ControllerPhase { WITHOUT_CONTROL, READING_ROWS, AWAITING_REPORTS, ACTIVE }

/** A group as the controller wants it; [boots] are its members' boots when they first showed their place. */
data class ManagedGroup(
    val group: GroupId,
    val row: GroupRow,
    val boots: Map<HostId, BootId> = emptyMap(),
) {
    /** The group as routers are told of it. */
    val description: GroupDescription get() = GroupDescription(row.service, group, row.generation, row.members)
}

/** The last order to a host. */
data class SentOrder(
    val order: TargetOrder,
    val sentAt: Instant,
)

/** The state of [GroupController]; a row that was read and doesn't exist is null in [storedRows]. */
data class ControllerState(
    val fencingNumber: FencingNumber = FencingNumber.NONE,
    val controlGainedAt: Instant = Instant.EPOCH,
    val phase: ControllerPhase = ControllerPhase.WITHOUT_CONTROL,
    val hasHostList: Boolean = false,
    val hosts: Map<HostId, Host> = emptyMap(),
    val services: List<DesiredService>? = null,
    val reports: LatestReports = LatestReports(),
    val groups: Map<GroupId, ManagedGroup> = emptyMap(),
    val hasGroupRows: Boolean = false,
    val storedRows: StoredRows = StoredRows(),
    val keysWithUnknownVersion: Set<RowKey> = emptySet(),
    val lastReadAt: Instant = Instant.EPOCH,
    val rowsBeingWritten: Map<RowKey, String>? = null,
    val endedGenerations: Map<GroupId, Generation> = emptyMap(),
    val sentOrders: Map<HostId, SentOrder> = emptyMap(),
    val generationSequence: Long = 0,
    val isPlatformReachable: Boolean = true,
) {
    /** The claim on [host] as the table holds it, or null where there is none or it isn't known. */
    fun storedClaim(host: HostId): HostClaim? = storedRows.claims[host]

    /** Whether the table says that this controller, and nobody else, may use [host]. */
    fun owns(host: HostId): Boolean = storedClaim(host)?.owner == fencingNumber

    /** The hosts that have a place in some group. */
    fun groupsByMember(): Map<HostId, ManagedGroup> =
        groups.values.flatMap { group -> group.row.members.map { it to group } }.toMap()

    /** The rows that have to be read before they can be written. */
    fun unreadRows(): Set<RowKey> = hosts.keys
        .map { GroupRows.hostKey(it) }
        .filter { it !in storedRows }
        .toSet() + keysWithUnknownVersion
}

/** Reads [state] as of [now]. */
internal class ControllerView(
    val state: ControllerState,
    val now: Instant,
    private val settings: GroupSettings,
) {
    fun freshReport(host: HostId): TargetReport? = state.reports.freshReport(host, now, settings.maxReportAge)

    fun hasReported(
        host: HostId,
        assignment: Assignment?,
    ): Boolean = assignment != null && freshReport(host)?.assignment == assignment

    /** Whether every member shows its place and is ready. */
    fun isReady(group: ManagedGroup): Boolean {
        val members = group.row.members
        if (members.isEmpty()) return false
        return members.all {
            hasReported(it, group.description.assignmentFor(it)) &&
                freshReport(it)?.phase == TargetPhase.READY
        }
    }

    fun isSilent(host: HostId): Boolean {
        val lastReceivedAt = state.reports.byHost[host]?.receivedAt ?: Instant.EPOCH
        return maxOf(lastReceivedAt, state.controlGainedAt).plus(settings.memberSilenceTimeout) < now
    }

    fun isLive(host: HostId): Boolean = state.hosts[host]?.status == HostStatus.LIVE

    /** The hosts that no group has and that this controller may use, the ones it owns first. */
    fun freeHosts(): List<HostId> {
        val assigned = state.groupsByMember().keys
        val usable = state.hosts.keys.filter { it !in assigned && isLive(it) && freshReport(it) != null }
        val owned = usable.filter { state.owns(it) }.sorted()
        if (!state.isPlatformReachable) return owned
        return owned + usable.filter { !state.owns(it) && canBeClaimed(it) }.sorted()
    }

    /**
     * Whether a host that a predecessor may have owned can be taken: its own report shows that it has no place, and
     * where the target checks fencing numbers, that the predecessor can't give it one any more.
     */
    private fun canBeClaimed(host: HostId): Boolean {
        val report = freshReport(host) ?: return false
        if (GroupRows.hostKey(host) !in state.storedRows || report.assignment != null) return false
        return !checksFencing(host) || report.highestFencingNumber >= state.fencingNumber
    }

    fun checksFencing(host: HostId): Boolean = state.hosts[host]?.checksFencing ?: false

    /** Whether orders for [group] may be sent: the table says that all its members are this controller's. */
    fun canOrder(group: ManagedGroup): Boolean =
        group.row.generation.fencingNumber == state.fencingNumber && group.row.members.all { state.owns(it) }
}
