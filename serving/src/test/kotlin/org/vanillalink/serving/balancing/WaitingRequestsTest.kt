package org.vanillalink.serving.balancing

import org.vanillalink.model.WorkspaceId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Requests for a model that answers ten a second, with a goal of a second. */
internal class WaitingRequestsTest {
    private val waiting = WaitingRequests<String>(Random(1))
    private var now = 0L

    @Test
    fun `more urgent requests go first, then the workspace that had less`() {
        answerForAWhile()
        add("a1", workspace = "a")
        add("a2", workspace = "a")
        add("b1", workspace = "b")
        add("urgent", workspace = "a", priority = 0)

        assertEquals(listOf("urgent", "a1", "b1", "a2"), startAll())
    }

    @Test
    fun `a request that misses its goal anyway does not delay one that can meet it`() {
        answerForAWhile()
        add("late")
        now += 1_500
        add("in time", workspace = "b")

        assertEquals(listOf("in time", "late"), startAll())
    }

    // Guards against free slots beside requests with much time, behind one whose goal no group can keep.
    @Test
    fun `another request can be found behind the next one`() {
        answerForAWhile()
        add("urgent", priority = 0)
        add("patient")

        assertEquals("patient", waiting.nextOther { it != "urgent" }?.call)
        assertEquals(null, waiting.nextOther { it == "neither" })
    }

    @Test
    fun `only as many requests wait as can start in time`() {
        answerForAWhile()
        val accepted = (1..30).count { waiting.mayWait(add("$it"), now).also { may -> if (!may) removeLast() } }

        assertTrue(accepted in 5..10, "$accepted")
    }

    @Test
    fun `without answers nothing waits`() {
        assertFalse(waiting.mayWait(add("first"), now))
    }

    @Test
    fun `waiting requests are given up once the room is lost`() {
        answerForAWhile()
        repeat(5) { add("$it") }
        now += 900

        assertEquals(5, waiting.findHopeless(now).size)
    }

    // Guards against refused callers that all come back at the same moment.
    @Test
    fun `callers refused together come back one after the other, within the time that they honour`() {
        answerForAWhile()
        val delays = (1..12).map { waiting.retryAfter(work(1, now), WorkspaceId("a"), 2_000, now)!! }

        assertTrue(delays.max() in 800..2_000 && delays.toSet().size > 8, "$delays")
    }

    @Test
    fun `a caller that comes back before its time is known`() {
        val fingerprint = RequestFingerprint("one")
        waiting.recordRefusal(fingerprint, 500, now)

        assertTrue(waiting.comesTooSoon(fingerprint, now + 400))
        assertFalse(waiting.comesTooSoon(fingerprint, now + 500))
    }

    private var last: WaitingRequest<String>? = null

    private fun answerForAWhile() = repeat(50) {
        now += 100
        add("before")
        waiting.removeToStart(waiting.next(now)!!, now)
        waiting.recordFirstAnswer(50, now)
        waiting.recordAnswer(work(1, now), 400, now)
    }

    private fun work(
        priority: Int,
        now: Long,
    ) = RequestWork(100, 10, priority, now + 1_000)

    private fun add(
        name: String,
        workspace: String = "a",
        priority: Int = 1,
    ): WaitingRequest<String> {
        val request = WaitingRequest(name, work(priority, now), WorkspaceId(workspace), now + 4_000)
        waiting.add(request, now)
        last = request
        return request
    }

    private fun removeLast() = last?.let(waiting::remove)

    private fun startAll() =
        generateSequence { waiting.next(now)?.also { waiting.removeToStart(it, now) }?.call }.toList()
}
