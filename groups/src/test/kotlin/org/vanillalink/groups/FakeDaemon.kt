/*
 * A simulated daemon: the module's aggregates, connected to a table and to targets.
 */
package org.vanillalink.groups

import arrow.core.Either
import arrow.core.left
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.store.StoreFailure
import org.vanillalink.testing.InMemoryTableStore
import org.vanillalink.testing.Scenario
import org.vanillalink.testing.UnreliableLink
import java.time.Duration

internal class FakeDaemon(
    name: String,
    private val scenario: Scenario,
    private val table: InMemoryTableStore,
    settings: GroupSettings,
    private val targets: () -> Collection<FakeTarget>,
) {
    private val aggregate =
        FailureDomainAggregate(ControlHolder(DaemonId(name), BootId("$name-1")), FakeDomain.ID, true, settings)
    private val check = GroupReadinessCheck(settings)
    private val deferredActions = mutableListOf<() -> Unit>()
    val reports = UnreliableLink<ReceivedReport>(scenario) { received -> runUnlessPaused { receiveReport(received) } }
    val orders = UnreliableLink<DomainDecision.SendOrder>(scenario) { deliver(it) }
    val decisions = mutableListOf<DomainDecision>()
    val servingDecisions = mutableListOf<ServingDecision>()
    var state = DomainState()
        private set
    var serving = ServingState()
        private set
    var isPartitionedFromPlatform = false
    var isPartitionedFromPeers = false
    var isPaused = false
        private set

    fun pause() {
        isPaused = true
    }

    fun resume() {
        isPaused = false
        val actions = deferredActions.toList()
        deferredActions.clear()
        actions.forEach { it() }
    }

    fun feed(event: DomainEvent) {
        runUnlessPaused {
            val transition = aggregate.handle(state, event, scenario.now)
            state = transition.state
            decisions.addAll(transition.decisions)
            transition.decisions.forEach { execute(it) }
        }
    }

    fun tick() {
        if (isPaused) return
        reportEndedGenerations(this)
        feed(DomainEvent.Tick)
        route(ServingEvent.Tick)
    }

    fun route(event: ServingEvent) {
        val transition = check.handle(serving, event, scenario.now)
        serving = transition.state
        servingDecisions.addAll(transition.decisions)
    }

    /** Receives the groups, ended generations and fencing number of [peer]. */
    fun receiveFrom(peer: FakeDaemon) {
        if (isPartitionedFromPeers || peer.isPartitionedFromPeers) return
        peer.state.heldFencingNumber?.let { feed(ControlEvent.FencingNumberSeen(it)) }
        reportEndedGenerations(peer)
        peer.state.descriptions.forEach { description ->
            runUnlessPaused { route(ServingEvent.GroupDescribed(description)) }
        }
    }

    private fun reportEndedGenerations(from: FakeDaemon) {
        from.serving.endedGenerations.forEach { (group, generation) ->
            feed(ControllerEvent.GenerationEnded(group, generation))
        }
    }

    private fun runUnlessPaused(action: () -> Unit) {
        if (isPaused) deferredActions.add(action) else action()
    }

    private fun receiveReport(received: ReceivedReport) {
        route(ServingEvent.ReportReceived(received))
        feed(ControllerEvent.ReportReceived(received))
    }

    private fun deliver(order: DomainDecision.SendOrder) {
        val target = targets().first { it.host.id == order.host }
        val answer = target.accept(order)
        scenario.after(NETWORK_DELAY) { feed(ControllerEvent.OrderAnswered(order.host, answer)) }
    }

    private fun execute(decision: DomainDecision) {
        when (decision) {
            is DomainDecision.ReadControlRow -> {
                callTable(
                    { table.readNow(setOf(decision.key)).map { it[decision.key] } },
                ) { ControlEvent.ControlRowRead(it) }
            }

            is DomainDecision.Transact -> {
                callTable(
                    { table.transactNow(decision.writes) },
                ) { ControlEvent.TransactionFinished(decision.write, it) }
            }

            is DomainDecision.ScanRows -> {
                callTable({ table.scanNow(decision.prefix) }) { ControllerEvent.RowsScanned(it) }
            }

            is DomainDecision.ReadRows -> {
                callTable({ table.readNow(decision.keys) }) { ControllerEvent.RowsRead(decision.keys, it) }
            }

            is DomainDecision.SendOrder -> {
                orders.send(decision)
            }

            is DomainDecision.PublishDescription -> {
                route(ServingEvent.GroupDescribed(decision.description))
            }

            is DomainDecision.PublishDissolved -> {
                route(ServingEvent.GroupDissolved(decision.group, decision.generation))
            }

            else -> {
                scenario.note("${state.heldFencingNumber} $decision")
            }
        }
    }

    private fun <T> callTable(
        call: () -> Either<StoreFailure, T>,
        answer: (Either<StoreFailure, T>) -> DomainEvent,
    ) {
        scenario.after(NETWORK_DELAY) {
            val result = if (isPartitionedFromPlatform) StoreFailure.Unavailable.left() else call()
            scenario.after(NETWORK_DELAY) { feed(answer(result)) }
        }
    }

    private companion object {
        val NETWORK_DELAY: Duration = Duration.ofMillis(2)
    }
}
