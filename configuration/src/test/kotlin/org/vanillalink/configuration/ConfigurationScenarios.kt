package org.vanillalink.configuration

import org.vanillalink.testing.LinkBehaviour
import org.vanillalink.testing.Scenario
import org.vanillalink.testing.StoreBehaviour
import org.vanillalink.testing.forEachSeed
import java.time.Duration
import kotlin.test.Test

class ConfigurationScenarios {
    private val seeds = 1L..20L

    private fun runFleet(
        size: Int = 3,
        script: Scenario.(ReplicaFleet) -> Unit,
    ) = forEachSeed(seeds) {
        val fleet = ReplicaFleet(this, size)
        fleet.run(Duration.ofSeconds(6))
        script(fleet)
    }

    private fun Scenario.checkAllInForce(
        fleet: ReplicaFleet,
        revision: Long,
    ) = check(fleet.revisions().all { it == revision }) { "expected $revision everywhere, got ${fleet.revisions()}" }

    private fun ReplicaFleet.result(
        daemon: Int,
        edit: String,
    ): EditResult? = daemons[daemon].results[EditId(edit)]

    @Test
    fun `one of two concurrent edits of a section is accepted and the other gets a version conflict`() =
        runFleet { fleet ->
            fleet.daemons[0].edit(limitEdit("a", 0, 10))
            fleet.daemons[1].edit(limitEdit("b", 0, 20))
            fleet.run(Duration.ofSeconds(10))

            val results = listOf(fleet.result(0, "a"), fleet.result(1, "b"))
            check(results.count { it is EditResult.Accepted } == 1) { "expected one accepted edit, got $results" }
            check(EditResult.VersionConflict(1) in results) { "expected one version conflict, got $results" }
            checkAllInForce(fleet, 1)
        }

    @Test
    fun `concurrent edits of two sections are both accepted`() = runFleet { fleet ->
        fleet.daemons[0].edit(limitEdit("a", 0, 10))
        fleet.daemons[1].edit(targetEdit("b", 0, 4))
        fleet.run(Duration.ofSeconds(10))

        val documents = fleet.daemons.map { it.replica.inForce?.document }
        check(documents.all { it?.limits?.queuedRequests == 10 && it.targets.coldRequests == 4 }) { "got $documents" }
        checkAllInForce(fleet, 2)
    }

    @Test
    fun `concurrent edits that are valid only separately leave a valid document`() = runFleet { fleet ->
        val section = ConfigurationSection.SERVICES
        fleet.daemons[0].edit(ConfigurationEdit(EditId("s"), section, 0, """{"m": {"kind": "MODEL"}}""", "t"))
        fleet.run(Duration.ofSeconds(3))

        fleet.daemons[0].edit(ConfigurationEdit(EditId("remove"), section, 1, "{}", "t"))
        val workspace = """{"w": {"services": ["m"]}}"""
        val use = ConfigurationEdit(EditId("use"), ConfigurationSection.WORKSPACES, 0, workspace, "t")
        fleet.daemons[1].edit(use)
        fleet.run(Duration.ofSeconds(10))

        val results = listOf(fleet.result(0, "remove"), fleet.result(1, "use"))
        check(results.count { it is EditResult.Accepted } == 1) { "expected one accepted edit, got $results" }
        check(results.count { it is EditResult.Invalid } == 1) { "expected one invalid edit, got $results" }
    }

    @Test
    fun `an edit is validated against the complete resulting document`() = runFleet { fleet ->
        val services = """{"m": {"kind": "MODEL"}}"""
        val uses = """{"w": {"services": ["m"]}}"""
        val workspaces = ConfigurationSection.WORKSPACES
        fleet.daemons[0].edit(ConfigurationEdit(EditId("s"), ConfigurationSection.SERVICES, 0, services, "t"))
        fleet.run(Duration.ofSeconds(3))

        fleet.daemons[0].edit(ConfigurationEdit(EditId("use"), workspaces, 0, uses, "t"))
        fleet.run(Duration.ofSeconds(3))
        fleet.daemons[0].edit(ConfigurationEdit(EditId("remove"), ConfigurationSection.SERVICES, 1, "{}", "t"))
        fleet.run(Duration.ofSeconds(3))

        check(fleet.result(0, "use") is EditResult.Accepted) { "${fleet.result(0, "use")}" }
        val errors = (fleet.result(0, "remove") as? EditResult.Invalid)?.errors.orEmpty()
        check(errors.map { it.path } == listOf("w.services")) { "${fleet.result(0, "remove")}" }
    }

    @Test
    fun `a retry of a superseded edit returns its earlier result and changes nothing`() = runFleet { fleet ->
        fleet.daemons[0].edit(limitEdit("a", 0, 10))
        fleet.run(Duration.ofSeconds(3))
        fleet.daemons[0].edit(limitEdit("b", 1, 20))
        fleet.run(Duration.ofSeconds(3))

        fleet.daemons[2].edit(limitEdit("a", 0, 10))
        fleet.run(Duration.ofSeconds(6))

        check(fleet.result(2, "a") == EditResult.Accepted(1, 1, repeated = true)) { "${fleet.result(2, "a")}" }
        val queued =
            fleet.daemons.map {
                it.replica.inForce
                    ?.document
                    ?.limits
                    ?.queuedRequests
            }
        check(queued.all { it == 20 }) { "expected 20 at every daemon, got $queued" }
    }

    @Test
    fun `an edit whose response is lost is recognised by its id`() = runFleet { fleet ->
        fleet.daemons[0].losesNextTransactionResponse = true
        fleet.daemons[0].edit(limitEdit("a", 0, 10))
        fleet.run(Duration.ofSeconds(5))

        check(!fleet.daemons[0].losesNextTransactionResponse) { "expected the response of the transaction to be lost" }
        check(fleet.result(0, "a") == EditResult.Accepted(1, 1, repeated = false)) { "${fleet.result(0, "a")}" }
        checkAllInForce(fleet, 1)
    }

    @Test
    fun `an edit whose response is lost before the platform fails ends with an unknown outcome`() = runFleet { fleet ->
        fleet.daemons[0].losesNextTransactionResponse = true
        fleet.daemons[0].onResponseLost = { fleet.daemons[0].path = StorePath.DISCONNECTED }
        fleet.daemons[0].edit(limitEdit("a", 0, 10))
        fleet.run(Duration.ofSeconds(5))

        val expected = EditResult.PlatformUnavailable(EditOutcome.UNKNOWN)
        check(fleet.result(0, "a") == expected) { "${fleet.result(0, "a")}" }
    }

    @Test
    fun `an edit is refused as not applied while the platform is unavailable`() = runFleet { fleet ->
        fleet.store.behaviour = StoreBehaviour.UNAVAILABLE
        fleet.daemons[0].edit(limitEdit("a", 0, 10))
        fleet.run(Duration.ofSeconds(5))

        val expected = EditResult.PlatformUnavailable(EditOutcome.NOT_APPLIED)
        check(fleet.result(0, "a") == expected) { "${fleet.result(0, "a")}" }
    }

    @Test
    fun `stale rows from the store do not revert a daemon to an older revision`() = runFleet { fleet ->
        fleet.daemons[0].edit(limitEdit("a", 0, 10))
        fleet.run(Duration.ofSeconds(5))
        fleet.daemons.forEach { it.serveStaleRows() }
        fleet.daemons.forEach { it.path = StorePath.CONNECTED }
        fleet.daemons[0].edit(limitEdit("b", 1, 20))
        fleet.run(Duration.ofSeconds(6))

        fleet.daemons.forEach { it.path = StorePath.STALE }
        fleet.run(Duration.ofSeconds(30))

        checkAllInForce(fleet, 2)
        check(fleet.daemons[0].ignoredRevisions > 0) { "expected the daemon to ignore at least one older revision" }
        val age = fleet.daemons[0].replica.age(now)
        check(age != null && age >= Duration.ofSeconds(25)) { "expected a confirmation age of at least 25 s, got $age" }
    }

    @Test
    fun `a daemon without the platform receives an edit and its confirmation age from peers`() = runFleet { fleet ->
        fleet.daemons[2].path = StorePath.DISCONNECTED
        fleet.daemons[0].edit(limitEdit("a", 0, 10))
        fleet.run(Duration.ofSeconds(8))

        checkAllInForce(fleet, 1)
        val age = fleet.daemons[2].replica.age(now)
        check(age != null && age < Duration.ofSeconds(5)) { "expected a confirmation age below 5 s, got $age" }
    }

    @Test
    fun `a restarted daemon does not revert to the older revision of a lagging peer`() = runFleet { fleet ->
        fleet.daemons[1].path = StorePath.DISCONNECTED
        fleet.isolate(1)
        fleet.daemons[0].edit(limitEdit("a", 0, 10))
        fleet.run(Duration.ofSeconds(6))
        check(fleet.revisions() == listOf(1L, 0L, 1L)) { "expected 1, 0, 1, got ${fleet.revisions()}" }
        fleet.daemons[2].stop()
        fleet.daemons[2].path = StorePath.DISCONNECTED
        fleet.setLinks(LinkBehaviour()) { from, to -> setOf(from, to) == setOf(1, 2) }
        fleet.setLinks(LinkBehaviour(Duration.ofMillis(700), Duration.ofMillis(800))) { from, _ -> from == 0 }
        fleet.setLinks(LinkBehaviour(isPartitioned = true)) { from, to -> setOf(from, to) == setOf(0, 1) }

        fleet.daemons[2].start()
        fleet.run(Duration.ofSeconds(10))

        check(fleet.daemons[2].revisionsInForce == listOf(1L)) {
            "expected only revision 1, got ${fleet.daemons[2].revisionsInForce}"
        }
    }

    @Test
    fun `a new daemon receives the configuration from peers while the platform is unavailable`() = runFleet { fleet ->
        fleet.daemons[0].edit(limitEdit("a", 0, 10))
        fleet.run(Duration.ofSeconds(6))
        fleet.store.behaviour = StoreBehaviour.UNAVAILABLE
        fleet.daemons[2].stop()

        fleet.daemons[2].start()
        fleet.run(Duration.ofSeconds(6))

        checkAllInForce(fleet, 1)
    }

    @Test
    fun `an isolated daemon reports its confirmation age and catches up once links recover`() = runFleet { fleet ->
        fleet.daemons[2].path = StorePath.DISCONNECTED
        fleet.isolate(2)
        fleet.daemons[0].edit(limitEdit("a", 0, 10))
        fleet.run(Duration.ofSeconds(60))
        val age = fleet.daemons[2].replica.age(now)
        check(fleet.daemons[2].replica.revision == 0L) { "expected 0 at daemon 2, got ${fleet.revisions()}" }
        check(age != null && age >= Duration.ofSeconds(58)) { "expected a confirmation age of at least 58 s, got $age" }

        fleet.setLinks(LinkBehaviour())
        fleet.run(Duration.ofSeconds(5))

        checkAllInForce(fleet, 1)
    }

    @Test
    fun `a single new daemon without the platform has no configuration in force`() = runFleet(size = 1) { fleet ->
        fleet.daemons[0].stop()
        fleet.store.behaviour = StoreBehaviour.UNAVAILABLE
        fleet.daemons[0].start()
        fleet.run(Duration.ofSeconds(60))

        check(fleet.revisions() == listOf(null)) { "expected no revision, got ${fleet.revisions()}" }
        check(fleet.daemons[0].replica.age(now) == null) { "expected no confirmation age without a confirmation" }
    }
}
