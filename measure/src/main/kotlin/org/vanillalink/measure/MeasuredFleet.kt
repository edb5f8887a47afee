/*
 * A fleet of daemons' configuration replicas and membership rules on virtual time, with its costs counted.
 */
package org.vanillalink.measure

import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import org.vanillalink.configuration.ConfigurationSection
import org.vanillalink.membership.DaemonEndpoints
import org.vanillalink.membership.DaemonIdentity
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.testing.InMemoryTableStore
import org.vanillalink.testing.Scenario
import java.time.Duration
import java.time.Instant

internal class MeasuredFleet(
    val scenario: Scenario,
    daemons: Int,
    private val domains: Int,
) {
    private val heapBefore = usedHeap()
    val mapper = jacksonObjectMapper()
    val store = InMemoryTableStore()
    val delays = mutableListOf<Double>()
    val baselineDelays = mutableListOf<Double>()
    var unfinished = 0
    var bytes = 0L
    var messages = 0L
    var nanoseconds = 0L
    var reads = 0L
    private val members = List(daemons) { MeasuredDaemon(it, identity(it), this) }
    private val byEndpoint = members.associateBy { it.identity.endpoints.peers }
    private val byName = members.associateBy { it.identity.daemon }
    private val configuration = EditedConfiguration(store)
    private val set get() = configuration.set
    private var editedAt = Instant.EPOCH

    val seeds: List<Endpoint> get() = members.take(SEEDS).map { it.identity.endpoints.peers }

    init {
        edit(ConfigurationSection.SERVICES, """{"m": {"kind": "MODEL", "membersPerGroup": 4}}""")
        val workspaces = List(WORKSPACES) { """"w$it": {"share": ${it + 1}, "keyHashes": ["${"0".repeat(HASH)}"]}""" }
        edit(ConfigurationSection.WORKSPACES, "{${workspaces.joinToString()}}")
        members.forEach { it.start() }
    }

    fun run(duration: Duration) = scenario.run(duration)

    fun costOf(action: () -> Unit): FleetCost {
        val earlier = counters()
        val start = scenario.now
        action()
        val seconds = Duration.between(start, scenario.now).toMillis() / MILLISECONDS
        val spent = counters().zip(earlier) { after, before -> (after - before) / seconds }
        val count = members.size
        return FleetCost(
            seconds = seconds,
            bytesPerDaemonSecond = 2 * spent[0] / count,
            messagesPerDaemonSecond = spent[1] / count,
            microsecondsPerDaemonSecond = spent[2] / count / NANOSECONDS,
            readsPerSecond = spent[READS],
        )
    }

    private fun counters(): List<Long> = listOf(bytes, messages, nanoseconds, reads)

    /** One accepted edit; then [interval] passes and daemons that don't have it in force are counted. */
    fun editAndWait(interval: Duration) {
        edit(ConfigurationSection.LIMITS, """{"queuedRequests": ${set.revision}}""")
        editedAt = scenario.now
        repeat(
            members.size,
        ) { baselineDelays.add(scenario.random.nextDouble(POLL_MILLISECONDS) + tableCall().toMillis()) }
        val revision = set.revision
        scenario.after(LONGEST_DELAY) {
            if (members.any { (it.replica.revision ?: 0) < revision }) unfinished++
        }
        scenario.run(interval)
    }

    fun inForce(revision: Long) {
        if (revision == set.revision && editedAt > Instant.EPOCH) {
            delays.add(Duration.between(editedAt, scenario.now).toMillis().toDouble())
        }
    }

    private fun edit(
        section: ConfigurationSection,
        content: String,
    ) = configuration.edit(section, content)

    fun at(endpoint: Endpoint): MeasuredDaemon = byEndpoint.getValue(endpoint)

    fun named(daemon: DaemonId): MeasuredDaemon = byName.getValue(daemon)

    fun tableCall(): Duration = Duration.ofMillis(scenario.random.nextLong(TABLE_SHORTEST, TABLE_LONGEST))

    fun path(
        from: MeasuredDaemon,
        to: MeasuredDaemon,
    ): Duration {
        val near = from.identity.failureDomain == to.identity.failureDomain
        return Duration.ofMillis(if (near) 1 else scenario.random.nextLong(FAR_SHORTEST, FAR_LONGEST))
    }

    fun documentBytes(): Int = set.sections.values.sumOf { mapper.writeValueAsBytes(it).size }

    /** Heap that one daemon's state holds; messages are decoded from bytes, so that daemons share nothing. */
    fun heapBytesPerDaemon(): Double = (usedHeap() - heapBefore).toDouble() / members.size

    /** Peers that one daemon knows, on average. */
    fun knownPeers(): Double = members.sumOf { it.membership.peers.size }.toDouble() / members.size

    private fun usedHeap(): Long {
        repeat(COLLECTIONS) { System.gc() }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()
    }

    private fun identity(index: Int): DaemonIdentity {
        val address = "10.0.${index / OCTET}.${index % OCTET}"
        val endpoints =
            DaemonEndpoints(Endpoint(address, TRAFFIC), Endpoint(address, PEERS), Endpoint(address, OPERATORS))
        val domain = FailureDomainId("domain-${index % domains}")
        return DaemonIdentity(DaemonId("daemon-$index"), BootId("boot-$index"), domain, endpoints)
    }

    private companion object {
        const val SEEDS = 3
        const val WORKSPACES = 20
        const val HASH = 64
        const val READS = 3
        const val MILLISECONDS = 1_000.0
        const val NANOSECONDS = 1_000.0
        const val POLL_MILLISECONDS = 2_000.0
        const val TABLE_SHORTEST = 5L
        const val TABLE_LONGEST = 41L
        const val FAR_SHORTEST = 2L
        const val FAR_LONGEST = 31L
        const val COLLECTIONS = 3
        const val OCTET = 250
        const val TRAFFIC = 8_080
        const val PEERS = 8_081
        const val OPERATORS = 8_082
        val LONGEST_DELAY: Duration = Duration.ofSeconds(15)
    }
}
