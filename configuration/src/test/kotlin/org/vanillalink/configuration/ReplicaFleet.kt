/*
 * Replicas and editors of several daemons in virtual time, connected by unreliable links, with one table service.
 */
package org.vanillalink.configuration

import arrow.core.Either
import arrow.core.right
import org.vanillalink.model.DaemonId
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TransactionResult
import org.vanillalink.testing.InMemoryTableStore
import org.vanillalink.testing.LinkBehaviour
import org.vanillalink.testing.Scenario
import org.vanillalink.testing.StoreBehaviour
import org.vanillalink.testing.UnreliableLink
import java.time.Duration

/** Messages between daemons. */
internal sealed interface FleetMessage {
    data class RevisionAnnouncement(
        val from: Int,
        val revision: Long,
        val age: Duration?,
    ) : FleetMessage

    data class ChangesRequest(
        val from: Int,
        val afterRevision: Long,
    ) : FleetMessage

    data class ChangesResponse(
        val from: Int,
        val changes: SectionChanges?,
        val age: Duration?,
    ) : FleetMessage
}

/** State of a daemon's connection to the platform. */
internal enum class StorePath { CONNECTED, DISCONNECTED, STALE }

internal class ReplicaFleet(
    val scenario: Scenario,
    size: Int,
) {
    val store = InMemoryTableStore()
    val daemons = List(size) { FleetDaemon(it, this) }
    private val links = daemons.indices.associateWith { to -> daemons.indices.associateWith { link(to) } }

    init {
        daemons.forEach { daemon -> scenario.after(Duration.ofMillis(daemon.index * 7L)) { daemon.start() } }
    }

    private fun link(to: Int) = UnreliableLink<FleetMessage>(scenario) { daemons[to].receive(it) }

    fun send(
        from: Int,
        to: Int,
        message: FleetMessage,
    ) = links.getValue(to).getValue(from).send(message)

    fun setLinks(
        behaviour: LinkBehaviour,
        matches: (Int, Int) -> Boolean = { _, _ -> true },
    ) = links.forEach { (to, senders) ->
        senders.filterKeys { matches(it, to) }.values.forEach { it.behaviour = behaviour }
    }

    fun isolate(daemon: Int) =
        setLinks(LinkBehaviour(isPartitioned = true)) { from, to -> from == daemon || to == daemon }

    fun run(duration: Duration) = scenario.run(duration)

    fun revisions(): List<Long?> = daemons.map { it.replica.revision }
}

internal class FleetDaemon(
    val index: Int,
    private val fleet: ReplicaFleet,
) {
    private val scenario = fleet.scenario
    private val replicaAggregate = ConfigurationReplica()
    private val editorAggregate = ConfigurationEditor()
    private var editor = EditorState()
    private var processNumber = 0
    private var staleRows: Map<RowKey, Row> = emptyMap()

    var path = StorePath.CONNECTED
    var losesNextTransactionResponse = false
    var onResponseLost: () -> Unit = {}
    var isRunning = false
    lateinit var replica: ReplicaState
    val results = mutableMapOf<EditId, EditResult>()
    val allResults = mutableListOf<Pair<EditId, EditResult>>()
    val revisionsInForce = mutableListOf<Long>()
    var ignoredRevisions = 0

    fun start() {
        isRunning = true
        processNumber++
        val ownProcessNumber = processNumber
        replica = ReplicaState(scenario.now, isPoller = index < ConfigurationReplica.POLLERS_PER_FAILURE_DOMAIN)
        revisionsInForce.clear()
        every(Duration.ofMillis(500), ownProcessNumber) { feed(ReplicaEvent.Tick) }
        every(Duration.ofMillis(1_000), ownProcessNumber) { announceRevision() }
    }

    fun stop() {
        isRunning = false
        processNumber++
    }

    private fun every(
        period: Duration,
        ownProcessNumber: Int,
        action: () -> Unit,
    ) {
        scenario.after(period) {
            if (processNumber == ownProcessNumber) {
                action()
                every(period, ownProcessNumber, action)
            }
        }
    }

    private fun announceRevision() {
        val revision = replica.revision ?: return
        val message = FleetMessage.RevisionAnnouncement(index, revision, replica.age(scenario.now))
        fleet.daemons.filter { it.index != index }.forEach { fleet.send(index, it.index, message) }
    }

    fun receive(message: FleetMessage) {
        if (!isRunning) return
        when (message) {
            is FleetMessage.RevisionAnnouncement -> {
                feed(ReplicaEvent.PeerRevisionReceived(daemonId(message.from), message.revision, message.age))
            }

            is FleetMessage.ChangesRequest -> {
                val changes = replica.inForce?.set?.changesAfter(message.afterRevision)
                fleet.send(index, message.from, FleetMessage.ChangesResponse(index, changes, replica.age(scenario.now)))
            }

            is FleetMessage.ChangesResponse -> {
                feed(ReplicaEvent.PeerQueryCompleted(daemonId(message.from), message.changes, message.age))
            }
        }
    }

    fun feed(event: ReplicaEvent) {
        val transition = replicaAggregate.handle(replica, event, scenario.now)
        replica = transition.state
        transition.decisions.forEach { execute(it) }
    }

    private fun execute(decision: ReplicaDecision) {
        when (decision) {
            is ReplicaDecision.ReadRows -> {
                callStore({ read(decision.keys) }) { feed(ReplicaEvent.RowsRead(decision.keys, it)) }
            }

            is ReplicaDecision.QueryPeer -> {
                val request = FleetMessage.ChangesRequest(index, decision.afterRevision)
                fleet.send(index, decision.peer.value.toInt(), request)
            }

            is ReplicaDecision.ConfigurationInForce -> {
                scenario.note("daemon $index applied revision ${decision.revision} received from ${decision.source}")
                revisionsInForce.add(decision.revision)
            }

            is ReplicaDecision.RecordTimeline -> {
                if (decision.entry is ReplicaTimelineEntry.OlderRevisionIgnored) ignoredRevisions++
            }
        }
    }

    fun edit(edit: ConfigurationEdit) = feed(EditorEvent.EditRequested(edit))

    private fun feed(event: EditorEvent) {
        val transition = editorAggregate.handle(editor, event, scenario.now)
        editor = transition.state
        transition.decisions.forEach { execute(it) }
    }

    private fun execute(decision: EditorDecision) {
        when (decision) {
            is EditorDecision.ReadRows -> {
                callStore({ read(decision.keys) }) { feed(EditorEvent.RowsRead(decision.edit, it)) }
            }

            is EditorDecision.Transact -> {
                callStore({ transact(decision.writes) }) { feed(EditorEvent.TransactionCompleted(decision.edit, it)) }
            }

            is EditorDecision.CompleteEdit -> {
                scenario.note("daemon $index completed edit ${decision.edit.edit}: ${decision.result}")
                results[decision.edit.edit] = decision.result
                allResults.add(decision.edit.edit to decision.result)
                (decision.result as? EditResult.Accepted)?.let { feed(ReplicaEvent.EditAccepted(it.revision)) }
            }
        }
    }

    private fun <Result> callStore(
        call: () -> Result,
        onCompleted: (Result) -> Unit,
    ) {
        val ownProcessNumber = processNumber
        val requestDelay = Duration.ofMillis(scenario.random.nextLong(1, 20))
        val responseDelay = Duration.ofMillis(scenario.random.nextLong(1, 20))
        scenario.after(requestDelay) {
            val result = call()
            scenario.after(responseDelay) { if (processNumber == ownProcessNumber) onCompleted(result) }
        }
    }

    private fun read(keys: Set<RowKey>): Either<StoreFailure, Map<RowKey, Row>> = when (path) {
        StorePath.CONNECTED -> fleet.store.readNow(keys)
        StorePath.DISCONNECTED -> Either.Left(StoreFailure.Unavailable)
        StorePath.STALE -> staleRows.filterKeys { it in keys }.right()
    }

    private fun transact(writes: List<ConditionalWrite>): Either<StoreFailure, TransactionResult> {
        if (path == StorePath.DISCONNECTED) return Either.Left(StoreFailure.Unavailable)
        val result = fleet.store.transactNow(writes)
        if (!losesNextTransactionResponse) return result
        losesNextTransactionResponse = false
        onResponseLost()
        return Either.Left(StoreFailure.AnswerLost)
    }

    /** Makes the store return its current rows to this daemon from now on, also after they have changed. */
    fun serveStaleRows() {
        val behaviour = fleet.store.behaviour
        fleet.store.behaviour = StoreBehaviour.ANSWERS
        staleRows =
            fleet.store
                .scanNow("configuration/")
                .getOrNull()
                .orEmpty()
        fleet.store.behaviour = behaviour
        path = StorePath.STALE
    }
}

internal fun daemonId(index: Int) = DaemonId("$index")

internal fun limitEdit(
    id: String,
    expectedVersion: Long,
    queuedRequests: Int,
) = ConfigurationEdit(
    edit = EditId(id),
    section = ConfigurationSection.LIMITS,
    expectedVersion = expectedVersion,
    content = """{"queuedRequests": $queuedRequests}""",
    author = "limits-team",
)

internal fun targetEdit(
    id: String,
    expectedVersion: Long,
    coldRequests: Int,
) = ConfigurationEdit(
    edit = EditId(id),
    section = ConfigurationSection.TARGETS,
    expectedVersion = expectedVersion,
    content = """{"coldRequests": $coldRequests}""",
    author = "targets-team",
)
