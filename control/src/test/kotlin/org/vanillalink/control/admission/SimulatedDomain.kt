/*
 * A failure domain of whole daemons' decisions, engines and the table, on virtual time. Links only delay: what they
 * lose and double is covered by the tests of the aggregates.
 */
package org.vanillalink.control.admission

import org.vanillalink.configuration.ConfigurationRows
import org.vanillalink.configuration.ConfigurationSection
import org.vanillalink.configuration.RevisionVersions
import org.vanillalink.configuration.StoredSection
import org.vanillalink.control.DaemonEvent
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FabricDomainId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.Host
import org.vanillalink.model.HostId
import org.vanillalink.model.HostRole
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.testing.InMemoryTableStore
import org.vanillalink.testing.Scenario
import java.time.Duration

internal class SimulatedDomain(
    val scenario: Scenario,
    checksFencing: Boolean,
    engineCount: Int = 2,
    daemonCount: Int = 3,
) {
    val table = InMemoryTableStore()
    val engines =
        (1..engineCount).map { ColdEngine(host(it, checksFencing), scenario) }.associateBy { it.host.id }
    val daemons: Map<DaemonId, SimulatedDaemon> =
        (1..daemonCount).map { SimulatedDaemon(DaemonId("d$it"), port(it), this) }.associateBy { it.id }
    private var requests = 0

    init {
        configure(engineCount)
        daemons.values.forEach { it.start() }
        scenario.every(TICK) { daemons.values.forEach { it.feed(DaemonEvent.Tick) } }
        scenario.every(HOSTS_INTERVAL) { listHosts() }
    }

    val controller: SimulatedDaemon? get() =
        daemons.values.lastOrNull {
            it.isUp &&
                it.control.domainState.heldFencingNumber != null
        }
    val served: Int get() = engines.values.sumOf { it.served }
    val overloadsByInformed: Int get() = engines.values.sumOf { it.overloadsByInformed }
    val overloadsByUninformed: Int get() = engines.values.sumOf { it.overloadsByUninformed }

    fun run(duration: Duration) = scenario.run(duration)

    /** Has [perSecond] requests come to each daemon for [duration]. */
    fun load(
        perSecond: Int,
        duration: Duration,
    ) {
        val end = scenario.now.plus(duration)
        val gap = Duration.ofMillis(MILLISECONDS_PER_SECOND / perSecond)
        daemons.values.forEach { request(it, gap, end) }
    }

    fun delay(): Duration = Duration.ofMillis(scenario.random.nextLong(1, MAX_DELAY_MILLISECONDS))

    fun listHosts() {
        val event = DaemonEvent.HostsListed(engines.values.map { it.host })
        daemons.values.forEach { it.feed(event) }
    }

    private fun request(
        daemon: SimulatedDaemon,
        gap: Duration,
        end: java.time.Instant,
    ) {
        if (scenario.now >= end) return
        daemon.request("r${requests++}")
        scenario.after(gap) { request(daemon, gap, end) }
    }

    private fun configure(groups: Int) {
        val service = """{"kind":"MODEL","membersPerGroup":1,"groupsPerFailureDomain":$groups,"requestsPerGroup":8}"""
        val contents =
            mapOf(
                ConfigurationSection.SERVICES to """{"$SERVICE":$service}""",
                ConfigurationSection.WORKSPACES to """{"w":{"share":1}}""",
                ConfigurationSection.FAILURE_DOMAINS to """{"$DOMAIN":{"region":"r"}}""",
            )
        val sections =
            ConfigurationSection.entries.map { section ->
                val content = contents[section] ?: return@map section to StoredSection.NEVER_EDITED
                section to StoredSection(version = 1, revision = 1, edit = null, author = "", content = content)
            }
        val versions = RevisionVersions(1, sections.associate { (section, stored) -> section to stored.version })
        val rows =
            sections.map { (section, stored) ->
                ConfigurationRows.sectionKey(section) to
                    ConfigurationRows.encode(stored)
            }
        val all = rows + (ConfigurationRows.REVISION_KEY to ConfigurationRows.encode(versions))
        table.transactNow(all.map { (key, value) -> ConditionalWrite(key, ConditionalWrite.ABSENT, value) })
    }

    companion object {
        const val SERVICE = "writer"
        const val DOMAIN = "ikeja"
        private const val MILLISECONDS_PER_SECOND = 1_000L
        private const val MAX_DELAY_MILLISECONDS = 20L
        private const val FIRST_PORT = 1_000
        private const val FIRST_HOST_PORT = 2_000
        private val TICK = Duration.ofMillis(100)
        private val HOSTS_INTERVAL = Duration.ofSeconds(1)

        private fun port(number: Int) = FIRST_PORT + number

        private fun host(
            number: Int,
            checksFencing: Boolean,
        ) = Host(
            id = HostId("h$number"),
            endpoint = Endpoint("10.0.0.1", FIRST_HOST_PORT + number),
            failureDomain = FailureDomainId(DOMAIN),
            fabricDomain = FabricDomainId("f"),
            role = HostRole.MODEL_ENGINE,
            checksFencing = checksFencing,
        )
    }
}
