/*
 * A simulated failure domain with targets, a table and daemons; checks the invariants ten times a second.
 */
package org.vanillalink.groups

import org.vanillalink.model.Endpoint
import org.vanillalink.model.FabricDomainId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.GroupId
import org.vanillalink.model.Host
import org.vanillalink.model.HostId
import org.vanillalink.model.HostRole
import org.vanillalink.model.HostStatus
import org.vanillalink.model.ServiceName
import org.vanillalink.testing.InMemoryTableStore
import org.vanillalink.testing.Scenario
import java.time.Duration
import java.time.Instant

internal class FakeDomain(
    private val scenario: Scenario,
    hostsPerFabricDomain: List<Int>,
    services: List<DesiredService>,
    checksFencing: Boolean = true,
    settings: GroupSettings = GroupSettings(),
    daemons: Int = 2,
) {
    val table = InMemoryTableStore()
    val targets: Map<HostId, FakeTarget> =
        hostsPerFabricDomain
            .flatMapIndexed { fabric, count -> List(count) { host(fabric, it, checksFencing) } }
            .associate { it.id to FakeTarget(it, scenario, LOAD_TIME) }
    val daemons = List(daemons) { FakeDaemon("daemon-$it", scenario, table, settings) { targets.values } }
    private val leaving = mutableSetOf<HostId>()
    private val deadSince = mutableMapOf<HostId, Instant>()
    private val maxReportAge = settings.maxReportAge

    init {
        this.daemons.forEach { it.feed(ControllerEvent.ServicesDesired(services)) }
        publishHosts()
        scenario.every(Duration.ofMillis(500)) { sendReports() }
        scenario.every(Duration.ofMillis(100)) { step() }
    }

    val controller: FakeDaemon get() = daemons.first { it.state.heldFencingNumber != null && !it.isPaused }

    fun run(seconds: Long) = scenario.run(Duration.ofSeconds(seconds))

    fun kill(host: HostId) {
        targets.getValue(host).kill()
        deadSince.putIfAbsent(host, scenario.now)
    }

    fun restart(host: HostId) {
        targets.getValue(host).restart()
        deadSince.remove(host)
    }

    fun killFabricDomain(name: String) {
        targets.values.filter { it.host.fabricDomain == FabricDomainId(name) }.forEach { kill(it.host.id) }
    }

    fun leave(host: HostId) {
        leaving.add(host)
        publishHosts()
    }

    fun servingGroups(daemon: FakeDaemon = controller): Set<GroupId> = daemon.serving.statuses
        .filterValues { it is GroupStatus.Serving }
        .keys

    fun membersOf(group: String): List<HostId> = controller.serving.descriptions
        .getValue(GroupId("$ID/$group"))
        .members

    fun claimOf(host: HostId): HostClaim = GroupRows.decodeClaim(
        table
            .readNow(setOf(GroupRows.hostKey(host)))
            .getOrNull()
            .orEmpty()
            .values
            .single()
            .value,
    )

    private fun publishHosts() {
        val hosts = targets.values.map { it.host.copy(status = hostStatus(it.host.id)) }
        daemons.forEach { it.feed(ControllerEvent.HostsListed(hosts)) }
    }

    private fun hostStatus(host: HostId) = if (host in leaving) HostStatus.LEAVING else HostStatus.LIVE

    private fun sendReports() {
        targets.values.forEach { target ->
            val report = target.report() ?: return@forEach
            daemons.forEach { it.reports.send(ReceivedReport(report, scenario.now)) }
        }
    }

    private fun step() {
        daemons.forEach { it.tick() }
        daemons.forEach { one -> daemons.filter { it != one && !it.isPaused }.forEach { one.receiveFrom(it) } }
        daemons.filter { !it.isPaused }.forEach { checkInvariants(it) }
    }

    private fun checkInvariants(daemon: FakeDaemon) {
        val desired = daemon.state.descriptions.flatMap { it.members }
        scenario.check(desired.size == desired.toSet().size) { "a controller has assigned a host to two groups" }
        val serving = servingGroups(daemon).map { daemon.serving.descriptions.getValue(it) }
        val members = serving.flatMap { it.members }
        scenario.check(members.size == members.toSet().size) { "two serving groups share a host" }
        val longDead = deadSince.filterValues { it.plus(maxReportAge).plusMillis(200) < scenario.now }.keys
        scenario.check(members.none { it in longDead }) { "a group serves although one of its members is dead" }
        checkRows()
    }

    private fun checkRows() {
        val rows = table.scanNow(GroupRows.groupsPrefix(ID)).getOrNull().orEmpty()
        val groups = rows.map { (key, row) -> GroupRows.decodeGroupId(key) to GroupRows.decodeGroup(row.value) }
        val members = groups.flatMap { it.second.members }
        scenario.check(members.size == members.toSet().size) { "two group rows share a host" }
        groups.forEach { (group, row) ->
            scenario.check(row.members.all { claimOf(it).group == group }) { "a claim differs from the row of $group" }
        }
    }

    companion object {
        val ID = FailureDomainId("domain")
        val SERVICE = ServiceName("model")
        val LOAD_TIME: Duration = Duration.ofSeconds(10)

        private fun host(
            fabric: Int,
            index: Int,
            checksFencing: Boolean,
        ) = Host(
            id = HostId("f$fabric-h$index"),
            endpoint = Endpoint("127.0.0.1", 1 + index),
            failureDomain = ID,
            fabricDomain = FabricDomainId("f$fabric"),
            role = HostRole.MODEL_ENGINE,
            checksFencing = checksFencing,
        )
    }
}
