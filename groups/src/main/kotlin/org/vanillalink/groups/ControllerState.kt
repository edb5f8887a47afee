/*
 * The observed and the desired state of a group controller.
 *
 * The changes that have not been written yet are the difference between [ControllerState.groups] and
 * [ControllerState.storedRows]; while the platform is down this difference is the controller's journal.
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

/** The phases of a controller, from gaining control to managing the groups. */
enum class ControllerPhase { WITHOUT_CONTROL, READING_ROWS, AWAITING_REPORTS, ACTIVE }

/** A group in its desired state; [boots] are the members' boots when they first reported their assignment. */
data class ManagedGroup(
    val group: GroupId,
    val row: GroupRow,
    val boots: Map<HostId, BootId> = emptyMap(),
) {
    /** The description that is published to routers. */
    val description: GroupDescription get() = GroupDescription(row.service, group, row.generation, row.members)
}

/** The last order that was sent to a host. */
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
    /** The claim on [host] in the table, or null if there is none or it has not been read. */
    fun storedClaim(host: HostId): HostClaim? = storedRows.claims[host]

    /** Whether the table records this controller as the only one that may use [host]. */
    fun owns(host: HostId): Boolean = storedClaim(host)?.owner == fencingNumber

    /** The group of each host that is a member of one. */
    fun groupsByMember(): Map<HostId, ManagedGroup> =
        groups.values.flatMap { group -> group.row.members.map { it to group } }.toMap()

    /** The keys of rows that must be read before they can be written. */
    fun unreadRows(): Set<RowKey> = hosts.keys
        .map { GroupRows.hostKey(it) }
        .filter { it !in storedRows }
        .toSet() + keysWithUnknownVersion
}

/** Evaluates [state] at [now]. */
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

    /** Whether every member reports its assignment and is ready. */
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

    /** The hosts that belong to no group and that this controller may use, those that it owns first. */
    fun freeHosts(): List<HostId> {
        val assigned = state.groupsByMember().keys
        val usable = state.hosts.keys.filter { it !in assigned && isLive(it) && freshReport(it) != null }
        val owned = usable.filter { state.owns(it) }.sorted()
        if (!state.isPlatformReachable) return owned
        return owned + usable.filter { !state.owns(it) && canBeClaimed(it) }.sorted()
    }

    /**
     * Whether a host that a predecessor may have owned can be claimed: its own report shows that it has no assignment
     * and, if the target checks fencing numbers, that it no longer accepts one from the predecessor.
     */
    private fun canBeClaimed(host: HostId): Boolean {
        val report = freshReport(host) ?: return false
        if (GroupRows.hostKey(host) !in state.storedRows || report.assignment != null) return false
        return !checksFencing(host) || report.highestFencingNumber >= state.fencingNumber
    }

    fun checksFencing(host: HostId): Boolean = state.hosts[host]?.checksFencing ?: false

    /** Whether orders for [group] may be sent: the table records this controller as owner of all its members. */
    fun canOrder(group: ManagedGroup): Boolean =
        group.row.generation.fencingNumber == state.fencingNumber && group.row.members.all { state.owns(it) }
}
