/*
 * Forms and repairs the serving groups of one failure domain while this daemon holds its control.
 *
 * A new controller reads the rows, waits for the targets' reports, and only then acts. It uses a host only if the table
 * says that the host is its own; so it can go on without the platform with the hosts that it owned before, and writes
 * the outcome down later. Rows that differ from what it wrote mean that somebody else holds control: it concedes.
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
    private val repairs = Repairs(domain, settings, placement)
    private val orders = TargetOrders(settings, repairOrder, repairs)
    private val journal = RowJournal(settings)
    private val takeOver = TakeOver(domain)

    override fun handle(
        state: ControllerState,
        event: DomainEvent,
        now: Instant,
    ): ControllerStep = when (event) {
        is DomainEvent.Tick -> tick(state, now)
        is ControllerEvent.HostsListed -> Transition(list(state, event))
        is ControllerEvent.ServicesDesired -> Transition(state.copy(services = event.services))
        is ControllerEvent.ReportReceived -> Transition(receive(state, event.received))
        is ControllerEvent.RowsScanned -> Transition(scanned(state, event))
        is ControllerEvent.RowsRead -> Transition(read(state, event))
        is ControllerEvent.GenerationEnded -> Transition(end(state, event))
        is ControllerEvent.OrderAnswered -> Transition(state)
        is ControllerEvent.ControlGained -> gain(state, event, now)
        is ControllerEvent.ControlLost -> Transition(withoutControl(state))
        is ControllerEvent.PlatformStatusChanged -> Transition(state.copy(reachable = event.isReachable))
        is ControllerEvent.WritesFinished -> finish(state, event)
        is ControlEvent -> Transition(state)
    }

    private fun list(
        state: ControllerState,
        event: ControllerEvent.HostsListed,
    ): ControllerState {
        val own = event.hosts.filter { it.failureDomain == domain && it.role == HostRole.MODEL_ENGINE }
        return state.copy(hostsListed = true, hosts = own.associateBy { it.id })
    }

    private fun receive(
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
        val seen = group.copy(boots = group.boots + (report.host to report.boot))
        return next.copy(groups = next.groups + (group.group to seen))
    }

    private fun end(
        state: ControllerState,
        event: ControllerEvent.GenerationEnded,
    ): ControllerState {
        val known = state.ended[event.group]
        if (known != null && known >= event.generation) return state
        return state.copy(ended = state.ended + (event.group to event.generation))
    }

    private fun withoutControl(state: ControllerState): ControllerState = ControllerState(
        hostsListed = state.hostsListed,
        hosts = state.hosts,
        services = state.services,
        reports = state.reports,
        ended = state.ended,
    )

    private fun gain(
        state: ControllerState,
        event: ControllerEvent.ControlGained,
        now: Instant,
    ): ControllerStep {
        val cleared = withoutControl(state)
        val phase = ControllerPhase.READING_ROWS
        return readMissing(cleared.copy(number = event.fencingNumber, gainedAt = now, phase = phase), now)
    }

    private fun readMissing(
        state: ControllerState,
        now: Instant,
    ): ControllerStep {
        if (state.readAt.plus(settings.retryInterval) > now) return Transition(state)
        val scan = if (state.groupsScanned) null else DomainDecision.ScanRows(GroupRows.groupsPrefix(domain))
        val read = state.unreadRows().takeIf { it.isNotEmpty() }?.let { DomainDecision.ReadRows(it) }
        return Transition(state.copy(readAt = now), listOfNotNull(scan, read))
    }

    private fun scanned(
        state: ControllerState,
        event: ControllerEvent.RowsScanned,
    ): ControllerState {
        val rows = event.result.getOrNull() ?: return state
        if (state.phase != ControllerPhase.READING_ROWS || state.groupsScanned) return state
        return state.copy(stored = state.stored.with(rows), groupsScanned = true)
    }

    /** Rows that this controller has written meanwhile are newer than what an older read shows. */
    private fun read(
        state: ControllerState,
        event: ControllerEvent.RowsRead,
    ): ControllerState {
        val rows = event.result.getOrNull() ?: return state
        if (state.phase == ControllerPhase.WITHOUT_CONTROL) return state
        val unknown = event.keys.filter { it !in state.stored && it !in state.writing.orEmpty() }
        val stored = state.stored.with(unknown.associateWith { rows[it] })
        return state.copy(stored = stored, lostVersions = state.lostVersions - unknown.toSet())
    }

    private fun tick(
        state: ControllerState,
        now: Instant,
    ): ControllerStep = when (state.phase) {
        ControllerPhase.WITHOUT_CONTROL -> Transition(state)
        ControllerPhase.READING_ROWS -> awaitRows(state, now)
        ControllerPhase.AWAITING_REPORTS -> awaitReports(state, now)
        ControllerPhase.ACTIVE -> act(state, now)
    }

    private fun awaitRows(
        state: ControllerState,
        now: Instant,
    ): ControllerStep {
        val complete = state.groupsScanned && state.hostsListed && state.unreadRows().isEmpty()
        if (!complete || state.services == null) return readMissing(state, now)
        return awaitReports(state.copy(phase = ControllerPhase.AWAITING_REPORTS), now)
    }

    private fun awaitReports(
        state: ControllerState,
        now: Instant,
    ): ControllerStep {
        val view = ControllerView(state, now, settings)
        val hasAllReports = state.hosts.keys.all { view.freshReport(it) != null }
        if (!hasAllReports && state.gainedAt.plus(settings.maxReportWait) > now) return Transition(state)
        val active = state.copy(phase = ControllerPhase.ACTIVE, groups = takeOver.groupsOfRows(state))
        val adopted = takeOver.adopt(ControllerView(active, now, settings))
        val groups =
            adopted.state.groups.values
                .filter { it.row.members.isNotEmpty() }
        val published = groups.map { DomainDecision.PublishDescription(it.description) }
        val acted = act(adopted.state, now)
        return Transition(acted.state, adopted.decisions + published + acted.decisions)
    }

    private fun act(
        state: ControllerState,
        now: Instant,
    ): ControllerStep {
        val adopted = adoptLate(state, now)
        val repaired = repairs.apply(ControllerView(adopted.state, now, settings))
        val ordered = orders.due(ControllerView(repaired.state, now, settings))
        val written = write(ordered.state, now)
        val reading =
            if (written.state.unreadRows().isEmpty()) {
                Transition(
                    written.state,
                )
            } else {
                readMissing(written.state, now)
            }
        val decisions =
            adopted.decisions + repaired.decisions + ordered.decisions + written.decisions + reading.decisions
        return Transition(reading.state, decisions)
    }

    private fun adoptLate(
        state: ControllerState,
        now: Instant,
    ): ControllerStep {
        val adopted = takeOver.adopt(ControllerView(state, now, settings))
        val taken = adopted.decisions.filterIsInstance<DomainDecision.GroupTakenOver>()
        return Transition(
            adopted.state,
            adopted.decisions + taken.map { DomainDecision.PublishDescription(it.description) },
        )
    }

    private fun write(
        state: ControllerState,
        now: Instant,
    ): ControllerStep {
        if (state.writing != null || !state.reachable) return Transition(state)
        val rows = journal.difference(ControllerView(state, now, settings))
        if (rows.isEmpty()) return Transition(state)
        val request = ControlEvent.TransactionRequested(journal.writes(state, rows))
        return Transition(state.copy(writing = rows), listOf(InternalDecision.SendToControl(request)))
    }

    private fun finish(
        state: ControllerState,
        event: ControllerEvent.WritesFinished,
    ): ControllerStep {
        val rows = state.writing ?: return Transition(state)
        val next = state.copy(writing = null)
        return event.result.fold(
            { Transition(next) },
            { result ->
                when (result) {
                    is TransactionResult.Committed -> Transition(committed(next, rows, result))
                    is TransactionResult.Conflict -> Transition(next, listOf(requestStepDown()))
                }
            },
        )
    }

    /** Where the versions aren't known because the answer was lost, the rows are read again before they are used. */
    private fun committed(
        state: ControllerState,
        rows: Map<RowKey, String>,
        result: TransactionResult.Committed,
    ): ControllerState {
        val known = rows.filterKeys { it in result.versions }
        val written = known.mapValues { (key, value) -> Row(result.versions.getValue(key), value) }
        val lost = state.lostVersions + (rows.keys - known.keys)
        return state.copy(stored = state.stored.without(rows.keys).with(written), lostVersions = lost)
    }

    private fun requestStepDown() = InternalDecision.SendToControl(ControlEvent.StepDownRequested)
}
