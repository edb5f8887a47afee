package org.vanillalink.membership

import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import com.fasterxml.jackson.module.kotlin.readValue
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.ServiceName
import org.vanillalink.testing.LinkBehaviour
import org.vanillalink.testing.Scenario
import org.vanillalink.testing.forEachSeed
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals

class MembershipScenarios {
    private val threeDomains = listOf("a", "a", "a", "a", "b", "b", "b", "c")
    private val domainA = FailureDomainId("a")
    private val cut = LinkBehaviour(isPartitioned = true)

    private fun fleet(
        domains: List<String> = threeDomains,
        script: Scenario.(MembershipFleet) -> Unit,
    ) = forEachSeed(1L..10L) {
        val fleet = MembershipFleet(this, domains)
        fleet.run(20)
        script(fleet)
    }

    private fun services(free: Int) = mapOf(ServiceName("m") to ServiceAggregate(1, free, 0))

    private fun MemberDaemon.publishServices(
        free: Int,
        fencingNumber: Long,
    ) = feed(MembershipEvent.ServicesAggregated(services(free), FencingNumber(fencingNumber)))

    private fun Scenario.checkFree(
        fleet: MembershipFleet,
        free: Int,
    ) = fleet.daemons.forEach { daemon ->
        val reported = daemon.state.services(domainA, now)?.services
        check(reported == services(free)) { "${daemon.identity.daemon} has $reported" }
    }

    @Test
    fun `daemons with one seed discover their failure domain and a contact in every other domain`() = fleet { fleet ->
        fleet.daemons.forEach { daemon ->
            val own = fleet.daemons.filter { it.identity.failureDomain == daemon.identity.failureDomain }
            val active = daemon.state.activeDaemons
            check(active == own.map { it.identity.daemon }.sorted()) { "${daemon.identity.daemon} lists $active" }
            val others = setOf("a", "b", "c") - daemon.identity.failureDomain.value
            val reached = others.filter { daemon.state.contacts(FailureDomainId(it)).isNotEmpty() }
            check(reached.toSet() == others) { "${daemon.identity.daemon} reaches $reached" }
        }
    }

    @Test
    fun `a stopped daemon becomes silent and is recorded as restarted when it returns with another boot`() =
        fleet { fleet ->
            fleet.daemons[1].stop()
            fleet.run(15)
            check(DaemonId("d1") to PeerChange.SILENT in fleet.daemons[2].changes) { "${fleet.daemons[2].changes}" }
            check(DaemonId("d1") !in fleet.daemons[2].state.activeDaemons) { "the stopped daemon is still active" }

            fleet.daemons[1].restart("second")
            fleet.run(15)

            check(DaemonId("d1") in fleet.daemons[2].state.activeDaemons) { "the restarted daemon is not active" }
            check(DaemonId("d1") to PeerChange.RESTARTED in fleet.daemons[2].changes) { "${fleet.daemons[2].changes}" }
        }

    @Test
    fun `a late heartbeat does not make a leaving daemon active again`() = fleet { fleet ->
        val stateBeforeLeaving = fleet.daemons[1].state
        fleet.daemons[1].feed(MembershipEvent.LeavingStarted)
        fleet.run(1)
        val lateHeartbeat = Heartbeat(stateBeforeLeaving.identity, change = 0, whole = false)
        fleet.daemons[2].feed(MembershipEvent.HeartbeatReceived(lateHeartbeat))
        fleet.daemons[1].stop()

        check(
            fleet.daemons[2]
                .state.peers[DaemonId("d1")]
                ?.status == PeerStatus.LEAVING,
        ) { "the leaving daemon is no longer marked as leaving" }
        check(DaemonId("d1") !in fleet.daemons[0].state.activeDaemons) { "the leaving daemon is still active" }
    }

    @Test
    fun `aggregates reach every daemon and those of an older controller never replace newer ones`() = fleet { fleet ->
        fleet.daemons[0].publishServices(free = 5, fencingNumber = 2)
        fleet.run(15)
        checkFree(fleet, 5)

        repeat(3) { fleet.daemons[1].publishServices(free = 9, fencingNumber = 1) }
        fleet.run(15)

        checkFree(fleet, 5)
    }

    @Test
    fun `the age of aggregates counts from their creation by the author`() = fleet { fleet ->
        fleet.daemons[0].publishServices(free = 5, fencingNumber = 1)
        fleet.run(40)

        val ages = fleet.daemons.map { it.state.services(domainA, now)?.age }
        check(ages.all { it != null && it >= Duration.ofSeconds(39) }) { "$ages" }
    }

    @Test
    fun `a restarted author continues from the sequence that peers have stored`() = fleet { fleet ->
        repeat(5) { fleet.daemons[0].publishServices(free = it, fencingNumber = 1) }
        fleet.run(15)
        fleet.daemons[0].restart("second")
        fleet.run(15)

        fleet.daemons[0].publishServices(free = 77, fencingNumber = 1)
        fleet.run(15)

        checkFree(fleet, 77)
    }

    @Test
    fun `strikes, fencing numbers and aggregates reach all daemons once a partition heals`() = fleet { fleet ->
        fleet.setLinks(cut) { from, to -> from.identity.failureDomain != to.identity.failureDomain }
        fleet.run(60)
        fleet.daemons[0].publishServices(free = 3, fencingNumber = 4)
        val strike = GossipPayload.Strike("s", "opaque", lifetimeMilliseconds = 600_000)
        fleet.daemons[0].feed(MembershipEvent.StrikeRecorded(strike))
        fleet.daemons[0].feed(MembershipEvent.FencingNumberObserved(domainA, FencingNumber(4)))
        fleet.run(20)
        check(fleet.daemons[7].strikes.isEmpty()) { "a strike crossed the partition" }

        fleet.setLinks(LinkBehaviour())
        fleet.run(40)

        checkFree(fleet, 3)
        fleet.daemons
            .drop(
                1,
            ).forEach { check(it.strikes == listOf("s")) { "${it.identity.daemon}: ${it.strikes}" } }
        val numbers = fleet.daemons.map { it.state.highestFencingNumber(domainA) }.distinct()
        check(numbers == listOf(FencingNumber(4))) { "$numbers" }
    }

    @Test
    fun `every daemon removes a strike once its lifetime has passed`() = fleet { fleet ->
        fleet.daemons[0].feed(MembershipEvent.StrikeRecorded(GossipPayload.Strike("s", "opaque", 30_000)))
        fleet.run(20)
        check(fleet.daemons.all { it.state.strikes().size == 1 }) { "the strike did not reach every daemon" }

        fleet.run(60)

        check(fleet.daemons.all { it.state.strikes().isEmpty() }) { "an expired strike is still stored" }
    }

    @Test
    fun `a third daemon relays gossip when the link between two daemons is cut`() = fleet { fleet ->
        val pair = setOf(fleet.daemons[4], fleet.daemons[0])
        fleet.setLinks(cut) { from, to -> setOf(from, to) == pair }
        fleet.daemons[0].publishServices(free = 8, fencingNumber = 1)
        fleet.run(40)

        checkFree(fleet, 8)
    }

    @Test
    fun `heartbeats carry no items once all items are acknowledged`() = fleet { fleet ->
        fleet.run(20)
        val sentBefore = fleet.daemons.sumOf { it.itemsSent }
        fleet.run(30)
        val sent = fleet.daemons.sumOf { it.itemsSent } - sentBefore

        check(sent == 0) { "$sent items were sent again" }
    }

    @Test
    fun `a heartbeat is unchanged by a JSON round trip`() {
        val mapper = jacksonObjectMapper()
        val version = GossipVersion(FencingNumber(1), 2, DaemonId("d"))
        val strike = GossipItem(version, 5, GossipPayload.Strike("s", "opaque", 10))
        val offered = GossipItem(version, 5, GossipPayload.Services(domainA, services(3)))
        val testSubject = Heartbeat(identity(1, domainA, "b"), 7, whole = true, items = listOf(strike, offered))

        assertEquals(testSubject, mapper.readValue<Heartbeat>(mapper.writeValueAsString(testSubject)))
    }
}
