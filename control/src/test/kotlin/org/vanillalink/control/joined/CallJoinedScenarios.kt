/*
 * Requests and orders while daemons, targets and failure domains come and go.
 */
package org.vanillalink.control.joined

import kotlin.test.Test

class CallJoinedScenarios {
    private val group = "ikeja/brief-writer/0"

    @Test
    fun `requests get one final answer each while a member dies`() = scenario("requests while a member dies") {
        repeat(60) { number -> at((number * 200).milliseconds) { send(if (number % 2 == 0) "ikeja-a" else "ikeja-b") } }
        at(3_050.milliseconds) { host(memberOf(group, 0)).kill() }
        expect {
            run(25.seconds)
            val whole = requests.count { it.answer == FinalAnswer.Whole }
            scenario.check(whole >= requests.size - 2) { "$whole of ${requests.size} whole" }
        }
    }

    @Test
    fun `a failure domain that is out gets no new work, also through a daemon cut off from the platform`() =
        scenario("ikeja is taken out") {
            at(1.seconds) { network.cut { from, to -> from == "ikeja-b" && to == Network.PLATFORM } }
            at(2.seconds) { takeOut("ikeja", "apapa-a") }
            at(6.seconds) {
                repeat(4) { daemons.forEach { send(it.id.value) } }
            }
            at(10.seconds) {
                val started =
                    targets.values
                        .filter {
                            it.host.failureDomain.value == "ikeja"
                        }.sumOf { it.starting.size }
                scenario.check(started == 0) { "$started attempts started in a failure domain that is out" }
                val whole = requests.count { it.answer == FinalAnswer.Whole }
                scenario.check(whole == requests.size) { "$whole of ${requests.size} whole" }
                letIn("apapa-a")
            }
            at(20.seconds) { send("ikeja-b") }
            expect {
                run(3.seconds)
                val started =
                    targets.values
                        .filter {
                            it.host.failureDomain.value == "ikeja"
                        }.sumOf { it.starting.size }
                scenario.check(started == 1) { "a failure domain that is back got $started attempts" }
            }
        }

    @Test
    fun `a leaving target gets nothing new`() = scenario("a target leaves") {
        at(1.seconds) { platform.listAsLeaving(host("ikeja-desk").host.id) }
        repeat(
            10,
        ) { number -> at((4_000 + number * 100).milliseconds) { send("ikeja-a", Site.PLAIN, "order-$number") } }
        expect {
            run(5.seconds)
            scenario.check(host("ikeja-desk").starting.isEmpty()) { "a leaving target got work" }
            scenario.check(requests.all { it.answer == FinalAnswer.Whole }) { "answers: ${requests.map { it.answer }}" }
        }
    }

    @Test
    fun `an order sent to two daemons at once runs once, also when its owner is killed`() =
        scenario("an order twice, its owner killed", 1L..20L) {
            at(1.seconds) {
                send("ikeja-a", Site.PLAIN, "bin-7")
                send("ikeja-b", Site.PLAIN, "bin-7")
            }
            at(1_200.milliseconds) { daemon("ikeja-a").kill() }
            at(6.seconds) { send("apapa-a", Site.PLAIN, "bin-7") }
            expect {
                run(25.seconds)
                scenario.check(truth.runsOf("bin-7") <= 1) { "ran ${truth.runsOf("bin-7")} times" }
            }
        }

    @Test
    fun `an order is not sent while it can't be recorded, and its caller may trust the refusal`() =
        scenario("an order without the platform") {
            at(1.seconds) { platform.goesDown() }
            at(2.seconds) { send("ikeja-a", Site.PLAIN, "bin-8") }
            expect {
                run(25.seconds)
                val answer = requests.single().answer
                scenario.check(answer is FinalAnswer.Refused) { "answer: $answer" }
                scenario.check(truth.runsOf("bin-8") == 0) { "ran without a record" }
            }
        }

    @Test
    fun `an order runs once while the platform's answers are lost`() = scenario("lost answers", 1L..10L) {
        at(1.seconds) { platform.losesAnswers() }
        at(1_100.milliseconds) { send("ikeja-a", Site.PLAIN, "bin-9") }
        at(3.seconds) { platform.returns() }
        at(4.seconds) { send("ikeja-b", Site.PLAIN, "bin-9") }
        expect {
            run(25.seconds)
            scenario.check(truth.runsOf("bin-9") <= 1) { "ran ${truth.runsOf("bin-9")} times" }
        }
    }

    @Test
    fun `a request for a service with capacity nowhere is refused at once with a time`() =
        scenario("capacity nowhere") {
            at(1.seconds) { targets.values.forEach { it.kill() } }
            at(20.seconds) { send("ikeja-a") }
            at(21.seconds) {
                val refused = requests.single().answer as? FinalAnswer.Refused
                scenario.check(refused?.refusal?.retryAfter != null) { "answer: ${requests.single().answer}" }
            }
        }

    @Test
    fun `a request waits for a repair that ends within its deadline, and for nothing else`() =
        scenario("a repair is under way") {
            sizes { failureDomains = listOf("ikeja") }
            at(1.seconds) {
                targets.values.forEach { it.loadTime = 3.seconds }
                host(memberOf(group, 1)).kill()
            }
            at(4.seconds) { send("ikeja-a") }
            at(4_100.milliseconds) {
                scenario.check(requests.single().answer is FinalAnswer.Refused) { "it waits for nothing known" }
                await(10.seconds, "a spare loads") { targets.values.any { it.isLoading } }
                run(1_500.milliseconds)
                send("ikeja-a")
            }
            expect {
                run(5.seconds)
                scenario.check(requests.last().answer == FinalAnswer.Whole) { "answer: ${requests.last().answer}" }
            }
        }

    @Test
    fun `a request goes to another failure domain once, and no further`() = scenario("groups of ikeja are lost") {
        sizes { failureDomains = listOf("ikeja", "apapa", "lekki") }
        at(1.seconds) { targets.values.filter { it.host.failureDomain.value == "ikeja" }.forEach { it.kill() } }
        at(6.seconds) { repeat(10) { send("ikeja-a") } }
        at(8.seconds) { targets.values.filter { it.host.failureDomain.value == "apapa" }.forEach { it.kill() } }
        at(8_100.milliseconds) { repeat(10) { send("ikeja-a") } }
        expect {
            run(25.seconds)
            val whole = requests.count { it.answer == FinalAnswer.Whole }
            scenario.check(whole >= 10) { "$whole of ${requests.size} whole" }
        }
    }
}
