/*
 * Several daemons' replicas and editors on virtual time, joined by unreliable links and one table service.
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

/** What a daemon sends to another. */
internal sealed interface FleetMessage {
    data class Revision(
        val from: Int,
        val revision: Long,
        val age: Duration?,
    ) : FleetMessage

    data class Question(
        val from: Int,
        val afterRevision: Long,
    ) : FleetMessage

    data class Answer(
        val from: Int,
        val changes: SectionChanges?,
        val age: Duration?,
    ) : FleetMessage
}

/** How a daemon's path to the platform is. */
internal enum class StorePath { WHOLE, CUT, OLDER_ANSWERS }

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
        touching: (Int, Int) -> Boolean = { _, _ -> true },
    ) = links.forEach { (to, senders) ->
        senders.filterKeys { touching(it, to) }.values.forEach { it.behaviour = behaviour }
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
    private val replicaRules = ConfigurationReplica()
    private val editorRules = ConfigurationEditor()
    private var editor = EditorState()
    private var process = 0
    private var remembered: Map<RowKey, Row> = emptyMap()

    var path = StorePath.WHOLE
    var losesNextTransactionAnswer = false
    var afterLostAnswer: () -> Unit = {}
    var running = false
    lateinit var replica: ReplicaState
    val answers = mutableMapOf<EditId, EditResult>()
    val allAnswers = mutableListOf<Pair<EditId, EditResult>>()
    val inForce = mutableListOf<Long>()
    var older = 0

    fun start() {
        running = true
        process++
        val thisProcess = process
        replica = ReplicaState(scenario.now, isPoller = index < ConfigurationReplica.POLLERS_PER_FAILURE_DOMAIN)
        inForce.clear()
        every(Duration.ofMillis(500), thisProcess) { feed(ReplicaEvent.Tick) }
        every(Duration.ofMillis(1_000), thisProcess) { tellPeers() }
    }

    fun stop() {
        running = false
        process++
    }

    private fun every(
        period: Duration,
        thisProcess: Int,
        action: () -> Unit,
    ) {
        scenario.after(period) {
            if (process == thisProcess) {
                action()
                every(period, thisProcess, action)
            }
        }
    }

    private fun tellPeers() {
        val revision = replica.revision ?: return
        val message = FleetMessage.Revision(index, revision, replica.age(scenario.now))
        fleet.daemons.filter { it.index != index }.forEach { fleet.send(index, it.index, message) }
    }

    fun receive(message: FleetMessage) {
        if (!running) return
        when (message) {
            is FleetMessage.Revision -> {
                feed(ReplicaEvent.PeerRevisionReceived(name(message.from), message.revision, message.age))
            }

            is FleetMessage.Question -> {
                val changes = replica.inForce?.set?.changesAfter(message.afterRevision)
                fleet.send(index, message.from, FleetMessage.Answer(index, changes, replica.age(scenario.now)))
            }

            is FleetMessage.Answer -> {
                feed(ReplicaEvent.PeerQueryCompleted(name(message.from), message.changes, message.age))
            }
        }
    }

    fun feed(event: ReplicaEvent) {
        val transition = replicaRules.handle(replica, event, scenario.now)
        replica = transition.state
        transition.decisions.forEach { carryOut(it) }
    }

    private fun carryOut(decision: ReplicaDecision) {
        when (decision) {
            is ReplicaDecision.ReadRows -> {
                laterAnswer({ read(decision.keys) }) { feed(ReplicaEvent.RowsRead(decision.keys, it)) }
            }

            is ReplicaDecision.QueryPeer -> {
                val question = FleetMessage.Question(index, decision.afterRevision)
                fleet.send(index, decision.peer.value.toInt(), question)
            }

            is ReplicaDecision.ConfigurationInForce -> {
                scenario.note("daemon $index in force ${decision.revision} from ${decision.source}")
                inForce.add(decision.revision)
            }

            is ReplicaDecision.RecordTimeline -> {
                if (decision.entry is ReplicaTimelineEntry.OlderRevisionIgnored) older++
            }
        }
    }

    fun edit(edit: ConfigurationEdit) = feed(EditorEvent.EditRequested(edit))

    private fun feed(event: EditorEvent) {
        val transition = editorRules.handle(editor, event, scenario.now)
        editor = transition.state
        transition.decisions.forEach { carryOut(it) }
    }

    private fun carryOut(decision: EditorDecision) {
        when (decision) {
            is EditorDecision.ReadRows -> {
                laterAnswer({ read(decision.keys) }) { feed(EditorEvent.RowsRead(decision.edit, it)) }
            }

            is EditorDecision.Transact -> {
                laterAnswer({ transact(decision.writes) }) { feed(EditorEvent.TransactionCompleted(decision.edit, it)) }
            }

            is EditorDecision.CompleteEdit -> {
                scenario.note("daemon $index edit ${decision.edit.edit}: ${decision.result}")
                answers[decision.edit.edit] = decision.result
                allAnswers.add(decision.edit.edit to decision.result)
                (decision.result as? EditResult.Accepted)?.let { feed(ReplicaEvent.EditAccepted(it.revision)) }
            }
        }
    }

    private fun <Answer> laterAnswer(
        call: () -> Answer,
        answered: (Answer) -> Unit,
    ) {
        val thisProcess = process
        val there = Duration.ofMillis(scenario.random.nextLong(1, 20))
        val back = Duration.ofMillis(scenario.random.nextLong(1, 20))
        scenario.after(there) {
            val answer = call()
            scenario.after(back) { if (process == thisProcess) answered(answer) }
        }
    }

    private fun read(keys: Set<RowKey>): Either<StoreFailure, Map<RowKey, Row>> = when (path) {
        StorePath.WHOLE -> fleet.store.readNow(keys)
        StorePath.CUT -> Either.Left(StoreFailure.Unavailable)
        StorePath.OLDER_ANSWERS -> remembered.filterKeys { it in keys }.right()
    }

    private fun transact(writes: List<ConditionalWrite>): Either<StoreFailure, TransactionResult> {
        if (path == StorePath.CUT) return Either.Left(StoreFailure.Unavailable)
        val answer = fleet.store.transactNow(writes)
        if (!losesNextTransactionAnswer) return answer
        losesNextTransactionAnswer = false
        afterLostAnswer()
        return Either.Left(StoreFailure.AnswerLost)
    }

    /** From now on the store answers this daemon with what it holds at this moment. */
    fun answerWithOlderRows() {
        val behaviour = fleet.store.behaviour
        fleet.store.behaviour = StoreBehaviour.ANSWERS
        remembered =
            fleet.store
                .scanNow("configuration/")
                .getOrNull()
                .orEmpty()
        fleet.store.behaviour = behaviour
        path = StorePath.OLDER_ANSWERS
    }
}

internal fun name(index: Int) = DaemonId("$index")

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
