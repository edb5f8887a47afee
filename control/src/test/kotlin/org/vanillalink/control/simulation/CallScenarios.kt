/*
 * Requests and orders while daemons, targets and failure domains come and go.
 */
package org.vanillalink.control.simulation

import kotlin.test.Test

class CallScenarios {
    private val group = "ikeja/brief-writer/0"

    @Test
    fun `requests get one final answer each while a member dies`() = siteScenario("requests while a member dies") {
        repeat(60) { number -> at((number * 200).milliseconds) { send(if (number % 2 == 0) "ikeja-a" else "ikeja-b") } }
        at(3_050.milliseconds) { host(memberOf(group, 0)).kill() }
        expect {
            run(25.seconds)
            val completed = requests.count { it.answer == FinalResponse.Completed }
            scenario.check(completed >= requests.size - 2) { "$completed of ${requests.size} whole" }
        }
    }

    @Test
    fun `a failure domain that is out gets no new work, also through a daemon cut off from the platform`() =
        siteScenario("ikeja is taken out") {
            at(1.seconds) { network.partition { from, to -> from == "ikeja-b" && to == SimulatedNetwork.PLATFORM } }
            at(2.seconds) { takeOut("ikeja", "apapa-a") }
            at(6.seconds) {
                repeat(4) { daemons.forEach { send(it.id.value) } }
            }
            at(10.seconds) {
                val started =
                    targets.values
                        .filter {
                            it.host.failureDomain.value == "ikeja"
                        }.sumOf { it.attemptStarts.size }
                scenario.check(started == 0) { "$started attempts started in a failure domain that is out" }
                val completed = requests.count { it.answer == FinalResponse.Completed }
                scenario.check(completed == requests.size) { "$completed of ${requests.size} whole" }
                putBack("apapa-a")
            }
            at(20.seconds) { send("ikeja-b") }
            expect {
                run(3.seconds)
                val started =
                    targets.values
                        .filter {
                            it.host.failureDomain.value == "ikeja"
                        }.sumOf { it.attemptStarts.size }
                scenario.check(started == 1) { "a failure domain that is back got $started attempts" }
            }
        }

    @Test
    fun `a leaving target gets nothing new`() = siteScenario("a target leaves") {
        at(1.seconds) { platform.listAsLeaving(host("ikeja-desk").host.id) }
        repeat(
            10,
        ) { number ->
            at(
                (4_000 + number * 100).milliseconds,
            ) { send("ikeja-a", SimulatedSite.PLAIN, "order-$number") }
        }
        expect {
            run(5.seconds)
            scenario.check(host("ikeja-desk").attemptStarts.isEmpty()) { "a leaving target got work" }
            scenario.check(
                requests.all { it.answer == FinalResponse.Completed },
            ) { "answers: ${requests.map { it.answer }}" }
        }
    }

    @Test
    fun `an order sent to two daemons at once runs once, also when its owner is killed`() =
        siteScenario("an order twice, its owner killed", 1L..20L) {
            at(1.seconds) {
                send("ikeja-a", SimulatedSite.PLAIN, "bin-7")
                send("ikeja-b", SimulatedSite.PLAIN, "bin-7")
            }
            at(1_200.milliseconds) { daemon("ikeja-a").kill() }
            at(6.seconds) { send("apapa-a", SimulatedSite.PLAIN, "bin-7") }
            expect {
                run(25.seconds)
                scenario.check(invariants.runCount("bin-7") <= 1) { "ran ${invariants.runCount("bin-7")} times" }
            }
        }

    @Test
    fun `an order is not sent while it can't be recorded, and its caller may trust the refusal`() =
        siteScenario("an order without the platform") {
            at(1.seconds) { platform.becomeUnavailable() }
            at(2.seconds) { send("ikeja-a", SimulatedSite.PLAIN, "bin-8") }
            expect {
                run(25.seconds)
                val answer = requests.single().answer
                scenario.check(answer is FinalResponse.Refused) { "answer: $answer" }
                scenario.check(invariants.runCount("bin-8") == 0) { "ran without a record" }
            }
        }

    @Test
    fun `an order runs once while the platform's answers are lost`() = siteScenario("lost answers", 1L..10L) {
        at(1.seconds) { platform.loseAnswers() }
        at(1_100.milliseconds) { send("ikeja-a", SimulatedSite.PLAIN, "bin-9") }
        at(3.seconds) { platform.recover() }
        at(4.seconds) { send("ikeja-b", SimulatedSite.PLAIN, "bin-9") }
        expect {
            run(25.seconds)
            scenario.check(invariants.runCount("bin-9") <= 1) { "ran ${invariants.runCount("bin-9")} times" }
        }
    }

    @Test
    fun `a request for a service with capacity nowhere is refused at once with a time`() =
        siteScenario("capacity nowhere") {
            at(1.seconds) { targets.values.forEach { it.kill() } }
            at(20.seconds) { send("ikeja-a") }
            at(21.seconds) {
                val refused = requests.single().answer as? FinalResponse.Refused
                scenario.check(refused?.refusal?.retryAfter != null) { "answer: ${requests.single().answer}" }
            }
        }

    @Test
    fun `a request waits for a repair that ends within its deadline, and for nothing else`() =
        siteScenario("a repair is under way") {
            siteSize { failureDomains = listOf("ikeja") }
            at(1.seconds) {
                targets.values.forEach { it.loadTime = 3.seconds }
                host(memberOf(group, 1)).kill()
            }
            at(4.seconds) { send("ikeja-a") }
            at(4_100.milliseconds) {
                scenario.check(requests.single().answer is FinalResponse.Refused) { "it waits for nothing known" }
                await(10.seconds, "a spare loads") { targets.values.any { it.isLoading } }
                run(1_500.milliseconds)
                send("ikeja-a")
            }
            expect {
                run(5.seconds)
                scenario.check(
                    requests.last().answer == FinalResponse.Completed,
                ) { "answer: ${requests.last().answer}" }
            }
        }

    @Test
    fun `a request goes to another failure domain once, and no further`() = siteScenario("groups of ikeja are lost") {
        siteSize { failureDomains = listOf("ikeja", "apapa", "lekki") }
        at(1.seconds) { targets.values.filter { it.host.failureDomain.value == "ikeja" }.forEach { it.kill() } }
        at(6.seconds) { repeat(10) { send("ikeja-a") } }
        at(8.seconds) { targets.values.filter { it.host.failureDomain.value == "apapa" }.forEach { it.kill() } }
        at(8_100.milliseconds) { repeat(10) { send("ikeja-a") } }
        expect {
            run(25.seconds)
            val completed = requests.count { it.answer == FinalResponse.Completed }
            scenario.check(completed >= 10) { "$completed of ${requests.size} whole" }
        }
    }
}
