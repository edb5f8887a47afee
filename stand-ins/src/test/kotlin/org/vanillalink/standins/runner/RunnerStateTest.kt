/*
 * Tests of [RunnerState] as the head of a group.
 */
package org.vanillalink.standins.runner

import com.fasterxml.jackson.databind.JsonNode
import org.vanillalink.transport.Json
import org.vanillalink.transport.read
import kotlin.test.Test
import kotlin.test.assertEquals

class RunnerStateTest {
    private var now = 1_000L
    private val memberships = GroupMemberships { now }
    private val head = runner("a")
    private val member = runner("b")

    // Guards against a head that goes on as if it had all its members.
    @Test
    fun `a head that loses a member stands still and breaks after the stall time`() {
        open()
        member.applyOrder(order("leave"))
        assertEquals(HeadCondition.STANDING_STILL, head.headCondition())
        now += STALL_MILLISECONDS - 1
        assertEquals(HeadCondition.STANDING_STILL, head.headCondition())
        assertEquals("open", state())
        now += 1
        assertEquals(HeadCondition.BROKEN, head.headCondition())
        assertEquals("broken", state())
        assertEquals(null, head.openGroup())
    }

    @Test
    fun `a head whose member joins again or ends stands still`() {
        open()
        assertEquals(HeadCondition.SERVING, head.headCondition())
        member.applyOrder(order("join", epoch = 2))
        assertEquals(HeadCondition.STANDING_STILL, head.headCondition())

        head.applyOrder(order("leave"))
        assertEquals(HeadCondition.SERVING, head.headCondition())
    }

    // The protocol: nobody checks the other members.
    @Test
    fun `a head whose member has never joined serves`() {
        head.applyOrder(order("join"))
        now += JOIN_MILLISECONDS
        head.applyOrder(order("open"))
        now += OPEN_MILLISECONDS

        assertEquals(HeadCondition.SERVING, head.headCondition())
        assertEquals("open", state())
    }

    @Test
    fun `a join under the same epoch with other members is refused`() {
        assertEquals(202, head.applyOrder(order("join")))
        assertEquals(200, head.applyOrder(order("join")))
        assertEquals(412, head.applyOrder(order("join", members = listOf("a", "c"))))
    }

    @Test
    fun `a report names the requests that run and that wait`() {
        open()
        head.recordStreams(3)
        head.queuedRequests = 2

        assertEquals(3, head.report()["running"])
        assertEquals(2, head.report()["queued"])
    }

    private fun open() {
        listOf(head, member).forEach { it.applyOrder(order("join")) }
        now += JOIN_MILLISECONDS
        head.applyOrder(order("open"))
        now += OPEN_MILLISECONDS
    }

    private fun state() = (head.report()["group"] as Map<*, *>)["state"]

    private fun runner(id: String) = RunnerState(
        RunnerSettings(
            id,
            "writer",
            "ikeja",
            "f0",
            "127.0.0.1:1",
            joinMilliseconds = JOIN_MILLISECONDS,
            openMilliseconds = OPEN_MILLISECONDS,
            stallMilliseconds = STALL_MILLISECONDS,
        ),
        { now },
        memberships,
    )

    private fun order(
        operation: String,
        epoch: Int = 1,
        members: List<String> = listOf("a", "b"),
    ): JsonNode {
        val content =
            mapOf("op" to operation, "group" to "g$epoch", "epoch" to epoch, "model" to "m2", "members" to members)
        return checkNotNull(Json.read<JsonNode>(Json.write(content)).getOrNull())
    }

    private companion object {
        const val JOIN_MILLISECONDS = 50L
        const val OPEN_MILLISECONDS = 50L
        const val STALL_MILLISECONDS = 5_000L
    }
}
