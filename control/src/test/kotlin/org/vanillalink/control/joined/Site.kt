/*
 * The small test language for scenarios over whole daemons: who takes part, what happens when, what is expected.
 */
package org.vanillalink.control.joined

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
internal class Sizes {
    var failureDomains = listOf("ikeja", "apapa")
    var daemonsPerFailureDomain = 2
    var membersPerGroup = 2
    var groupsPerFailureDomain = 1
    var sparesPerFailureDomain = 1
    var fabricDomains = 1
    var targetsCheckFencing = true
}

@Suppress("TooManyFunctions")
internal class Site(
    val scenario: Scenario,
    private val sizes: Sizes,
) {
    val network = Network(scenario)
    val platform = JoinedPlatform(network)
    val targets = LinkedHashMap<HostId, JoinedTarget>()
    val daemons = mutableListOf<JoinedDaemon>()
    val requests = mutableListOf<SentRequest>()
    val truth = Truth(this)
    private var sections = 0

    init {
        sizes.failureDomains.forEachIndexed(::addFailureDomain)
        daemons.forEachIndexed { index, daemon -> scenario.after(Duration.ofMillis(index * 13L)) { daemon.start() } }
        scenario.after(Duration.ofMillis(FIRST_EDIT_MILLISECONDS)) { configure() }
        scenario.every(Truth.INTERVAL, truth::observe)
    }

    fun daemon(name: String) = daemons.first { it.id.value == name }

    fun daemonAt(endpoint: Endpoint) = daemons.first { it.endpoint == endpoint }

    fun daemonsOf(failureDomain: String) = daemons.filter { it.failureDomain.value == failureDomain }

    fun target(host: HostId) = targets.getValue(host)

    fun host(name: String) = target(HostId(name))

    fun partOf(party: String): String? = daemons.find { it.id.value == party }?.failureDomain?.value
        ?: targets[HostId(party)]?.host?.failureDomain?.value

    /** Cuts [failureDomain] off from everything outside it. */
    fun cutOff(failureDomain: String) =
        network.cut { from, to -> partOf(from) == failureDomain && partOf(to) != failureDomain }

    fun takeOut(
        failureDomain: String,
        through: String,
    ) = edit(through, ConfigurationSection.FAILURE_DOMAINS, failureDomains(failureDomain))

    fun letIn(through: String) = edit(through, ConfigurationSection.FAILURE_DOMAINS, failureDomains(null))

    fun edit(
        through: String,
        section: ConfigurationSection,
        content: String,
        expectedVersion: Long? = null,
        answered: (EditResult) -> Unit = {},
    ) {
        val daemon = daemon(through)
        val known =
            daemon.control.replicaState.inForce
                ?.set
                ?.sections
                ?.get(section)
                ?.version ?: 0
        val edit = EditId("edit-${++sections}")
        daemon.edit(ConfigurationEdit(edit, section, expectedVersion ?: known, content, "operator"), answered)
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
        if (!to.alive) {
            sent.answers.add(FinalAnswer.ConnectionLost)
            return sent
        }
        val request = JoinedRequest(sent.work, key) { answered(sent, it) }
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
        answer: FinalAnswer,
    ) {
        scenario.note("${sent.name} at ${sent.daemon}: $answer")
        sent.answers.add(answer)
    }

    fun arriveForwarded(
        to: JoinedDaemon,
        request: JoinedRequest,
        arrival: RouterEvent.RequestArrived,
        attempt: Int,
        answer: (FinalAnswer) -> Unit,
    ) {
        val id = RequestId("${arrival.request}>$attempt@${scenario.now.toEpochMilli()}")
        val forwarded = request.copy(answered = { if (it != FinalAnswer.ConnectionLost) answer(it) })
        to.calls.arrive(forwarded, arrival.copy(request = id, forwarded = true), keyed = false)
    }

    /** Whether [group] serves at every daemon of its failure domain that lives. */
    fun servesEverywhere(group: String): Boolean {
        val domain = group.substringBefore('/')
        val up = daemonsOf(domain).filter { it.alive && !it.paused }
        return up.isNotEmpty() && up.all { serves(it, group) }
    }

    fun serves(
        daemon: JoinedDaemon,
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
        val begin = scenario.now
        while (!condition()) {
            val waited = Duration.between(begin, scenario.now)
            scenario.check(waited < limit) { "not within $limit: $what" }
            scenario.run(STEP)
        }
        return Duration.between(begin, scenario.now)
    }

    fun run(duration: Duration) = scenario.run(duration)

    private fun addFailureDomain(
        index: Int,
        name: String,
    ) {
        repeat(sizes.daemonsPerFailureDomain) { number ->
            val endpoint = Endpoint("10.0.$index.$number", DAEMON_PORT)
            daemons.add(JoinedDaemon(DaemonId("$name-${'a' + number}"), FailureDomainId(name), endpoint, this))
        }
        repeat(sizes.fabricDomains) { fabric ->
            val count = (sizes.membersPerGroup * sizes.groupsPerFailureDomain + sizes.sparesPerFailureDomain)
            repeat(count) { addTarget(index, name, "$name-fabric-$fabric", fabric * count + it + 1, null) }
        }
        addTarget(index, name, "$name-fabric-0", DESK_NUMBER, PLAIN)
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
        targets[host.id] = JoinedTarget(host, scenario)
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
        private const val DESK_NUMBER = 99
    }
}
