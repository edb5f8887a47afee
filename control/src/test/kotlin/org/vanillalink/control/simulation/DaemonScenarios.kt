/*
 * Daemons are killed, paused, cut off and started anew, and the platform stays away.
 */
package org.vanillalink.control.simulation

import org.vanillalink.configuration.ConfigurationSection
import org.vanillalink.configuration.EditResult
import org.vanillalink.model.Generation
import org.vanillalink.model.GroupId
import kotlin.test.Test

class DaemonScenarios {
    private val group = "ikeja/brief-writer/0"

    @Test
    fun `another daemon takes control when the controller is killed, and groups go on`() =
        siteScenario("the controller is killed") {
            at(1.seconds) { controllerOf("ikeja").kill() }
            at(4.seconds) { checkKeepsServing(group, 12.seconds) }
            at(18.seconds) { host(memberOf(group, 1)).kill() }
            at(21.seconds) { scenario.check(!servesEverywhere(group)) { "a group without a member serves" } }
            expect { awaitServing(group, 15.seconds) }
        }

    @Test
    fun `a controller that wakes past its lease changes nothing and concedes`() =
        siteScenario("the controller pauses") {
            at(1.seconds) { controllerOf("ikeja").pause() }
            at(15.seconds) { host(memberOf(group, 1)).kill() }
            at(30.seconds) {
                scenario.check(servesEverywhere(group)) { "the successor didn't repair" }
                daemons.filter { it.isPaused }.forEach { it.resume() }
            }
            at(36.seconds) {
                val holders = daemonsOf("ikeja").filter { it.control.domainState.heldFencingNumber != null }
                scenario.check(holders.size == 1) { "holders of control: ${holders.map { it.id }}" }
            }
            expect { checkKeepsServing(group, 5.seconds) }
        }

    @Test
    fun `a failure domain that is cut off from all goes on serving and repairs its groups`() =
        siteScenario("ikeja is cut off") {
            at(1.seconds) { isolate("ikeja") }
            at(10.seconds) { host(memberOf(group, 1)).kill() }
            at(25.seconds) {
                scenario.check(servesEverywhere(group)) { "the cut-off failure domain didn't repair" }
                send("ikeja-a")
            }
            at(30.seconds) {
                scenario.check(
                    requests.single().answer == FinalResponse.Completed,
                ) { "not served: ${requests.single().answer}" }
                network.restoreAllLinks()
            }
            expect { checkKeepsServing(group, 20.seconds) }
        }

    @Test
    fun `groups go on serving through a long outage of the platform`() = siteScenario("the platform is down for long") {
        at(1.seconds) { platform.becomeUnavailable() }
        at(2.seconds) { checkKeepsServing(group, 120.seconds) }
        at(123.seconds) { platform.recover() }
        expect { checkKeepsServing(group, 20.seconds) }
    }

    @Test
    fun `a fresh daemon serves with the platform down and peers up`() = siteScenario("a fresh daemon") {
        at(1.seconds) { platform.becomeUnavailable() }
        at(2.seconds) { daemon("ikeja-b").kill() }
        at(12.seconds) { daemon("ikeja-b").start() }
        at(13.seconds) { await(15.seconds, "the fresh daemon is ready") { daemon("ikeja-b").control.isReady } }
        at(30.seconds) { send("ikeja-b") }
        expect {
            run(3.seconds)
            scenario.check(
                requests.single().answer == FinalResponse.Completed,
            ) { "not served: ${requests.single().answer}" }
        }
    }

    @Test
    fun `one of two racing edits is refused, and all daemons have the other in force`() = siteScenario("edits race") {
        val results = mutableListOf<EditResult>()
        at(1.seconds) {
            results.clear()
            val version =
                daemon("ikeja-a")
                    .control.replicaState.inForce!!
                    .set.sections
                    .getValue(ConfigurationSection.WORKSPACES)
                    .version
            listOf("ikeja-b" to 2, "apapa-b" to 3).forEach { (daemon, share) ->
                val content = """{"gritworks":{"share":$share}}"""
                edit(daemon, ConfigurationSection.WORKSPACES, content, version) { results.add(it) }
            }
        }
        expect {
            await(10.seconds, "all daemons have the same revision in force") {
                results.size == 2 && daemons.map { it.control.replicaState.revision }.toSet().size == 1 &&
                    daemons.all {
                        it.control.configuration.workspaces[SimulatedSite.WORKSPACE]!!
                            .share > 1
                    }
            }
            scenario.check(results.count { it is EditResult.Accepted } == 1) { "results: $results" }
        }
    }

    @Test
    fun `a daemon that wakes has the edit in force that it missed`() = siteScenario("an edit is missed") {
        at(1.seconds) { daemon("ikeja-b").pause() }
        at(2.seconds) { takeOut("apapa", "ikeja-a") }
        at(15.seconds) { daemon("ikeja-b").resume() }
        expect {
            await(10.seconds, "the woken daemon has the edit in force") { isOutAt("ikeja-b", "apapa") }
        }
    }

    @Test
    fun `a generation that only a peer of the controller saw end gets a successor`() =
        siteScenario("only a peer of the controller sees a member restart") {
            siteSize { daemonsPerFailureDomain = 3 }
            lateinit var before: Generation
            lateinit var witness: SimulatedDaemon
            at(1.seconds) {
                before = generationOf(group)
                val others = daemonsOf("ikeja") - controllerOf("ikeja")
                witness = others.last()
                network.partition { from, to -> from == witness.id.value && to == SimulatedNetwork.PLATFORM }
                daemonsOf("ikeja").filter { it != witness }.forEach { it.kill() }
            }
            at(4.seconds) { host(members(witness, group).last()).restartInPlace() }
            at(6.seconds) { daemonsOf("ikeja").filter { it != witness }.forEach { it.start() } }
            at(12.seconds) { awaitServing(group, 30.seconds) }
            expect { scenario.check(generationOf(group) > before) { "the group serves under $before again" } }
        }

    @Test
    fun `a member that restarts gets its group a new generation`() = siteScenario("a member restarts") {
        lateinit var before: Generation
        at(1.seconds) {
            before = generationOf(group)
            host(memberOf(group, 1)).restart()
        }
        at(4.seconds) { awaitServing(group, 15.seconds) }
        expect {
            scenario.check(generationOf(group) > before) { "the group serves under $before again" }
        }
    }

    private fun SimulatedSite.generationOf(group: String): Generation = controllerOf("ikeja")
        .control.servingState.descriptions
        .getValue(GroupId(group))
        .generation
}
