/*
 * Forms and repairs the serving groups of one failure domain while this daemon holds control of it.
 *
 * A new controller reads the rows, waits for the targets' reports, and only then changes groups. It uses a host only if
 * the table records it as the host's owner. While the platform is down it can therefore continue with the hosts that it
 * already owns; it writes the resulting rows later. Rows that differ from those that it wrote mean that another daemon
 * holds control: the controller then steps down.
 */
package org.vanillalink.groups

import org.vanillalink.model.Aggregate
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostRole
import org.vanillalink.model.Transition
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.TransactionResult
import java.time.Instant

private typealias ControllerStep = Transition<ControllerState, DomainDecision>

/** The controller of [domain]'s groups. */
internal class GroupController(
    private val domain: FailureDomainId,
    private val settings: GroupSettings,
    placement: PlacementPolicy,
    repairOrder: RepairOrder,
) : Aggregate<ControllerState, DomainEvent, DomainDecision> {
    private val repairs = GroupRepairPlanner(domain, settings, placement)
    private val orders = TargetOrderPlanner(settings, repairOrder, repairs)
    private val unwrittenRows = UnwrittenRows(settings)
    private val takeover = GroupTakeover(domain)

    override fun handle(
        state: ControllerState,
        event: DomainEvent,
        now: Instant,
    ): ControllerStep = when (event) {
        is DomainEvent.Tick -> tick(state, now)
        is ControllerEvent.HostsListed -> Transition(recordHosts(state, event))
        is ControllerEvent.ServicesDesired -> Transition(state.copy(services = event.services))
        is ControllerEvent.ReportReceived -> Transition(recordReport(state, event.received))
        is ControllerEvent.RowsScanned -> Transition(recordGroupRows(state, event))
        is ControllerEvent.RowsRead -> Transition(recordRows(state, event))
        is ControllerEvent.GenerationEnded -> Transition(recordEndedGeneration(state, event))
        is ControllerEvent.OrderAnswered -> Transition(state)
        is ControllerEvent.ControlGained -> startReadingRows(state, event, now)
        is ControllerEvent.ControlLost -> Transition(clearControl(state))
        is ControllerEvent.PlatformStatusChanged -> Transition(state.copy(isPlatformReachable = event.isReachable))
        is ControllerEvent.WritesFinished -> finishWrites(state, event)
        is ControlEvent -> Transition(state)
    }

    private fun recordHosts(
        state: ControllerState,
        event: ControllerEvent.HostsListed,
    ): ControllerState {
        val own = event.hosts.filter { it.failureDomain == domain && it.role == HostRole.MODEL_ENGINE }
        return state.copy(hasHostList = true, hosts = own.associateBy { it.id })
    }

    private fun recordReport(
        state: ControllerState,
        received: ReceivedReport,
    ): ControllerState {
        val next = state.copy(reports = state.reports.withReport(received))
        val report =
            next.reports.byHost
                .getValue(received.report.host)
                .report
        val assignment = report.assignment ?: return next
        val group = next.groups[assignment.group] ?: return next
        if (group.description.assignmentFor(report.host) != assignment || report.host in group.boots) return next
        val updated = group.copy(boots = group.boots + (report.host to report.boot))
        return next.copy(groups = next.groups + (group.group to updated))
    }

    private fun recordEndedGeneration(
        state: ControllerState,
        event: ControllerEvent.GenerationEnded,
    ): ControllerState {
        val latest = state.endedGenerations[event.group]
        if (latest != null && latest >= event.generation) return state
        return state.copy(endedGenerations = state.endedGenerations + (event.group to event.generation))
    }

    private fun clearControl(state: ControllerState): ControllerState = ControllerState(
        hasHostList = state.hasHostList,
        hosts = state.hosts,
        services = state.services,
        reports = state.reports,
        endedGenerations = state.endedGenerations,
    )

    private fun startReadingRows(
        state: ControllerState,
        event: ControllerEvent.ControlGained,
        now: Instant,
    ): ControllerStep {
        val cleared = clearControl(state)
        val phase = ControllerPhase.READING_ROWS
        return readMissingRows(
            cleared.copy(fencingNumber = event.fencingNumber, controlGainedAt = now, phase = phase),
            now,
        )
    }

    private fun readMissingRows(
        state: ControllerState,
        now: Instant,
    ): ControllerStep {
        if (state.lastReadAt.plus(settings.retryInterval) > now) return Transition(state)
        val scan = if (state.hasGroupRows) null else DomainDecision.ScanRows(GroupRows.groupsPrefix(domain))
        val read = state.unreadRows().takeIf { it.isNotEmpty() }?.let { DomainDecision.ReadRows(it) }
        return Transition(state.copy(lastReadAt = now), listOfNotNull(scan, read))
    }

    private fun recordGroupRows(
        state: ControllerState,
        event: ControllerEvent.RowsScanned,
    ): ControllerState {
        val rows = event.result.getOrNull() ?: return state
        if (state.phase != ControllerPhase.READING_ROWS || state.hasGroupRows) return state
        return state.copy(storedRows = state.storedRows.withRows(rows), hasGroupRows = true)
    }

    /** Ignores rows that this controller has written in the meantime: they are newer than those of an earlier read. */
    private fun recordRows(
        state: ControllerState,
        event: ControllerEvent.RowsRead,
    ): ControllerState {
        val rows = event.result.getOrNull() ?: return state
        if (state.phase == ControllerPhase.WITHOUT_CONTROL) return state
        val unreadKeys = event.keys.filter { it !in state.storedRows && it !in state.rowsBeingWritten.orEmpty() }
        val storedRows = state.storedRows.withRows(unreadKeys.associateWith { rows[it] })
        return state.copy(
            storedRows = storedRows,
            keysWithUnknownVersion =
                state.keysWithUnknownVersion - unreadKeys.toSet(),
        )
    }

    private fun tick(
        state: ControllerState,
        now: Instant,
    ): ControllerStep = when (state.phase) {
        ControllerPhase.WITHOUT_CONTROL -> Transition(state)
        ControllerPhase.READING_ROWS -> awaitRows(state, now)
        ControllerPhase.AWAITING_REPORTS -> awaitReports(state, now)
        ControllerPhase.ACTIVE -> reconcile(state, now)
    }

    private fun awaitRows(
        state: ControllerState,
        now: Instant,
    ): ControllerStep {
        val complete = state.hasGroupRows && state.hasHostList && state.unreadRows().isEmpty()
        if (!complete || state.services == null) return readMissingRows(state, now)
        return awaitReports(state.copy(phase = ControllerPhase.AWAITING_REPORTS), now)
    }

    private fun awaitReports(
        state: ControllerState,
        now: Instant,
    ): ControllerStep {
        val view = ControllerView(state, now, settings)
        val hasAllReports = state.hosts.keys.all { view.freshReport(it) != null }
        if (!hasAllReports && state.controlGainedAt.plus(settings.maxReportWait) > now) return Transition(state)
        val active = state.copy(phase = ControllerPhase.ACTIVE, groups = takeover.buildGroupsFromRows(state))
        val adopted = takeover.adoptReportedGroups(ControllerView(active, now, settings))
        val groups =
            adopted.state.groups.values
                .filter { it.row.members.isNotEmpty() }
        val published = groups.map { DomainDecision.PublishDescription(it.description) }
        val acted = reconcile(adopted.state, now)
        return Transition(acted.state, adopted.decisions + published + acted.decisions)
    }

    private fun reconcile(
        state: ControllerState,
        now: Instant,
    ): ControllerStep {
        val adopted = adoptReportedGroups(state, now)
        val repaired = repairs.apply(ControllerView(adopted.state, now, settings))
        val ordered = orders.planOrders(ControllerView(repaired.state, now, settings))
        val written = writeChangedRows(ordered.state, now)
        val reading =
            if (written.state.unreadRows().isEmpty()) {
                Transition(
                    written.state,
                )
            } else {
                readMissingRows(written.state, now)
            }
        val decisions =
            adopted.decisions + repaired.decisions + ordered.decisions + written.decisions + reading.decisions
        return Transition(reading.state, decisions)
    }

    private fun adoptReportedGroups(
        state: ControllerState,
        now: Instant,
    ): ControllerStep {
        val adopted = takeover.adoptReportedGroups(ControllerView(state, now, settings))
        val takenOver = adopted.decisions.filterIsInstance<DomainDecision.GroupTakenOver>()
        return Transition(
            adopted.state,
            adopted.decisions + takenOver.map { DomainDecision.PublishDescription(it.description) },
        )
    }

    private fun writeChangedRows(
        state: ControllerState,
        now: Instant,
    ): ControllerStep {
        if (state.rowsBeingWritten != null || !state.isPlatformReachable) return Transition(state)
        val rows = unwrittenRows.find(ControllerView(state, now, settings))
        if (rows.isEmpty()) return Transition(state)
        val request = ControlEvent.TransactionRequested(unwrittenRows.toConditionalWrites(state, rows))
        return Transition(state.copy(rowsBeingWritten = rows), listOf(InternalDecision.SendToControl(request)))
    }

    private fun finishWrites(
        state: ControllerState,
        event: ControllerEvent.WritesFinished,
    ): ControllerStep {
        val rows = state.rowsBeingWritten ?: return Transition(state)
        val next = state.copy(rowsBeingWritten = null)
        return event.result.fold(
            { Transition(next) },
            { result ->
                when (result) {
                    is TransactionResult.Committed -> Transition(recordCommit(next, rows, result))
                    is TransactionResult.Conflict -> Transition(next, listOf(requestStepDown()))
                }
            },
        )
    }

    /** Rows whose versions are unknown because the response was lost are read again before they are used. */
    private fun recordCommit(
        state: ControllerState,
        rows: Map<RowKey, String>,
        result: TransactionResult.Committed,
    ): ControllerState {
        val withVersion = rows.filterKeys { it in result.versions }
        val written = withVersion.mapValues { (key, value) -> Row(result.versions.getValue(key), value) }
        val withoutVersion = state.keysWithUnknownVersion + (rows.keys - withVersion.keys)
        return state.copy(
            storedRows = state.storedRows.withoutRows(rows.keys).withRows(written),
            keysWithUnknownVersion = withoutVersion,
        )
    }

    private fun requestStepDown() = InternalDecision.SendToControl(ControlEvent.StepDownRequested)
}
