package org.vanillalink.dispatch.record

import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import org.vanillalink.testing.Scenario
import org.vanillalink.testing.StoreBehaviour
import org.vanillalink.testing.forEachSeed
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class IdempotentDispatchScenarios {
    private val second = Duration.ofSeconds(1)

    @Test
    fun `a resend through another daemon gets the recorded outcome`() = onCluster { cluster ->
        val first = cluster.call(0)
        run(second)
        val resend = cluster.call(1)
        run(second)

        val replay = assertIs<CallerResponse.Answered>(cluster.responseTo(resend))
        assertTrue(replay.isReplay)
        assertEquals(assertIs<CallerResponse.Answered>(cluster.responseTo(first)).outcome, replay.outcome)
        cluster.checkGuarantees()
    }

    @Test
    fun `concurrent calls with one key through two daemons run once`() = onCluster { cluster ->
        cluster.call(0)
        cluster.call(1)
        run(second)

        assertEquals(listOf(1), cluster.runsByRecord.values.toList())
        cluster.checkGuarantees()
    }

    @Test
    fun `a workspace never gets the replay of another workspace`() = onCluster { cluster ->
        cluster.call(0, workspace = "w1")
        run(second)
        val other = cluster.call(0, workspace = "w2")
        run(second)

        assertEquals(false, assertIs<CallerResponse.Answered>(cluster.responseTo(other)).isReplay)
        assertEquals(2, cluster.runsByRecord.size)
    }

    @Test
    fun `the same key with another body is refused`() = onCluster { cluster ->
        cluster.call(0)
        run(second)
        val other = cluster.call(1, body = "other")
        run(second)

        assertEquals(RefusalReason.KEY_REUSED, cluster.refusalFor(other)?.reason)
    }

    @Test
    fun `a lost response to the insert leads to a reread and a single run`() = onCluster { cluster ->
        cluster.failStoreFor(StoreBehaviour.LOSES_ANSWERS, Duration.ofMillis(300))
        val call = cluster.call(0)
        run(second.multipliedBy(5))

        assertIs<CallerResponse.Answered>(cluster.responseTo(call))
        cluster.checkGuarantees()
    }

    @Test
    fun `a lost response to the write of sending leads to a reread and a single run`() = onCluster { cluster ->
        cluster.failStoreOnWrite(RecordState.SENDING, StoreBehaviour.LOSES_ANSWERS, Duration.ofMillis(300))
        val call = cluster.call(0)
        run(second.multipliedBy(5))

        assertIs<CallerResponse.Answered>(cluster.responseTo(call))
        cluster.checkGuarantees()
    }

    @Test
    fun `a call is refused as not run with a retry-after time if the table is unavailable at its start`() =
        onCluster { cluster ->
            cluster.store.behaviour = StoreBehaviour.UNAVAILABLE
            val call = cluster.call(0)
            run(second)

            val refusal = assertNotNull(cluster.refusalFor(call))
            assertEquals(RefusalReason.RECORD_UNAVAILABLE, refusal.reason)
            assertEquals(RefusalOutcome.NOT_RUN, refusal.outcome)
            assertNotNull(refusal.retryAfter)
            assertTrue(cluster.runsByRecord.isEmpty())
        }

    @Test
    fun `without the table for the outcome the caller still gets it and replays come from memory`() =
        onCluster { cluster ->
            cluster.failStoreOnWrite(RecordState.DONE, StoreBehaviour.UNAVAILABLE, second.multipliedBy(3))
            val first = cluster.call(0)
            run(second)
            val sameDaemon = cluster.call(0)
            run(second)
            assertIs<CallerResponse.Answered>(cluster.responseTo(first))
            assertTrue(assertIs<CallerResponse.Answered>(cluster.responseTo(sameDaemon)).isReplay)

            run(second.multipliedBy(5))
            val elsewhere = cluster.call(1)
            run(second)
            assertTrue(assertIs<CallerResponse.Answered>(cluster.responseTo(elsewhere)).isReplay)
            cluster.checkGuarantees()
        }

    @Test
    fun `the claim of a killed daemon is taken over`() = onCluster { cluster ->
        cluster.onFirstWrite(RecordState.CLAIMED) { daemon -> after(Duration.ofMillis(1)) { daemon.kill() } }
        cluster.call(0)
        run(second)
        val resend = cluster.call(1)
        run(second)

        assertTrue(cluster.runsByRecord.isNotEmpty())
        assertIs<CallerResponse.Answered>(cluster.responseTo(resend))
        cluster.checkGuarantees()
    }

    @Test
    fun `a daemon killed between recording and sending leaves the outcome unknown`() = onCluster { cluster ->
        cluster.onFirstWrite(RecordState.SENDING) { daemon -> daemon.kill() }
        cluster.call(0)
        run(second)
        val resend = cluster.call(1)
        run(second.multipliedBy(3))

        assertEquals(RefusalReason.OUTCOME_UNKNOWN, cluster.refusalFor(resend)?.reason)
        assertTrue(cluster.runsByRecord.isEmpty())
    }

    @Test
    fun `a daemon killed after sending leaves the outcome unknown without a second run`() = onCluster { cluster ->
        cluster.target = TargetBehaviour.HANGS
        cluster.call(0)
        run(second)
        cluster.daemons[0].kill()
        cluster.target = TargetBehaviour.ANSWERS
        val elsewhere = cluster.call(1)
        val sameDaemon = cluster.call(0)
        run(second.multipliedBy(3))

        listOf(elsewhere, sameDaemon).forEach {
            assertEquals(RefusalReason.OUTCOME_UNKNOWN, cluster.refusalFor(it)?.reason)
        }
        assertEquals(listOf(1), cluster.runsByRecord.values.toList())
    }

    @Test
    fun `a resend of a running call is refused as in progress with a retry-after time`() = onCluster { cluster ->
        cluster.target = TargetBehaviour.HANGS
        cluster.call(0)
        run(second)
        val resend = cluster.call(1)
        run(second)

        val refusal = assertNotNull(cluster.refusalFor(resend))
        assertEquals(RefusalReason.DUPLICATE_IN_PROGRESS, refusal.reason)
        assertNotNull(refusal.retryAfter)
    }

    @Test
    fun `an unresponsive owner leaves the outcome unknown`() = onCluster { cluster ->
        cluster.target = TargetBehaviour.HANGS
        cluster.call(0)
        run(second)
        cluster.daemons[0].pause()
        val resend = cluster.call(1)
        run(second.multipliedBy(3))

        assertEquals(RefusalReason.OUTCOME_UNKNOWN, cluster.refusalFor(resend)?.reason)
    }

    @Test
    fun `an owner paused after its claim never sends once another daemon took the claim over`() = onCluster { cluster ->
        cluster.onFirstWrite(RecordState.CLAIMED) { daemon -> if (daemon == cluster.daemons[0]) daemon.pause() }
        val paused = cluster.call(0, deadline = Duration.ofHours(1))
        run(second)
        val other = cluster.call(1)
        run(second)
        cluster.daemons[0].resume()
        run(second)

        assertIs<CallerResponse.Answered>(cluster.responseTo(other))
        assertTrue(cluster.attempts[paused] !in cluster.attemptsRun)
        cluster.checkGuarantees()
    }

    @Test
    fun `an owner paused until after the deadline doesn't send and frees the key`() = onCluster { cluster ->
        cluster.onFirstWrite(RecordState.SENDING) { daemon -> if (daemon == cluster.daemons[0]) daemon.pause() }
        val paused = cluster.call(0, deadline = second)
        run(second.multipliedBy(5))
        cluster.daemons[0].resume()
        run(second)

        assertEquals(RefusalReason.DEADLINE_EXCEEDED, cluster.refusalFor(paused)?.reason)
        assertTrue(cluster.runsByRecord.isEmpty())
        val resend = cluster.call(1)
        run(second)
        assertIs<CallerResponse.Answered>(cluster.responseTo(resend))
        cluster.checkGuarantees()
    }

    @Test
    fun `a refused connection frees the key once the release is confirmed`() = onCluster { cluster ->
        cluster.target = TargetBehaviour.REFUSES_CONNECTION
        cluster.failStoreOnWrite(RecordState.RELEASED, StoreBehaviour.LOSES_ANSWERS, second.multipliedBy(2))
        val refused = cluster.call(0)
        run(second)
        assertEquals(RefusalOutcome.NOT_RUN, cluster.refusalFor(refused)?.outcome)
        cluster.target = TargetBehaviour.ANSWERS
        val early = cluster.call(0)
        run(second.multipliedBy(5))
        assertEquals(RefusalReason.DUPLICATE_IN_PROGRESS, cluster.refusalFor(early)?.reason)

        val resend = cluster.call(0)
        run(second)
        assertIs<CallerResponse.Answered>(cluster.responseTo(resend))
        cluster.checkGuarantees()
    }

    @Test
    fun `a target that closes the connection during the call leaves the outcome unknown`() = onCluster { cluster ->
        cluster.target = TargetBehaviour.RUNS_AND_BREAKS
        val first = cluster.call(0)
        run(second)
        val resend = cluster.call(1)
        run(second)

        assertEquals(RefusalReason.OUTCOME_UNKNOWN, cluster.refusalFor(first)?.reason)
        assertEquals(RefusalReason.OUTCOME_UNKNOWN, cluster.refusalFor(resend)?.reason)
        assertEquals(listOf(1), cluster.runsByRecord.values.toList())
    }

    @Test
    fun `a sent call gets a response after its deadline and its outcome is replayed later`() = onCluster { cluster ->
        cluster.onFirstSend { daemon -> daemon.pause() }
        val call = cluster.call(0, deadline = second)
        run(second.multipliedBy(2))
        cluster.daemons[0].resume()
        run(second)
        val resend = cluster.call(1)
        run(second)

        assertNotNull(cluster.responseTo(call))
        assertTrue(assertIs<CallerResponse.Answered>(cluster.responseTo(resend)).isReplay)
        cluster.checkGuarantees()
    }

    private fun onCluster(script: Scenario.(DispatchCluster) -> Unit) =
        forEachSeed(1L..20L) { script(DispatchCluster(this)) }

    private fun DispatchCluster.failStoreOnWrite(
        state: RecordState,
        behaviour: StoreBehaviour,
        duration: Duration,
    ) = onFirstWrite(state) { failStoreFor(behaviour, duration) }

    /** Runs [action] once, before the first write of [state] is executed. */
    private fun DispatchCluster.onFirstWrite(
        state: RecordState,
        action: (FakeDaemon) -> Unit,
    ) = onceBefore(action) { it is DispatchDecision.Transact && "\"state\":\"${state.name.lowercase()}\"" in it.text() }

    private fun DispatchCluster.onFirstSend(action: (FakeDaemon) -> Unit) =
        onceBefore(action) { it is DispatchDecision.SendToTarget }

    private fun DispatchCluster.onceBefore(
        action: (FakeDaemon) -> Unit,
        matches: (DispatchDecision) -> Boolean,
    ) {
        var isDone = false
        beforeDecision = { decision, daemon ->
            if (!isDone && matches(decision)) {
                isDone = true
                action(daemon)
            }
        }
    }

    private fun DispatchDecision.Transact.text(): String = write.value.orEmpty()
}
