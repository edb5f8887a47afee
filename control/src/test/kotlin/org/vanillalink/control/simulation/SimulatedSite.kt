/*
 * The small test language for scenarios over whole daemons: who takes part, what happens when, what is expected.
 */
package org.vanillalink.control.simulation

import org.vanillalink.configuration.ConfigurationEdit
import org.vanillalink.configuration.ConfigurationSection
import org.vanillalink.configuration.EditId
import org.vanillalink.configuration.EditResult
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FabricDomainId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.GroupId
import org.vanillalink.model.Host
import org.vanillalink.model.HostId
import org.vanillalink.model.HostRole
import org.vanillalink.model.RequestId
import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId
import org.vanillalink.routing.RouterEvent
import org.vanillalink.testing.Scenario
import java.time.Duration

/** How large a site is; each failure domain has one fabric domain and a plain service's host for itself. */
internal class SiteSize {
    var failureDomains = listOf("ikeja", "apapa")
    var daemonsPerFailureDomain = 2
    var membersPerGroup = 2
    var groupsPerFailureDomain = 1
    var sparesPerFailureDomain = 1
    var fabricDomains = 1
    var targetsCheckFencing = true
}

@Suppress("TooManyFunctions")
internal class SimulatedSite(
    val scenario: Scenario,
    private val sizes: SiteSize,
) {
    val network = SimulatedNetwork(scenario)
    val platform = SimulatedPlatform(network)
    val targets = LinkedHashMap<HostId, SimulatedTarget>()
    val daemons = mutableListOf<SimulatedDaemon>()
    val requests = mutableListOf<SentRequest>()
    val invariants = InvariantChecker(this)
    private var sections = 0

    init {
        sizes.failureDomains.forEachIndexed(::addFailureDomain)
        daemons.forEachIndexed { index, daemon -> scenario.after(Duration.ofMillis(index * 13L)) { daemon.start() } }
        scenario.after(Duration.ofMillis(FIRST_EDIT_MILLISECONDS)) { configure() }
        scenario.every(InvariantChecker.INTERVAL, invariants::observe)
    }

    fun daemon(name: String) = daemons.first { it.id.value == name }

    fun daemonAt(endpoint: Endpoint) = daemons.first { it.endpoint == endpoint }

    fun daemonsOf(failureDomain: String) = daemons.filter { it.failureDomain.value == failureDomain }

    fun target(host: HostId) = targets.getValue(host)

    fun host(name: String) = target(HostId(name))

    fun failureDomainOf(party: String): String? = daemons.find { it.id.value == party }?.failureDomain?.value
        ?: targets[HostId(party)]?.host?.failureDomain?.value

    /** Cuts [failureDomain] off from everything outside it. */
    fun isolate(failureDomain: String) =
        network.partition { from, to -> failureDomainOf(from) == failureDomain && failureDomainOf(to) != failureDomain }

    fun takeOut(
        failureDomain: String,
        through: String,
    ) = edit(through, ConfigurationSection.FAILURE_DOMAINS, failureDomains(failureDomain))

    fun putBack(through: String) = edit(through, ConfigurationSection.FAILURE_DOMAINS, failureDomains(null))

    fun edit(
        through: String,
        section: ConfigurationSection,
        content: String,
        expectedVersion: Long? = null,
        answered: (EditResult) -> Unit = {},
    ) {
        val daemon = daemon(through)
        val currentVersion =
            daemon.control.replicaState.inForce
                ?.set
                ?.sections
                ?.get(section)
                ?.version ?: 0
        val edit = EditId("edit-${++sections}")
        daemon.edit(ConfigurationEdit(edit, section, expectedVersion ?: currentVersion, content, "operator"), answered)
    }

    /** Sends a request to [daemon]; requests with the same [key] are one operation. */
    fun send(
        daemon: String,
        service: String = MODEL,
        key: String? = null,
        deadline: Duration = DEADLINE,
    ): SentRequest {
        val name = "request-${requests.size + 1}"
        val sent = SentRequest(name, key ?: name, daemon)
        requests.add(sent)
        val to = daemon(daemon)
        if (!to.isAlive) {
            sent.answers.add(FinalResponse.ConnectionLost)
            return sent
        }
        val request = SimulatedRequest(sent.work, key) { answered(sent, it) }
        val repeatable = service == MODEL
        to.whenAwake {
            val arrival =
                RouterEvent.RequestArrived(
                    RequestId(name),
                    ServiceName(service),
                    WORKSPACE,
                    scenario.now.plus(deadline),
                    repeatable = repeatable,
                )
            to.calls.arrive(request, arrival, keyed = true)
        }
        return sent
    }

    private fun answered(
        sent: SentRequest,
        answer: FinalResponse,
    ) {
        scenario.note("${sent.name} at ${sent.daemon}: $answer")
        sent.answers.add(answer)
    }

    fun arriveForwarded(
        to: SimulatedDaemon,
        request: SimulatedRequest,
        arrival: RouterEvent.RequestArrived,
        attempt: Int,
        answer: (FinalResponse) -> Unit,
    ) {
        val id = RequestId("${arrival.request}>$attempt@${scenario.now.toEpochMilli()}")
        val forwarded = request.copy(answered = { if (it != FinalResponse.ConnectionLost) answer(it) })
        to.calls.arrive(forwarded, arrival.copy(request = id, forwarded = true), keyed = false)
    }

    /** Whether [group] serves at every daemon of its failure domain that lives. */
    fun servesEverywhere(group: String): Boolean {
        val domain = group.substringBefore('/')
        val up = daemonsOf(domain).filter { it.isAlive && !it.isPaused }
        return up.isNotEmpty() && up.all { serves(it, group) }
    }

    fun serves(
        daemon: SimulatedDaemon,
        group: String,
    ): Boolean = daemon.control.servingState
        .servingGroups(ServiceName(MODEL))
        .any { it.group == GroupId(group) }

    /** Runs until [condition] holds, and fails where that takes longer than [limit]. */
    fun await(
        limit: Duration,
        what: String,
        condition: () -> Boolean,
    ): Duration {
        val startedAt = scenario.now
        while (!condition()) {
            val waited = Duration.between(startedAt, scenario.now)
            scenario.check(waited < limit) { "not within $limit: $what" }
            scenario.run(STEP)
        }
        return Duration.between(startedAt, scenario.now)
    }

    fun run(duration: Duration) = scenario.run(duration)

    private fun addFailureDomain(
        index: Int,
        name: String,
    ) {
        repeat(sizes.daemonsPerFailureDomain) { number ->
            val endpoint = Endpoint("10.0.$index.$number", DAEMON_PORT)
            daemons.add(SimulatedDaemon(DaemonId("$name-${'a' + number}"), FailureDomainId(name), endpoint, this))
        }
        repeat(sizes.fabricDomains) { fabric ->
            val count = (sizes.membersPerGroup * sizes.groupsPerFailureDomain + sizes.sparesPerFailureDomain)
            repeat(count) { addTarget(index, name, "$name-fabric-$fabric", fabric * count + it + 1, null) }
        }
        addTarget(index, name, "$name-fabric-0", PLAIN_HOST_NUMBER, PLAIN)
    }

    private fun addTarget(
        index: Int,
        name: String,
        fabric: String,
        number: Int,
        plain: String?,
    ) {
        val host =
            Host(
                id = HostId(if (plain == null) "$name-$number" else "$name-desk"),
                endpoint = Endpoint("10.1.$index.$number", TARGET_PORT),
                failureDomain = FailureDomainId(name),
                fabricDomain = FabricDomainId(fabric),
                role = if (plain == null) HostRole.MODEL_ENGINE else HostRole.PLAIN_SERVICE,
                checksFencing = sizes.targetsCheckFencing,
                service = plain?.let(::ServiceName),
            )
        targets[host.id] = SimulatedTarget(host, scenario)
        platform.list(host)
    }

    private fun configure() {
        val first = daemons.first().id.value
        val model =
            """{"kind":"MODEL","membersPerGroup":${sizes.membersPerGroup},""" +
                """"groupsPerFailureDomain":${sizes.groupsPerFailureDomain}}"""
        val services = """{"$MODEL":$model,"$PLAIN":{"kind":"PLAIN"}}"""
        edit(first, ConfigurationSection.SERVICES, services, 0)
        edit(first, ConfigurationSection.WORKSPACES, """{"gritworks":{"share":1}}""", 0)
        edit(first, ConfigurationSection.FAILURE_DOMAINS, failureDomains(null), 0)
    }

    private fun failureDomains(out: String?): String = sizes.failureDomains.joinToString(",", "{", "}") {
        """"$it":{"region":"lagos","state":"${if (it == out) "OUT" else "IN"}"}"""
    }

    companion object {
        const val MODEL = "brief-writer"
        const val PLAIN = "dispatch-desk"
        val WORKSPACE = WorkspaceId("gritworks")
        val DEADLINE: Duration = Duration.ofSeconds(20)
        val ATTEMPT_TIMEOUT: Duration = Duration.ofSeconds(30)
        private val STEP = Duration.ofMillis(50)
        private const val FIRST_EDIT_MILLISECONDS = 500L
        private const val DAEMON_PORT = 1
        private const val TARGET_PORT = 2
        private const val PLAIN_HOST_NUMBER = 99
    }
}
