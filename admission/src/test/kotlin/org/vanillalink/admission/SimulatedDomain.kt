/*
 * A simulated failure domain: daemons, targets, links that lose, delay, duplicate and reorder messages, and the table.
 *
 * It assumes what the embedding daemon has to provide: once a connection is closed or its process has ended, no
 * request on it reaches the target after a report that is fetched from then on; a process instance is listed in the
 * table before it borrows and until it is known to have ended. A request on an open connection may arrive late, even
 * in the next boot of its target.
 */
package org.vanillalink.admission

import org.vanillalink.model.AttemptId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId
import org.vanillalink.testing.LinkBehaviour
import org.vanillalink.testing.Scenario
import org.vanillalink.testing.UnreliableLink
import java.time.Duration

internal class SimulatedDomain(
    private val scenario: Scenario,
    daemonCount: Int = 3,
    targets: List<SimulatedTarget>,
    private val requestProbability: Double = 0.5,
    private val workMilliseconds: LongRange = 50L..2_500L,
) {
    private val settings = AdmissionSettings(coldRequests = SimulatedTarget.COLD)
    private val random get() = scenario.random
    private val link = UnreliableLink<() -> Unit>(scenario) { it() }
    private val boots = mutableMapOf<DaemonId, Int>()
    private val table = mutableSetOf<Holder>()
    private val disconnected = mutableSetOf<DaemonId>()
    private val openRequests = mutableMapOf<AttemptId, Holder>()
    private val turnAtGrant = mutableMapOf<LoanId, Int>()
    private val endedHolders = mutableSetOf<Holder>()
    private var nextAttempt = 0
    private var fencingNumber = FencingNumber.NONE

    val targets = targets.associateBy { it.host }
    val daemons = (1..daemonCount).map { DaemonId("d$it") }.associateWith { start(it) }.toMutableMap()
    var controller: DaemonId = daemons.keys.first()
        private set

    /** Requests that exceeded a bound which the sending daemon could not know yet. */
    var unavoidableOverloads = 0
        private set
    var started = 0
        private set
    val startedAt = mutableMapOf<HostId, Int>()
    var maxLoad = 0.0
        private set

    fun begin(behaviour: LinkBehaviour) {
        link.behaviour = behaviour
        takeControl(controller)
        scenario.every(TICK_INTERVAL) { tick() }
        scenario.every(REPORT_INTERVAL) { targets.values.forEach { sendReport(it) } }
        scenario.every(SCAN_INTERVAL) { scan() }
    }

    fun daemon(id: DaemonId): SimulatedDaemon = daemons.getValue(id)

    fun takeControl(id: DaemonId) {
        fencingNumber = fencingNumber.next()
        controller = id
        val gained = LedgerEvent.ControlGained(fencingNumber, table.toSet())
        feed(daemon(id), gained)
        announceControl()
    }

    fun pause(
        id: DaemonId,
        duration: Duration,
    ) {
        val daemon = daemon(id)
        daemon.pause()
        scenario.note("pause $id")
        scenario.after(duration) { daemon.wake(scenario.now) }
    }

    /** Kills a daemon. After [detectedAfter] its end is known, its connections are closed and it starts again. */
    fun kill(
        id: DaemonId,
        detectedAfter: Duration,
    ) {
        val daemon = daemon(id)
        if (daemon.isDead) return
        daemon.isDead = true
        scenario.note("kill ${daemon.holder}")
        scenario.after(detectedAfter) {
            openRequests.values.removeIf { it == daemon.holder }
            endedHolders.add(daemon.holder)
            table.remove(daemon.holder)
            daemons[id] = start(id)
            if (controller == id) takeControl(id)
        }
    }

    fun disconnect(
        id: DaemonId,
        duration: Duration,
    ) {
        disconnected.add(id)
        scenario.note("cut $id")
        scenario.after(duration) { disconnected.remove(id) }
    }

    fun request(
        id: DaemonId,
        host: HostId,
    ) = feed(daemon(id), HolderEvent.AttemptRequested(AttemptId("a${nextAttempt++}"), host))

    private fun start(id: DaemonId): SimulatedDaemon {
        val daemon = SimulatedDaemon(id, boots.merge(id, 1, Int::plus)!!, settings, ::executeDecision)
        table.add(daemon.holder)
        targets.values.forEach { target ->
            feed(daemon, LedgerEvent.TargetAdded(target.host, target.checksFencing, SimulatedTarget.WARM))
        }
        return daemon
    }

    private fun tick() {
        daemons.values.toList().forEach { daemon ->
            if (daemon.isPaused) return@forEach
            feed(daemon, LedgerEvent.Tick)
            feed(daemon, HolderEvent.Tick)
            targets.keys.forEach { if (random.nextDouble() < requestProbability) request(daemon.id, it) }
        }
    }

    /** Reads the table for the controller, if it can reach it. */
    private fun scan() {
        announceControl()
        val owner = daemon(controller)
        if (owner.isPaused || controller in disconnected) return
        feed(owner, LedgerEvent.HoldersRegistered(table.toSet()))
        endedHolders.toList().forEach { feed(owner, LedgerEvent.DaemonEnded(it)) }
    }

    private fun announceControl() {
        val changed = HolderEvent.ControlChanged(controller, fencingNumber)
        val number = fencingNumber
        daemons.values.forEach { daemon ->
            send(daemon.id) {
                feed(daemon, changed)
                if (daemon.ledgerState.control?.let { it < number } == true) feed(daemon, LedgerEvent.ControlLost)
            }
        }
    }

    private fun sendReport(target: SimulatedTarget) {
        val delivery = ReportDelivered(target.report(), target.turns)
        daemons.values.forEach { daemon -> send(daemon.id) { feed(daemon, delivery) } }
    }

    private fun feed(
        daemon: SimulatedDaemon,
        event: Any,
    ) = daemon.feed(event, scenario.now)

    private fun send(
        vararg ends: DaemonId,
        action: () -> Unit,
    ) {
        if (ends.none { it in disconnected }) link.send(action)
    }

    private fun executeDecision(
        daemon: SimulatedDaemon,
        decision: Any,
    ) {
        when (decision) {
            is LedgerDecision.Send -> deliverToHolder(daemon, decision)
            is HolderDecision.Send -> deliverToOwner(daemon, decision)
            is LedgerDecision.FetchReport -> fetchReport(daemon, decision.host, decision.fetchId, forLedger = true)
            is HolderDecision.FetchReport -> fetchReport(daemon, decision.host, decision.fetchId, forLedger = false)
            is LedgerDecision.OrderFence -> link.send { targets.getValue(decision.host).fence(decision.fencingNumber) }
            is LedgerDecision.ControlSuperseded -> scenario.note("${daemon.id} superseded")
            is HolderDecision.Admit -> sendRequest(daemon, decision)
        }
    }

    private fun deliverToHolder(
        from: SimulatedDaemon,
        decision: LedgerDecision.Send,
    ) {
        val message = decision.message
        if (message is MessageToHolder.Grant) {
            turnAtGrant.putIfAbsent(
                message.loan,
                from.knownTurns[message.target] ?: 0,
            )
        }
        send(from.id, decision.holder.daemon) {
            val daemon = daemon(decision.holder.daemon)
            if (daemon.holder == decision.holder) feed(daemon, HolderEvent.MessageReceived(message))
        }
    }

    private fun deliverToOwner(
        from: SimulatedDaemon,
        decision: HolderDecision.Send,
    ) = send(from.id, decision.owner) { feed(daemon(decision.owner), LedgerEvent.MessageReceived(decision.message)) }

    private fun fetchReport(
        daemon: SimulatedDaemon,
        host: HostId,
        fetchId: Long,
        forLedger: Boolean,
    ) = link.send {
        val target = targets.getValue(host)
        val delivery = ReportDelivered(target.report(), target.turns, fetchId, forLedger)
        link.send { feed(daemon, delivery) }
    }

    private fun sendRequest(
        daemon: SimulatedDaemon,
        admitted: HolderDecision.Admit,
    ) {
        val loans =
            daemon.holderState.targets
                .getValue(admitted.target)
                .loans
        val loan = loans.entries.first { admitted.attempt in it.value.inUse }.key
        val turnKnown = maxOf(daemon.reportedTurns[admitted.target] ?: 0, turnAtGrant[loan] ?: 0)
        openRequests[admitted.attempt] = daemon.holder
        scenario.after(delay()) { arrive(daemon, admitted, turnKnown) }
        scenario.after(REQUEST_TIMEOUT) { closeConnection(daemon, admitted) }
    }

    private fun delay(): Duration = Duration.ofMillis(random.nextLong(1, MAX_REQUEST_DELAY_MILLISECONDS))

    private fun arrive(
        daemon: SimulatedDaemon,
        admitted: HolderDecision.Admit,
        turnKnown: Int,
    ) {
        if (admitted.attempt !in openRequests) return
        val target = targets.getValue(admitted.target)
        if (target.refuses(admitted)) return finish(daemon, admitted, EndEvidence.REFUSED_BY_TARGET)
        target.running.add(admitted.attempt)
        started++
        startedAt.merge(target.host, 1, Int::plus)
        checkLoad(daemon, target, admitted, turnKnown)
        scenario.after(Duration.ofMillis(workMilliseconds.random(random))) {
            if (target.end(admitted.attempt) && random.nextDouble() > RESPONSE_LOSS_PROBABILITY) {
                finish(daemon, admitted, EndEvidence.COMPLETE_RESPONSE)
            }
        }
    }

    private fun checkLoad(
        daemon: SimulatedDaemon,
        target: SimulatedTarget,
        admitted: HolderDecision.Admit,
        turnKnown: Int,
    ) {
        if (!target.cold || target.running.size <= target.bound) return countLoad(target)
        if (turnKnown < target.turns) {
            unavoidableOverloads++
            return
        }
        scenario.check(false) {
            "${target.host} of bound ${target.bound} runs ${target.running.size} after $admitted of ${daemon.holder}"
        }
    }

    private fun countLoad(target: SimulatedTarget) {
        if (target.cold) maxLoad = maxOf(maxLoad, target.running.size.toDouble() / target.bound)
    }

    private fun finish(
        daemon: SimulatedDaemon,
        admitted: HolderDecision.Admit,
        evidence: EndEvidence,
    ) {
        if (openRequests.remove(admitted.attempt) == null) return
        feed(daemon, HolderEvent.AttemptEnded(admitted.attempt, admitted.target, evidence))
    }

    /** Closes the connection, so that a request that hasn't arrived yet never arrives. */
    private fun closeConnection(
        daemon: SimulatedDaemon,
        admitted: HolderDecision.Admit,
    ) {
        if (daemon.isPaused) {
            scenario.after(REQUEST_TIMEOUT) { closeConnection(daemon, admitted) }
            return
        }
        if (daemon.isDead || openRequests.remove(admitted.attempt) == null) return
        feed(daemon, HolderEvent.AttemptLost(admitted.attempt, admitted.target))
    }

    companion object {
        val TICK_INTERVAL: Duration = Duration.ofMillis(50)
        private val REPORT_INTERVAL = Duration.ofMillis(150)
        private val SCAN_INTERVAL = Duration.ofMillis(400)
        private val REQUEST_TIMEOUT = Duration.ofMillis(1_200)
        private const val MAX_REQUEST_DELAY_MILLISECONDS = 400L
        private const val RESPONSE_LOSS_PROBABILITY = 0.1
        val UNRELIABLE =
            LinkBehaviour(
                Duration.ofMillis(1),
                Duration.ofMillis(300),
                lossProbability = 0.15,
                duplicateProbability = 0.15,
            )
        val RELIABLE = LinkBehaviour(Duration.ofMillis(1), Duration.ofMillis(3))
    }
}
