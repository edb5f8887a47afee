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

        val replay = assertIs<CallerAnswer.Answered>(cluster.answerTo(resend))
        assertTrue(replay.replay)
        assertEquals(assertIs<CallerAnswer.Answered>(cluster.answerTo(first)).outcome, replay.outcome)
        cluster.checkPromises()
    }

    @Test
    fun `two daemons with one key at the same time run it once`() = onCluster { cluster ->
        cluster.call(0)
        cluster.call(1)
        run(second)

        assertEquals(listOf(1), cluster.runsByRecord.values.toList())
        cluster.checkPromises()
    }

    @Test
    fun `another workspace never sees a replay`() = onCluster { cluster ->
        cluster.call(0, workspace = "w1")
        run(second)
        val other = cluster.call(0, workspace = "w2")
        run(second)

        assertEquals(false, assertIs<CallerAnswer.Answered>(cluster.answerTo(other)).replay)
        assertEquals(2, cluster.runsByRecord.size)
    }

    @Test
    fun `the same key with another body is refused`() = onCluster { cluster ->
        cluster.call(0)
        run(second)
        val other = cluster.call(1, body = "other")
        run(second)

        assertEquals(RefusalReason.KEY_REUSED, cluster.refusalOf(other)?.reason)
    }

    @Test
    fun `the lost answer of the insert is read back and the call runs once`() = onCluster { cluster ->
        cluster.storeFails(StoreBehaviour.LOSES_ANSWERS, Duration.ofMillis(300))
        val call = cluster.call(0)
        run(second.multipliedBy(5))

        assertIs<CallerAnswer.Answered>(cluster.answerTo(call))
        cluster.checkPromises()
    }

    @Test
    fun `the lost answer of the write of sending is read back and the call runs once`() = onCluster { cluster ->
        cluster.failStoreAt(RecordState.SENDING, StoreBehaviour.LOSES_ANSWERS, Duration.ofMillis(300))
        val call = cluster.call(0)
        run(second.multipliedBy(5))

        assertIs<CallerAnswer.Answered>(cluster.answerTo(call))
        cluster.checkPromises()
    }

    @Test
    fun `with the platform down at start the call is refused as not run with a time to come back`() =
        onCluster { cluster ->
            cluster.store.behaviour = StoreBehaviour.UNAVAILABLE
            val call = cluster.call(0)
            run(second)

            val refusal = assertNotNull(cluster.refusalOf(call))
            assertEquals(RefusalReason.RECORD_UNAVAILABLE, refusal.reason)
            assertEquals(RefusalOutcome.NOT_RUN, refusal.outcome)
            assertNotNull(refusal.retryAfter)
            assertTrue(cluster.runsByRecord.isEmpty())
        }

    @Test
    fun `with the platform down before the outcome the caller is answered and replays come from memory`() =
        onCluster { cluster ->
            cluster.failStoreAt(RecordState.DONE, StoreBehaviour.UNAVAILABLE, second.multipliedBy(3))
            val first = cluster.call(0)
            run(second)
            val here = cluster.call(0)
            run(second)
            assertIs<CallerAnswer.Answered>(cluster.answerTo(first))
            assertTrue(assertIs<CallerAnswer.Answered>(cluster.answerTo(here)).replay)

            run(second.multipliedBy(5))
            val elsewhere = cluster.call(1)
            run(second)
            assertTrue(assertIs<CallerAnswer.Answered>(cluster.answerTo(elsewhere)).replay)
            cluster.checkPromises()
        }

    @Test
    fun `a claim of a dead daemon is taken over`() = onCluster { cluster ->
        cluster.onWriteOf(RecordState.CLAIMED) { daemon -> after(Duration.ofMillis(1)) { daemon.kill() } }
        cluster.call(0)
        run(second)
        val resend = cluster.call(1)
        run(second)

        assertTrue(cluster.runsByRecord.isNotEmpty())
        assertIs<CallerAnswer.Answered>(cluster.answerTo(resend))
        cluster.checkPromises()
    }

    @Test
    fun `a daemon that died between its record and the send blocks the key as unknown`() = onCluster { cluster ->
        cluster.onWriteOf(RecordState.SENDING) { daemon -> daemon.kill() }
        cluster.call(0)
        run(second)
        val resend = cluster.call(1)
        run(second.multipliedBy(3))

        assertEquals(RefusalReason.OUTCOME_UNKNOWN, cluster.refusalOf(resend)?.reason)
        assertTrue(cluster.runsByRecord.isEmpty())
    }

    @Test
    fun `a daemon that died after the send leaves an unknown outcome and never a second run`() = onCluster { cluster ->
        cluster.target = TargetBehaviour.HANGS
        cluster.call(0)
        run(second)
        cluster.members[0].kill()
        cluster.target = TargetBehaviour.ANSWERS
        val elsewhere = cluster.call(1)
        val sameDaemon = cluster.call(0)
        run(second.multipliedBy(3))

        listOf(elsewhere, sameDaemon).forEach {
            assertEquals(RefusalReason.OUTCOME_UNKNOWN, cluster.refusalOf(it)?.reason)
        }
        assertEquals(listOf(1), cluster.runsByRecord.values.toList())
    }

    @Test
    fun `a running call is reported in progress with a time to come back`() = onCluster { cluster ->
        cluster.target = TargetBehaviour.HANGS
        cluster.call(0)
        run(second)
        val resend = cluster.call(1)
        run(second)

        val refusal = assertNotNull(cluster.refusalOf(resend))
        assertEquals(RefusalReason.DUPLICATE_IN_PROGRESS, refusal.reason)
        assertNotNull(refusal.retryAfter)
    }

    @Test
    fun `an owner that doesn't answer leaves the outcome unknown`() = onCluster { cluster ->
        cluster.target = TargetBehaviour.HANGS
        cluster.call(0)
        run(second)
        cluster.members[0].pause()
        val resend = cluster.call(1)
        run(second.multipliedBy(3))

        assertEquals(RefusalReason.OUTCOME_UNKNOWN, cluster.refusalOf(resend)?.reason)
    }

    @Test
    fun `an owner paused after its claim loses to the daemon that took over and never sends`() = onCluster { cluster ->
        cluster.onWriteOf(RecordState.CLAIMED) { daemon -> if (daemon == cluster.members[0]) daemon.pause() }
        val paused = cluster.call(0, deadline = Duration.ofHours(1))
        run(second)
        val other = cluster.call(1)
        run(second)
        cluster.members[0].wake()
        run(second)

        assertIs<CallerAnswer.Answered>(cluster.answerTo(other))
        assertTrue(cluster.attempts[paused] !in cluster.attemptsRun)
        cluster.checkPromises()
    }

    @Test
    fun `an owner paused past the deadline before it sends doesn't send and frees the key`() = onCluster { cluster ->
        cluster.onWriteOf(RecordState.SENDING) { daemon -> if (daemon == cluster.members[0]) daemon.pause() }
        val paused = cluster.call(0, deadline = second)
        run(second.multipliedBy(5))
        cluster.members[0].wake()
        run(second)

        assertEquals(RefusalReason.DEADLINE_EXCEEDED, cluster.refusalOf(paused)?.reason)
        assertTrue(cluster.runsByRecord.isEmpty())
        val resend = cluster.call(1)
        run(second)
        assertIs<CallerAnswer.Answered>(cluster.answerTo(resend))
        cluster.checkPromises()
    }

    @Test
    fun `a refused connection frees the key once that is confirmed`() = onCluster { cluster ->
        cluster.target = TargetBehaviour.REFUSES_CONNECTION
        cluster.failStoreAt(RecordState.RELEASED, StoreBehaviour.LOSES_ANSWERS, second.multipliedBy(2))
        val refused = cluster.call(0)
        run(second)
        assertEquals(RefusalOutcome.NOT_RUN, cluster.refusalOf(refused)?.outcome)
        cluster.target = TargetBehaviour.ANSWERS
        val early = cluster.call(0)
        run(second.multipliedBy(5))
        assertEquals(RefusalReason.DUPLICATE_IN_PROGRESS, cluster.refusalOf(early)?.reason)

        val resend = cluster.call(0)
        run(second)
        assertIs<CallerAnswer.Answered>(cluster.answerTo(resend))
        cluster.checkPromises()
    }

    @Test
    fun `a target that broke off leaves the outcome unknown`() = onCluster { cluster ->
        cluster.target = TargetBehaviour.RUNS_AND_BREAKS
        val first = cluster.call(0)
        run(second)
        val resend = cluster.call(1)
        run(second)

        assertEquals(RefusalReason.OUTCOME_UNKNOWN, cluster.refusalOf(first)?.reason)
        assertEquals(RefusalReason.OUTCOME_UNKNOWN, cluster.refusalOf(resend)?.reason)
        assertEquals(listOf(1), cluster.runsByRecord.values.toList())
    }

    @Test
    fun `past its deadline a sent call is answered at once and its outcome replayed later`() = onCluster { cluster ->
        cluster.onSend { daemon -> daemon.pause() }
        val call = cluster.call(0, deadline = second)
        run(second.multipliedBy(2))
        cluster.members[0].wake()
        run(second)
        val resend = cluster.call(1)
        run(second)

        assertNotNull(cluster.answerTo(call))
        assertTrue(assertIs<CallerAnswer.Answered>(cluster.answerTo(resend)).replay)
        cluster.checkPromises()
    }

    private fun onCluster(script: Scenario.(DispatchCluster) -> Unit) =
        forEachSeed(1L..20L) { script(DispatchCluster(this)) }

    private fun DispatchCluster.failStoreAt(
        state: RecordState,
        behaviour: StoreBehaviour,
        duration: Duration,
    ) = onWriteOf(state) { storeFails(behaviour, duration) }

    /** Runs [action] once, when the first write of [state] is decided. */
    private fun DispatchCluster.onWriteOf(
        state: RecordState,
        action: (FakeDaemon) -> Unit,
    ) = onceBefore(action) { it is DispatchDecision.Transact && "\"state\":\"${state.name.lowercase()}\"" in it.text() }

    private fun DispatchCluster.onSend(action: (FakeDaemon) -> Unit) =
        onceBefore(action) { it is DispatchDecision.SendToTarget }

    private fun DispatchCluster.onceBefore(
        action: (FakeDaemon) -> Unit,
        matches: (DispatchDecision) -> Boolean,
    ) {
        var done = false
        beforeStore = { decision, daemon ->
            if (!done && matches(decision)) {
                done = true
                action(daemon)
            }
        }
    }

    private fun DispatchDecision.Transact.text(): String = write.value.orEmpty()
}
