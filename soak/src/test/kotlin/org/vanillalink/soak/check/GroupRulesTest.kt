/*
 * Tests of [GroupRules]: each breaks a rule on purpose, or shows what the pages except.
 */
package org.vanillalink.soak.check

import org.vanillalink.standins.runner.GroupChangeKind
import org.vanillalink.standins.runner.GroupIdentity
import kotlin.test.Test
import kotlin.test.assertEquals

class GroupRulesTest {
    private val start = RecordedRun.START
    private val group = GroupIdentity("g1", 1, RecordedRun.MODEL, listOf(TARGET, "t2"))
    private val other = GroupIdentity("g2", 2, RecordedRun.MODEL, listOf("t2", "t3"))

    // Guards against a member that is used elsewhere while its group serves.
    @Test
    fun `a member that joins another group while its own is open breaks TWO`() {
        breaks("TWO", opened().groupChange("t2", GroupChangeKind.JOINED, other, start))
        breaks("TWO", opened().groupChange(TARGET, GroupChangeKind.JOINED, other, start))
    }

    @Test
    fun `a member that joins another group while its own is closing breaks TWO`() {
        val closing = opened().groupChange(TARGET, GroupChangeKind.CLOSING, group, start - 10)
        breaks("TWO", closing.groupChange("t2", GroupChangeKind.JOINED, other, start))
    }

    // Guards against binding members of groups that serve no longer, or not yet.
    @Test
    fun `a member may join another group once its own has closed or before it is open`() {
        val closed =
            opened()
                .groupChange(TARGET, GroupChangeKind.CLOSING, group, start - 10)
                .groupChange(TARGET, GroupChangeKind.CLOSED, group, start - 5)
        holds(closed.groupChange("t2", GroupChangeKind.JOINED, other, start))
        holds(joined().groupChange("t2", GroupChangeKind.JOINED, other, start))
        val opening = joined().groupChange(TARGET, GroupChangeKind.OPENED, group, start - RecordedRun.DELAY + 1)
        holds(opening.groupChange("t2", GroupChangeKind.JOINED, other, start))
    }

    @Test
    fun `a member may join another group once it has left its own or its head has`() {
        listOf("t2", TARGET).forEach { left ->
            listOf(GroupChangeKind.LEFT, GroupChangeKind.ENDED).forEach { kind ->
                val ended = opened().groupChange(left, kind, group, start - 10)
                holds(ended.groupChange("t2", GroupChangeKind.JOINED, other, start))
            }
        }
    }

    // Guards against excusing a group that was closed and is open again.
    @Test
    fun `a group that was opened again binds its members`() {
        val reopened =
            opened()
                .groupChange(TARGET, GroupChangeKind.CLOSING, group, start - 300)
                .groupChange(TARGET, GroupChangeKind.CLOSED, group, start - 300)
                .groupChange(TARGET, GroupChangeKind.OPENED, group, start - 200)
        breaks("TWO", reopened.groupChange("t2", GroupChangeKind.JOINED, other, start))
    }

    // Guards against taking a group that stands still for one that is broken, and the other way round.
    @Test
    fun `a group that has lost a member binds the others until it is broken`() {
        val third = group.copy(members = listOf(TARGET, "t2", "t3"))
        val lost = { lostMs: Long ->
            third.members
                .fold(RecordedRun()) { run, member -> run.groupChange(member, GroupChangeKind.JOINED, third, 0) }
                .groupChange(TARGET, GroupChangeKind.OPENED, third, 100)
                .groupChange("t3", GroupChangeKind.ENDED, third, lostMs)
                .groupChange("t2", GroupChangeKind.JOINED, other, start)
        }
        breaks("TWO", lost(start - 4_999))
        holds(lost(start - 5_000))
    }

    @Test
    fun `a request in a whole group breaks nothing`() = holds(opened().call("a").run("a", group = group))

    // Guards against groups that serve without some of their members.
    @Test
    fun `a request in a group with a member that never joined breaks PARTIAL`() {
        val run =
            RecordedRun()
                .groupChange(TARGET, GroupChangeKind.JOINED, group, start - 500)
                .groupChange(TARGET, GroupChangeKind.OPENED, group, start - 400)
        breaks("PARTIAL", run.call("a").run("a", group = group))
    }

    @Test
    fun `a request in a group with a member that joined another list breaks PARTIAL`() {
        val run =
            RecordedRun()
                .groupChange(TARGET, GroupChangeKind.JOINED, group, start - 500)
                .groupChange("t2", GroupChangeKind.JOINED, group.copy(members = listOf(TARGET, "t3")), start - 500)
        breaks("PARTIAL", run.call("a").run("a", group = group))
    }

    @Test
    fun `a request in a group with a member that joins yet breaks PARTIAL`() {
        val run =
            RecordedRun()
                .groupChange(TARGET, GroupChangeKind.JOINED, group, start - 500)
                .groupChange("t2", GroupChangeKind.JOINED, group, start - RecordedRun.DELAY + 1)
        breaks("PARTIAL", run.call("a").run("a", group = group))
    }

    @Test
    fun `a request in a group with a member that left before it was ready breaks PARTIAL`() {
        val run =
            RecordedRun()
                .groupChange(TARGET, GroupChangeKind.JOINED, group, start - 500)
                .groupChange("t2", GroupChangeKind.JOINED, group, start - 500)
                .groupChange("t2", GroupChangeKind.LEFT, group, start - 500 + RecordedRun.DELAY - 1)
        breaks("PARTIAL", run.call("a").run("a", group = group))
    }

    @Test
    fun `a request in a group that has not the size of its model breaks PARTIAL`() {
        val single = group.copy(members = listOf(TARGET))
        val run = RecordedRun().groupChange(TARGET, GroupChangeKind.JOINED, single, start - 500)
        breaks("PARTIAL", run.call("a").run("a", group = single))
    }

    // Guards against counting what the pages except: a member that was ready and is lost.
    @Test
    fun `a member that was ready and is lost excuses a request`() {
        listOf(GroupChangeKind.LEFT, GroupChangeKind.ENDED).forEach { kind ->
            holds(opened().groupChange("t2", kind, group, start - 10).call("a").run("a", group = group))
        }
    }

    private fun joined() = RecordedRun()
        .groupChange(TARGET, GroupChangeKind.JOINED, group, start - 500)
        .groupChange("t2", GroupChangeKind.JOINED, group, start - 500)

    private fun opened() = joined().groupChange(TARGET, GroupChangeKind.OPENED, group, start - 400)

    private fun breaks(
        rule: String,
        run: RecordedRun,
    ) = assertEquals(listOf(rule), run.rules())

    private fun holds(run: RecordedRun) = assertEquals(emptyList(), run.rules())
}
