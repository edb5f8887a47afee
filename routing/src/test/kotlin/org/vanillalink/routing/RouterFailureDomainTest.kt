package org.vanillalink.routing

import org.vanillalink.configuration.FailureDomainState
import org.vanillalink.model.RefusalOutcome
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals

class RouterFailureDomainTest {
    private val testSubject = RouterFixture(RouterSettings(remoteSlowStart = Duration.ofSeconds(20)))

    @Test
    fun `requests of a domain that is out are forwarded to a domain that is in`() {
        testSubject.target("a")
        testSubject.reportRemoteCapacity()
        testSubject.setDomainState(LOCAL_DOMAIN, FailureDomainState.OUT)

        val decisions = testSubject.arrive("r")

        assertEquals(1, decisions.forwards().size)
        assertEquals(emptyList(), decisions.starts())
    }

    @Test
    fun `a forwarded request is never forwarded again`() {
        testSubject.target("a")
        testSubject.reportRemoteCapacity()
        testSubject.setDomainState(LOCAL_DOMAIN, FailureDomainState.OUT)

        val decisions = testSubject.arrive("r", forwarded = true)

        assertEquals(emptyList(), decisions.forwards())
        assertEquals(emptyList(), decisions.starts())
        assertEquals(
            RefusalOutcome.NOT_RUN,
            decisions
                .refusals()
                .single()
                .refusal.outcome,
        )
    }

    @Test
    fun `a queued forwarded request doesn't prevent others from being forwarded`() {
        testSubject.target("a", capacity = 1)
        testSubject.arrive("running")
        testSubject.arrive("waiting", forwarded = true)
        testSubject.reportRemoteCapacity()

        val decisions = testSubject.arrive("r")

        assertEquals(listOf("r"), decisions.forwards().map { it.request.value })
    }

    @Test
    fun `forwards stay within the reported capacity and need an empty remote queue and a fresh report`() {
        testSubject.reportRemoteCapacity(free = 10)
        val forwardedOnFresh = (1..10).sumOf { testSubject.arrive("r$it").forwards().size }
        testSubject.now = testSubject.now.plusSeconds(1)
        testSubject.reportRemoteCapacity(free = 10, queue = 1)
        val forwardedOnQueue = testSubject.arrive("q").forwards().size
        testSubject.now = testSubject.now.plusSeconds(4)

        val forwardedOnOld = testSubject.arrive("o").forwards().size

        assertEquals(listOf(5, 0, 0), listOf(forwardedOnFresh, forwardedOnQueue, forwardedOnOld))
    }

    @Test
    fun `a request that a remote daemon rejected is forwarded to another one without using the retry budget`() {
        testSubject.feed(RouterEvent.SettingsChanged(RouterSettings(retryBurst = 0, retryFraction = 0.0)))
        testSubject.reportRemoteCapacity("d2", free = 20)
        testSubject.reportRemoteCapacity("d3", free = 10)
        val first = testSubject.arrive("r").forwards().single()

        val second = testSubject.fail("r", mayHaveRun = false).forwards().single()

        assertEquals(listOf("d2", "d3"), listOf(first.daemon.value, second.daemon.value))
    }

    @Test
    fun `a growing fraction of the free capacity of a returned domain is used`() {
        testSubject.setDomainState(REMOTE_DOMAIN, FailureDomainState.OUT)
        testSubject.reportRemoteCapacity(free = 40)
        val whileOut = testSubject.arrive("out").forwards().size
        testSubject.setDomainState(REMOTE_DOMAIN, FailureDomainState.IN)
        val forwardedCounts =
            (0..2).map { round ->
                val fromQueue = testSubject.reportRemoteCapacity(free = 40).forwards().size
                val sent = fromQueue + (1..40).sumOf { testSubject.arrive("$round-$it").forwards().size }
                testSubject.now = testSubject.now.plusSeconds(10)
                testSubject.feed(RouterEvent.Tick)
                sent
            }

        assertEquals(0, whileOut)
        assertEquals(listOf(2, 10, 20), forwardedCounts)
    }

    @Test
    fun `taking the only domain out refuses its queued requests at once`() {
        testSubject.target("a", capacity = 1)
        testSubject.arrive("running")
        testSubject.arrive("waiting")

        val refusal = testSubject.setDomainState(LOCAL_DOMAIN, FailureDomainState.OUT).refusals().single()

        assertEquals("waiting", refusal.request.value)
        assertEquals(RefusalOutcome.NOT_RUN, refusal.refusal.outcome)
    }
}
