/*
 * The small model behind GroupMeasurement: one failure domain with one controller, on virtual time.
 */
package org.vanillalink.measure

import org.vanillalink.groups.ControlEvent
import org.vanillalink.groups.ControlHolder
import org.vanillalink.groups.ControllerEvent
import org.vanillalink.groups.DesiredService
import org.vanillalink.groups.DomainDecision
import org.vanillalink.groups.DomainEvent
import org.vanillalink.groups.DomainState
import org.vanillalink.groups.FailureDomainAggregate
import org.vanillalink.groups.GroupDescription
import org.vanillalink.groups.GroupReadinessCheck
import org.vanillalink.groups.GroupSettings
import org.vanillalink.groups.GroupStatus
import org.vanillalink.groups.LeastAvailableServiceFirst
import org.vanillalink.groups.PlacementPolicy
import org.vanillalink.groups.ReceivedReport
import org.vanillalink.groups.RepairOrder
import org.vanillalink.groups.ServingEvent
import org.vanillalink.groups.ServingState
import org.vanillalink.groups.TargetOrder
import org.vanillalink.model.Assignment
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FabricDomainId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.Host
import org.vanillalink.model.HostId
import org.vanillalink.model.HostRole
import org.vanillalink.model.ServiceName
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.TargetReport
import org.vanillalink.testing.InMemoryTableStore
import org.vanillalink.testing.Scenario
import org.vanillalink.testing.StoreBehaviour
import java.time.Duration

/** What differs between a measured run and its baseline. */
internal data class GroupPolicy(
    val settings: GroupSettings,
    val placement: PlacementPolicy,
    val repairOrder: RepairOrder = LeastAvailableServiceFirst(),
)

/** A target of the model. */
private class ModelTarget(
    val host: Host,
    private val scenario: Scenario,
) {
    private var starts = 1
    private var sequence = 0L
    private var assignment: Assignment? = null
    private var phase = TargetPhase.EMPTY
    private var highest = FencingNumber.NONE
    var dead = false

    fun restart() {
        if (!dead) return
        dead = false
        starts++
        sequence = 0
        assignment = null
        phase = TargetPhase.EMPTY
    }

    fun report() = TargetReport(host.id, BootId("$starts"), ++sequence, phase, assignment, highest)

    fun take(order: DomainDecision.SendOrder) {
        if (dead) return
        highest = maxOf(highest, order.fencingNumber)
        when (val what = order.order) {
            is TargetOrder.Load -> load(what.assignment)
            is TargetOrder.Release -> release()
            is TargetOrder.Fence -> Unit
        }
    }

    private fun release() {
        assignment = null
        phase = TargetPhase.EMPTY
    }

    private fun load(next: Assignment) {
        if (assignment == next) return
        val hasWeights = phase == TargetPhase.READY && assignment?.service == next.service
        assignment = next
        if (hasWeights) return
        phase = TargetPhase.LOADING
        val startsNow = starts
        scenario.after(LOAD_TIME) { if (starts == startsNow && assignment == next) phase = TargetPhase.READY }
    }

    private companion object {
        val LOAD_TIME: Duration = Duration.ofSeconds(10)
    }
}

/** One failure domain with [hostsPerFabricDomain] hosts that should form [groups] groups of four. */
internal class GroupModel(
    seed: Long,
    hostsPerFabricDomain: List<Int>,
    private val groups: Int,
    policy: GroupPolicy,
) {
    private val scenario = Scenario(seed)
    private val table = InMemoryTableStore()
    private val aggregate =
        FailureDomainAggregate(
            ControlHolder(DaemonId("daemon"), BootId("1")),
            DOMAIN,
            isOwnDomain = true,
            policy.settings,
            policy.placement,
            policy.repairOrder,
        )
    private val wholeGroupCheck = GroupReadinessCheck(policy.settings)
    private val targets =
        hostsPerFabricDomain
            .flatMapIndexed { fabric, count -> List(count) { host(fabric, it) } }
            .associate { it.id to ModelTarget(it, scenario) }
    private var state = DomainState()
    private var serving = ServingState()
    private var counting = false

    /** Group seconds that groups didn't serve since [startCounting]. */
    var downtimeSeconds = 0.0
        private set

    init {
        feed(ControllerEvent.ServicesDesired(listOf(DesiredService(ServiceName("model"), MEMBERS, groups))))
        feed(ControllerEvent.HostsListed(targets.values.map { it.host }))
        scenario.every(REPORT_EVERY) { sendReports() }
        scenario.every(TICK) { tick() }
    }

    fun run(duration: Duration) = scenario.run(duration)

    fun platformUp(up: Boolean) {
        table.behaviour = if (up) StoreBehaviour.ANSWERS else StoreBehaviour.UNAVAILABLE
    }

    fun startCounting() {
        check(wholeGroups() == groups) { "only ${wholeGroups()} of $groups groups were formed" }
        counting = true
    }

    fun kill(host: HostId) {
        targets.getValue(host).dead = true
    }

    fun restart(host: HostId) = targets.getValue(host).restart()

    fun hosts(): List<HostId> = targets.keys.toList()

    fun fabricDomainOf(host: HostId): FabricDomainId = targets.getValue(host).host.fabricDomain

    fun members(): List<HostId> = servingGroups().flatMap { it.members }

    fun wholeGroups(): Int = servingGroups().size

    fun aliveOutsideWholeGroups(): Int = (targets.filterValues { !it.dead }.keys - members().toSet()).size

    private fun servingGroups(): List<GroupDescription> =
        serving.descriptions.values.filter { serving.groupStatus(it.group) is GroupStatus.Serving }

    private fun sendReports() {
        targets.values.filter { !it.dead }.forEach { target ->
            val received = ReceivedReport(target.report(), scenario.now)
            route(ServingEvent.ReportReceived(received))
            feed(ControllerEvent.ReportReceived(received))
        }
    }

    private fun tick() {
        serving.endedGenerations.forEach { (group, generation) ->
            feed(ControllerEvent.GenerationEnded(group, generation))
        }
        feed(DomainEvent.Tick)
        route(ServingEvent.Tick)
        if (counting) downtimeSeconds += (groups - wholeGroups()) * TICK.toMillis() / MILLISECONDS_PER_SECOND
    }

    private fun route(event: ServingEvent) {
        serving = wholeGroupCheck.handle(serving, event, scenario.now).state
    }

    private fun feed(event: DomainEvent) {
        val transition = aggregate.handle(state, event, scenario.now)
        state = transition.state
        transition.decisions.forEach { carryOut(it) }
    }

    private fun carryOut(decision: DomainDecision) {
        when (decision) {
            is DomainDecision.ReadControlRow -> {
                later {
                    val answer = table.readNow(setOf(decision.key)).map { it[decision.key] }
                    ControlEvent.ControlRowRead(answer)
                }
            }

            is DomainDecision.Transact -> {
                later { ControlEvent.TransactionFinished(decision.write, table.transactNow(decision.writes)) }
            }

            is DomainDecision.ScanRows -> {
                later { ControllerEvent.RowsScanned(table.scanNow(decision.prefix)) }
            }

            is DomainDecision.ReadRows -> {
                later { ControllerEvent.RowsRead(decision.keys, table.readNow(decision.keys)) }
            }

            is DomainDecision.SendOrder -> {
                targets.getValue(decision.host).take(decision)
            }

            is DomainDecision.PublishDescription -> {
                route(ServingEvent.GroupDescribed(decision.description))
            }

            is DomainDecision.PublishDissolved -> {
                route(ServingEvent.GroupDissolved(decision.group, decision.generation))
            }

            else -> {
                scenario.note("$decision")
            }
        }
    }

    private fun later(event: () -> DomainEvent) = scenario.after(TABLE_DELAY) { feed(event()) }

    private companion object {
        const val MEMBERS = 4
        const val MILLISECONDS_PER_SECOND = 1_000.0
        val DOMAIN = FailureDomainId("domain")
        val REPORT_EVERY: Duration = Duration.ofMillis(500)
        val TICK: Duration = Duration.ofMillis(100)
        val TABLE_DELAY: Duration = Duration.ofMillis(4)

        fun host(
            fabric: Int,
            index: Int,
        ) = Host(
            HostId("f$fabric-h$index"),
            Endpoint("127.0.0.1", index + 1),
            DOMAIN,
            FabricDomainId("f$fabric"),
            HostRole.MODEL_ENGINE,
            checksFencing = true,
        )
    }
}
