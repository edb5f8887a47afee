package org.vanillalink.control.poison

import org.vanillalink.dispatch.record.CallFingerprint
import org.vanillalink.model.RefusalReason
import org.vanillalink.testing.forEachSeed
import java.time.Duration
import kotlin.test.Test

class PoisonRequestScenarios {
    private val poison = CallFingerprint("poison")

    @Test
    fun `a request resent through three daemons loses two targets at most and its batch completes`() =
        forEachSeed(1L..20L) {
            val testSubject = SimulatedDaemons(this, hostCount = 6, poison)
            testSubject.start()
            run(Duration.ofSeconds(5))
            (0 until 12).forEach { testSubject.request(it % 3, "innocent$it", CallFingerprint("innocent$it")) }
            (0 until 8).forEach { resend ->
                after(Duration.ofMillis(50L + 3_000L * resend)) { testSubject.request(resend % 3, "p$resend", poison) }
            }

            run(Duration.ofSeconds(90))

            check(testSubject.lost.size in 1..2) { "lost ${testSubject.lost}" }
            val last = testSubject.refused.filterKeys { it.value in setOf("p5", "p6", "p7") }.values
            check(last.size == 3 && last.all { it == RefusalReason.POISON_REQUEST }) { "${testSubject.refused}" }
            val innocents = testSubject.answered.count { it.value.startsWith("innocent") }
            check(innocents == 12) { "$innocents innocents answered, refused ${testSubject.refused}" }
        }

    @Test
    fun `copies that arrive together at one daemon lose two targets at most`() = forEachSeed(1L..20L) {
        val testSubject = SimulatedDaemons(this, hostCount = 6, poison)
        testSubject.start()
        run(Duration.ofSeconds(5))

        (0 until 12).forEach { testSubject.request(0, "p$it", poison) }
        run(Duration.ofSeconds(90))

        check(testSubject.lost.size in 1..2) { "lost ${testSubject.lost}" }
        check(testSubject.refused.size == 12) { "refused ${testSubject.refused}" }
    }

    @Test
    fun `harmless copies that arrive together are all answered`() = forEachSeed(1L..20L) {
        val testSubject = SimulatedDaemons(this, hostCount = 6, poison)
        testSubject.start()
        run(Duration.ofSeconds(5))

        (0 until 30).forEach { testSubject.request(it % 3, "copy$it", CallFingerprint("harmless")) }
        run(Duration.ofSeconds(60))

        check(testSubject.answered.size == 30) { "answered ${testSubject.answered.size}, ${testSubject.refused}" }
    }
}
