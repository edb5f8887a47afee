/*
 * Three daemons of one failure domain with groups of one member each, on virtual time. A target that runs the poison
 * request dies at once with all that it runs, and serves again two seconds later as another process.
 */
package org.vanillalink.control.poison

import org.vanillalink.configuration.ConfigurationSection
import org.vanillalink.configuration.ReplicaEvent
import org.vanillalink.configuration.RevisionVersions
import org.vanillalink.configuration.SectionChanges
import org.vanillalink.configuration.StoredSection
import org.vanillalink.control.DaemonControl
import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.DaemonEvent
import org.vanillalink.dispatch.poison.PoisonDecision
import org.vanillalink.dispatch.poison.PoisonEvent
import org.vanillalink.dispatch.record.CallFingerprint
import org.vanillalink.groups.ReceivedReport
import org.vanillalink.membership.DaemonEndpoints
import org.vanillalink.membership.DaemonIdentity
import org.vanillalink.membership.MembershipDecision
import org.vanillalink.membership.MembershipEvent
import org.vanillalink.model.Assignment
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FabricDomainId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.Generation
import org.vanillalink.model.GroupId
import org.vanillalink.model.Host
import org.vanillalink.model.HostId
import org.vanillalink.model.HostRole
import org.vanillalink.model.RefusalReason
import org.vanillalink.model.RequestId
import org.vanillalink.model.ServiceName
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.TargetReport
import org.vanillalink.model.WorkspaceId
import org.vanillalink.routing.RouterDecision
import org.vanillalink.routing.RouterEvent
import org.vanillalink.testing.Scenario
import java.time.Duration

internal class SimulatedDaemons(
    private val scenario: Scenario,
    hostCount: Int,
    private val poison: CallFingerprint,
) {
    private class Target(
        val host: Host,
        var boot: Int = 0,
        var sequence: Long = 0,
        var serving: Boolean = true,
        val running: MutableMap<String, () -> Unit> = LinkedHashMap(),
    )

    private class Member(
        val identity: DaemonIdentity,
        val control: DaemonControl,
        var heartbeatAnswer: (MembershipDecision.AnswerHeartbeat) -> Unit = {},
        var permitAnswer: (PoisonDecision.SendPermitResponse) -> Unit = {},
    )

    private val domain = FailureDomainId("ikeja")
    private val service = ServiceName("brief-writer")
    private val targets = (0 until hostCount).map { Target(host(it)) }.associateBy { it.host.id }
    private val members = (0 until DAEMONS).map(::member)
    private val fingerprints = mutableMapOf<RequestId, CallFingerprint>()
    val lost = mutableListOf<HostId>()
    val answered = mutableSetOf<RequestId>()
    val refused = mutableMapOf<RequestId, RefusalReason>()

    fun start() {
        members.forEach { member ->
            feed(
                member,
                DaemonEvent.ForReplica(ReplicaEvent.PeerQueryCompleted(DaemonId("x"), CONFIGURATION, Duration.ZERO)),
            )
            feed(member, DaemonEvent.HostsListed(targets.values.map { it.host }))
            scenario.every(TICK) { feed(member, DaemonEvent.Tick) }
        }
    }

    fun request(
        daemon: Int,
        name: String,
        fingerprint: CallFingerprint,
    ) {
        val id = RequestId(name)
        fingerprints[id] = fingerprint
        val deadline = scenario.now.plus(DEADLINE)
        val arrival = RouterEvent.RequestArrived(id, service, WorkspaceId("gritworks"), deadline)
        feed(members[daemon], DaemonEvent.ModelCallArrived(fingerprint, arrival))
    }

    private fun feed(
        member: Member,
        event: DaemonEvent,
    ) {
        member.control.handle(event, scenario.now).forEach { execute(member, it) }
    }

    private fun execute(
        member: Member,
        decision: DaemonDecision,
    ) {
        when (decision) {
            is DaemonDecision.FetchReport -> fetch(member, decision)
            is DaemonDecision.ForMembership -> heartbeat(member, decision.decision)
            is DaemonDecision.ShareReports -> share(member, decision)
            is DaemonDecision.StartAttempt -> run(member, decision)
            is DaemonDecision.ForPoison -> executePermitDecision(member, decision.decision)
            is DaemonDecision.ForRouter -> finish(decision.decision)
            else -> Unit
        }
    }

    private fun fetch(
        member: Member,
        decision: DaemonDecision.FetchReport,
    ) {
        val requestedAt = scenario.now
        afterShortDelay {
            val target = targets.getValue(decision.host)
            if (target.serving) feed(member, DaemonEvent.ReportReceived(ReceivedReport(report(target), requestedAt)))
        }
    }

    private fun heartbeat(
        member: Member,
        decision: MembershipDecision,
    ) {
        if (decision is MembershipDecision.AnswerHeartbeat) member.heartbeatAnswer(decision)
        if (decision !is MembershipDecision.SendHeartbeat) return
        val peer = members.first { it.identity.endpoints.peers == decision.endpoint }
        afterShortDelay {
            peer.heartbeatAnswer = { answer ->
                val event = MembershipEvent.HeartbeatAnswered(answer.answer)
                afterShortDelay { feed(member, DaemonEvent.ForMembership(event)) }
            }
            feed(peer, DaemonEvent.ForMembership(MembershipEvent.HeartbeatReceived(decision.heartbeat)))
        }
    }

    private fun share(
        member: Member,
        decision: DaemonDecision.ShareReports,
    ) = afterShortDelay {
        feed(members.first { it.identity.daemon == decision.peer }, DaemonEvent.ReportsShared(decision.delta))
        feed(member, DaemonEvent.ReportsAcknowledged(decision.peer, decision.delta.change))
    }

    private fun executePermitDecision(
        member: Member,
        decision: PoisonDecision,
    ) {
        when (decision) {
            is PoisonDecision.RequestPermit -> {
                requestPermit(member, decision)
            }

            is PoisonDecision.SendPermitResponse -> {
                member.permitAnswer(decision)
            }

            is PoisonDecision.ReturnPermit -> {
                afterShortDelay {
                    feed(
                        owner(decision.owner),
                        DaemonEvent.ForPoison(PoisonEvent.PermitReturned(decision.permit)),
                    )
                }
            }

            else -> {
                Unit
            }
        }
    }

    private fun requestPermit(
        member: Member,
        decision: PoisonDecision.RequestPermit,
    ) = afterShortDelay {
        val owner = owner(decision.owner)
        owner.permitAnswer = { answer ->
            val event = PoisonEvent.PermitResponseReceived(answer.request, answer.isGranted)
            afterShortDelay { feed(member, DaemonEvent.ForPoison(event)) }
        }
        feed(owner, DaemonEvent.ForPoison(PoisonEvent.PermitRequested(decision.request, decision.permit)))
    }

    private fun owner(daemon: DaemonId) = members.first { it.identity.daemon == daemon }

    private fun run(
        member: Member,
        decision: DaemonDecision.StartAttempt,
    ) {
        scenario.note("${member.identity.daemon} ${decision.request}.${decision.attempt} at ${decision.target.host}")
        val target = targets.getValue(decision.target.host)
        val boot = target.boot
        val key = "${decision.request}.${decision.attempt}"
        target.running[key] = { afterShortDelay { fail(member, decision) } }
        if (fingerprints[decision.request] == poison) afterShortDelay { crash(target, boot) }
        scenario.after(SERVICE_TIME) {
            if (target.boot == boot && target.running.remove(key) != null) {
                val finished = RouterEvent.AttemptFinished(decision.request, decision.attempt, SERVICE_TIME)
                feed(member, DaemonEvent.ForRouter(finished))
            }
        }
    }

    private fun fail(
        member: Member,
        decision: DaemonDecision.StartAttempt,
    ) {
        val failed =
            RouterEvent.AttemptFailed(decision.request, decision.attempt, mayHaveRun = true, executionEnded = false)
        feed(member, DaemonEvent.ForRouter(failed))
    }

    private fun crash(
        target: Target,
        boot: Int,
    ) {
        if (target.boot != boot || !target.serving) return
        scenario.note("${target.host.id} lost")
        lost.add(target.host.id)
        target.serving = false
        val cut = target.running.values.toList()
        target.running.clear()
        cut.forEach { it() }
        scenario.after(RESTART_TIME) {
            target.boot += 1
            target.serving = true
        }
    }

    private fun finish(decision: RouterDecision) {
        if (decision is RouterDecision.AnswerRequest) answered.add(decision.request)
        if (decision !is RouterDecision.RefuseRequest) return
        scenario.note("${decision.request} refused ${decision.refusal.reason}")
        refused[decision.request] = decision.refusal.reason
    }

    private fun report(target: Target): TargetReport {
        val generation = Generation(FencingNumber(1), target.boot + 1L)
        target.sequence += 1
        return TargetReport(
            host = target.host.id,
            boot = BootId("${target.host.id}-${target.boot}"),
            sequence = target.sequence,
            phase = TargetPhase.READY,
            assignment = Assignment(service, GroupId("g-${target.host.id}"), generation, rank = 0, size = 1),
        )
    }

    private fun afterShortDelay(action: () -> Unit) =
        scenario.after(Duration.ofMillis(1 + scenario.random.nextLong(5)), action)

    private fun host(number: Int) = Host(
        HostId("h$number"),
        Endpoint("127.0.0.1", FIRST_TARGET_PORT + number),
        domain,
        FabricDomainId("fabric"),
        HostRole.MODEL_ENGINE,
    )

    private fun member(number: Int): Member {
        val endpoint = Endpoint("127.0.0.1", FIRST_DAEMON_PORT + number)
        val identity =
            DaemonIdentity(
                DaemonId("d$number"),
                BootId("d$number-boot"),
                domain,
                DaemonEndpoints(endpoint, endpoint, endpoint),
            )
        val seeds = (0 until DAEMONS).map { Endpoint("127.0.0.1", FIRST_DAEMON_PORT + it) }
        return Member(identity, DaemonControl(identity, seeds, scenario.now))
    }

    private companion object {
        const val DAEMONS = 3
        const val FIRST_TARGET_PORT = 100
        const val FIRST_DAEMON_PORT = 10
        val TICK: Duration = Duration.ofMillis(100)
        val SERVICE_TIME: Duration = Duration.ofSeconds(1)
        val RESTART_TIME: Duration = Duration.ofSeconds(2)
        val DEADLINE: Duration = Duration.ofSeconds(60)
        val CONTENTS =
            mapOf(
                ConfigurationSection.SERVICES to """{"brief-writer":{"kind":"MODEL"}}""",
                ConfigurationSection.WORKSPACES to """{"gritworks":{}}""",
                ConfigurationSection.FAILURE_DOMAINS to """{"ikeja":{"region":"lagos"}}""",
            )
        val CONFIGURATION =
            SectionChanges(
                RevisionVersions(1, ConfigurationSection.entries.associateWith { if (it in CONTENTS) 1L else 0L }),
                CONTENTS.mapValues { StoredSection(1, 1, null, "test", it.value) },
            )
    }
}
