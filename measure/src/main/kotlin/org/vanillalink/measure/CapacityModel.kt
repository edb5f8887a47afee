/*
 * A fleet of whole daemons' decisions on virtual time, with its costs counted.
 */
package org.vanillalink.measure

import org.vanillalink.configuration.ConfigurationSection
import org.vanillalink.membership.DaemonEndpoints
import org.vanillalink.membership.DaemonIdentity
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FabricDomainId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.Host
import org.vanillalink.model.HostId
import org.vanillalink.model.HostRole
import org.vanillalink.model.ServiceName
import org.vanillalink.store.http.HostsResponse
import org.vanillalink.testing.InMemoryTableStore
import org.vanillalink.testing.Scenario
import org.vanillalink.transport.Json
import java.lang.management.ManagementFactory
import java.time.Duration

internal class CapacityModel(
    val scenario: Scenario,
    val shape: CapacityShape,
) {
    private val heapBefore = usedHeap()
    private val configuration: EditedConfiguration
    private val threads = ManagementFactory.getThreadMXBean()
    val store = InMemoryTableStore()
    val counters = CapacityCounters()
    private val targets = List(shape.failureDomains) { domain -> List(shape.targets) { host(domain, it) } }.flatten()
    private val byHost = targets.associate { it.id to CapacityTarget(it, shape.runningAttempts) }
    private val daemons =
        List(shape.failureDomains) { domain -> List(shape.daemons) { identity(domain, it) } }
            .flatten()
            .let { identities -> identities.map { CapacityDaemon(it, seeds(identities), this) } }
    private val byEndpoint = daemons.associateBy { it.identity.endpoints.peers }
    private val byName = daemons.associateBy { it.identity.daemon }
    val hostList: ByteArray = Json.write(HostsResponse(targets))

    init {
        configuration = EditedConfiguration(store)
        val service = """{"kind": "MODEL", "membersPerGroup": 4, "groupsPerFailureDomain": ${shape.groups}}"""
        configuration.edit(ConfigurationSection.SERVICES, """{"$SERVICE": $service}""")
        val domains = List(shape.failureDomains) { """"${domain(it)}": {"region": "region"}""" }
        configuration.edit(ConfigurationSection.FAILURE_DOMAINS, "{${domains.joinToString()}}")
        configuration.edit(ConfigurationSection.WORKSPACES, """{"w": {"share": 1}}""")
        daemons.forEach { it.start() }
    }

    /** Lets groups form, then counts the costs of [duration] and what is retained at its end. */
    fun costs(duration: Duration): CapacityCosts {
        scenario.run(SETTLING)
        check(daemons.all { it.servingGroups() == shape.groups }) { "groups: ${daemons.map { it.servingGroups() }}" }
        if (shape.changesPerSecond > 0) scenario.every(interval(shape.changesPerSecond)) { edit() }
        val before = counters.copy()
        daemons.forEach { it.deciding = 0 }
        scenario.run(duration)
        return difference(before, duration.toMillis() / MILLISECONDS)
    }

    private fun difference(
        before: CapacityCounters,
        seconds: Double,
    ): CapacityCosts {
        val each = 1 / (seconds * daemons.size)
        val eachDomain = 1 / (seconds * shape.failureDomains)
        val bytes = TrafficKind.entries.associateWith { (counters.bytes[it.ordinal] - before.bytes[it.ordinal]) * each }
        return CapacityCosts(
            decidingMicroseconds = (counters.deciding - before.deciding) * each / NANOSECONDS,
            busiestMicroseconds = daemons.maxOf { it.deciding } / seconds / NANOSECONDS,
            codingMicroseconds = (counters.coding - before.coding) * each / NANOSECONDS,
            bytes = bytes,
            rowsRead = (counters.rowsRead - before.rowsRead) * eachDomain,
            rowsWritten = (counters.rowsWritten - before.rowsWritten) * eachDomain,
            heapBytes = (usedHeap() - heapBefore).toDouble() / daemons.size,
            knownPeers = daemons.sumOf { it.knownPeers() }.toDouble() / daemons.size,
        )
    }

    private fun edit() =
        configuration.edit(ConfigurationSection.LIMITS, """{"queuedRequests": ${configuration.set.revision}}""")

    /** One message's [bytes] between two daemons: one sends it, the other receives it. */
    fun betweenDaemons(
        kind: TrafficKind,
        bytes: Int,
    ) {
        counters.bytes[kind.ordinal] += 2L * bytes
    }

    /** One message's [bytes] between a daemon and something that is none. */
    fun outside(
        kind: TrafficKind,
        bytes: Int,
    ) {
        counters.bytes[kind.ordinal] += bytes.toLong()
    }

    fun <Result> deciding(
        daemon: CapacityDaemon,
        action: () -> Result,
    ): Result {
        val begin = threads.currentThreadCpuTime
        val result = action()
        val spent = threads.currentThreadCpuTime - begin
        counters.deciding += spent
        daemon.deciding += spent
        return result
    }

    fun <Result> coding(action: () -> Result): Result {
        val begin = threads.currentThreadCpuTime
        return action().also { counters.coding += threads.currentThreadCpuTime - begin }
    }

    fun target(host: HostId): CapacityTarget = byHost.getValue(host)

    fun at(endpoint: Endpoint): CapacityDaemon = byEndpoint.getValue(endpoint)

    fun named(daemon: DaemonId): CapacityDaemon = byName.getValue(daemon)

    private fun seeds(identities: List<DaemonIdentity>) = identities.take(SEEDS).map { it.endpoints.peers }

    private fun usedHeap(): Long {
        repeat(COLLECTIONS) { System.gc() }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()
    }

    private fun domain(index: Int) = FailureDomainId("domain-$index")

    private fun host(
        domain: Int,
        index: Int,
    ) = Host(
        HostId("host-$domain-$index"),
        Endpoint("10.1.$domain.${index % OCTET}", TRAFFIC + index / OCTET),
        domain(domain),
        FabricDomainId("fabric-$domain-${index / HOSTS_IN_FABRIC}"),
        HostRole.MODEL_ENGINE,
        checksFencing = true,
    )

    private fun identity(
        domain: Int,
        index: Int,
    ): DaemonIdentity {
        val address = "10.0.$domain.$index"
        val endpoints =
            DaemonEndpoints(Endpoint(address, TRAFFIC), Endpoint(address, PEERS), Endpoint(address, OPERATORS))
        val name = "daemon-$domain-$index"
        return DaemonIdentity(DaemonId(name), BootId("boot-$name"), domain(domain), endpoints)
    }

    companion object {
        /** The only service. */
        val SERVICE = ServiceName("m")

        fun interval(perSecond: Double): Duration = Duration.ofNanos((NANOSECONDS_PER_SECOND / perSecond).toLong())

        private const val NANOSECONDS_PER_SECOND = 1e9
        private const val SEEDS = 3
        private const val MILLISECONDS = 1_000.0
        private const val NANOSECONDS = 1_000.0
        private const val COLLECTIONS = 3
        private const val OCTET = 250
        private const val HOSTS_IN_FABRIC = 28
        private const val TRAFFIC = 8_080
        private const val PEERS = 8_081
        private const val OPERATORS = 8_082
        private val SETTLING: Duration = Duration.ofSeconds(20)
    }
}
