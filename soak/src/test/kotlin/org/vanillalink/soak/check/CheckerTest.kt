/*
 * Tests of [Checker]: each breaks a rule on purpose, or shows what the pages except.
 */
package org.vanillalink.soak.check

import org.vanillalink.soak.record.AnswerHead
import org.vanillalink.soak.record.CallEnd
import org.vanillalink.soak.record.CallKind
import org.vanillalink.soak.record.Content
import org.vanillalink.soak.record.DaemonEventKind
import org.vanillalink.soak.record.FaultKind
import org.vanillalink.soak.record.Piece
import org.vanillalink.standins.runner.RequestedAnswer
import kotlin.test.Test
import kotlin.test.assertEquals

class CheckerTest {
    private val start = RecordedRun.START

    // Guards against a checker that finds what isn't there.
    @Test
    fun `a whole answer breaks nothing`() = holds(RecordedRun().call("a").run("a"))

    // Guards against a loss around a planned stop that isn't counted.
    @Test
    fun `a request cut after SIGTERM is lost`() =
        breaks("LOST", cutAfterTerm(sentMs = start + 500, endedMs = start + 2_000).run("a"))

    // Guards against a request that crashes targets without end and isn't counted, and against counting those that are
    // allowed.
    @Test
    fun `a request that ran in four retries after three crashes and the stable window breaks the budget`() {
        breaks("BUDGET", deadly(retries = 4))
        holds(deadly(retries = 3))
        holds(deadly(retries = 4, firstRetryMs = 2_000))
        holds(deadly(retries = 4).event(DaemonEventKind.STARTED, start + 6_500))
    }

    /** Three crashes within a second, then [retries] from [firstRetryMs] after the third one on, one each second. */
    private fun deadly(
        retries: Int,
        firstRetryMs: Long = 4_000,
    ): RecordedRun {
        val times = listOf(0L, 500, 1_000) + (0 until retries).map { 1_000 + firstRetryMs + it * 1_000L }
        return times.foldIndexed(RecordedRun()) { index, run, time ->
            val answer = RequestedAnswer(502, 0, 0)
            val head = AnswerHead(502, "d$index", null, false)
            run
                .call("d$index", sentMs = start + time, answer = answer, head = head, target = "/deadly")
                .run("d$index", atMs = start + time, path = "/deadly")
        }
    }

    // Guards against daemons that keep an older configuration and aren't found.
    @Test
    fun `a refusal that no configuration in force allows is found, at daemons in touch`() {
        val refused = { RecordedRun().call("a", head = AnswerHead(404, "a", null, false)) }
        breaks("CONFIG", refused())
        holds(refused().event(DaemonEventKind.STARTED, start - 2_000))
        holds(RecordedRun().call("a", head = AnswerHead(503, "a", null, false)))
    }

    // Guards against daemons that refuse everything while nothing is disturbed, which breaks no rule on requests.
    @Test
    fun `a daemon that isn't ready three times in a row though in touch is found`() {
        val unready = { count: Int ->
            (0 until count).fold(RecordedRun().call("a").run("a")) { run, index -> run.unready(start + index * 1_000L) }
        }
        breaks("UNREADY", unready(3))
        holds(unready(2))
        holds(unready(3).event(DaemonEventKind.TERM, start + 1_500))
        holds(unready(3).event(DaemonEventKind.TERM, start - 5_000))
        holds(unready(3).event(DaemonEventKind.STARTED, start - 5_000))
        breaks("UNREADY", unready(3).event(DaemonEventKind.STARTED, start - 12_000))
    }

    // Guards against losses of requests that no target got.
    @Test
    fun `a request that waited longer than the slack without being passed on is lost`() =
        breaks("LOST", cutAfterTerm(sentMs = start + 500, endedMs = start + 701))

    // Guards against counting requests that cross the close.
    @Test
    fun `a request cut within the slack without being passed on is not lost`() =
        holds(cutAfterTerm(sentMs = start + 500, endedMs = start + 700))

    // Guards against counting what the pages except: the target at work in the last sixth.
    @Test
    fun `a stream whose target is at work in the last sixth is not lost`() = holds(longStream(sentMs = start + 3_000))

    // Guards against excusing requests that the daemon should have refused.
    @Test
    fun `a stream sent later than three seconds after SIGTERM is lost`() =
        breaks("LOST", longStream(sentMs = start + 3_001))

    // Guards against excusing cuts whose target had finished.
    @Test
    fun `a stream whose target is done before the last sixth is lost`() =
        breaks("LOST", longStream(sentMs = start + 500).passage("a", start + 6_000))

    // Guards against counting what targets have broken off.
    @Test
    fun `a request that its target has broken off is not lost`() {
        val cut = { cutAfterTerm(sentMs = start + 500, endedMs = start + 2_000).run("a") }
        holds(cut().fault(FaultKind.STOP_IN_BODY, "a"))
        holds(cut().fault(FaultKind.TARGET_CRASH, null, start + 1_000))
    }

    // Guards against taking silence or a late copy for a target that broke off.
    @Test
    fun `silence and late copies do not excuse a loss`() {
        val cut = { cutAfterTerm(sentMs = start + 500, endedMs = start + 2_000).run("a") }
        breaks("LOST", cut().fault(FaultKind.SILENT, "a"))
        breaks("LOST", cut().fault(FaultKind.STUTTER_PART, "a"))
    }

    // Guards against counting a stream that no target answered whole, and against excusing one that a sound target had.
    @Test
    fun `a request that each of its targets harmed is not lost`() {
        val cut = { secondEnd: String ->
            cutAfterTerm(sentMs = start + 500, endedMs = start + 2_000)
                .run("a")
                .passage("a", null, connection = 1, end = "target closed")
                .passage("a", null, connection = 2, end = secondEnd)
        }
        holds(cut("caller closed").fault(FaultKind.STUTTER_PART, "a", start + 1_500, connection = 2))
        holds(cut("target closed"))
        breaks("LOST", cut("caller closed"))
        breaks("LOST", cut("caller closed").fault(FaultKind.STUTTER_PART, "a", start + 1_500, connection = 1))
    }

    // Guards against counting losses beside a kill or a pause.
    @Test
    fun `a pause within the stable window excuses a loss, an older one does not`() {
        val cut = { cutAfterTerm(sentMs = start + 500, endedMs = start + 2_000).run("a") }
        holds(cut().event(DaemonEventKind.PAUSE, start - 2_499).event(DaemonEventKind.CONTINUE, start - 2_400))
        breaks("LOST", cut().event(DaemonEventKind.PAUSE, start - 5_000).event(DaemonEventKind.CONTINUE, start - 3_000))
    }

    // Guards against counting requests whose time was up.
    @Test
    fun `a request cut at its deadline is not lost`() = holds(
        RecordedRun()
            .event(DaemonEventKind.TERM, start)
            .call("a", sentMs = start, endedMs = start + 1_500, end = CallEnd.CLOSED, deadlineMs = 1_500)
            .run("a"),
    )

    // Guards against losses long after the stop that a window too long would count.
    @Test
    fun `a cut later than a second after the grace time is not beside the stop`() =
        holds(cutAfterTerm(sentMs = start + 8_000, endedMs = start + 9_001).run("a"))

    // Guards against losses beside SIGHUP that aren't counted.
    @Test
    fun `a request cut after SIGHUP is lost`() = breaks(
        "LOST",
        RecordedRun()
            .event(DaemonEventKind.HUP, start)
            .call("a", sentMs = start + 2_000, endedMs = start + 2_500, end = CallEnd.RESET)
            .run("a"),
    )

    // Guards against losses on kept connections that aren't counted, and against counting the three that are allowed.
    @Test
    fun `more than three cuts on kept connections are lost`() {
        val cuts = { count: Int -> List(count) { "a$it" }.fold(RecordedRun(), ::addKeptCut) }
        holds(cuts(3))
        assertEquals(List(4) { "LOST" }, cuts(4).rules())
    }

    private fun addKeptCut(
        run: RecordedRun,
        id: String,
    ) = run.call(id, sentMs = start, endedMs = start + 500, end = CallEnd.CLOSED, position = 2).run(id)

    // Guards against mixtures of two answers that aren't seen.
    @Test
    fun `answers that are not the target's are mixed`() {
        val failure = RequestedAnswer(500, 10, 20)
        breaks("MIXED", RecordedRun().call("a", answer = failure, head = head("a", 200)).run("a"))
        breaks("MIXED", RecordedRun().call("a", head = head("a", 500)).run("a"))
        breaks("MIXED", RecordedRun().call("a", head = AnswerHead(200, "a", null, false)).run("a"))
        breaks("MIXED", RecordedRun().call("a", head = AnswerHead(200, "b", "$TARGET.a", false)).run("a"))
        breaks("MIXED", RecordedRun().call("a", head = AnswerHead(502, "b", null, false)).run("a"))
        breaks("MIXED", RecordedRun().call("a", head = head("b", 200).copy(requestId = "a")).run("a"))
        breaks("MIXED", RecordedRun().call("a").run("a", target = "t2"))
    }

    // Guards against bodies of another answer, or of a part of one.
    @Test
    fun `bodies that are not the target's whole body are mixed`() {
        breaks("MIXED", RecordedRun().call("a", content = Content(9, listOf(Piece("$TARGET.a", 0, 0)))).run("a"))
        breaks("MIXED", RecordedRun().call("a", content = Content(10, listOf(Piece("t2.a", 0, 0)))).run("a"))
        breaks("MIXED", RecordedRun().call("a", content = Content(10, emptyList(), "another")).run("a"))
        breaks("MIXED", RecordedRun().call("a", end = CallEnd.NOT_HTTP).run("a"))
    }

    // Guards against pieces missing, twice, joined, and against an early end that looks complete.
    @Test
    fun `streams with wrong pieces are out of order`() {
        breaks("ORDER", stream(Piece("$TARGET.a", 0, 3), Piece("$TARGET.a", 5, 9)))
        breaks("ORDER", stream(Piece("$TARGET.a", 0, 3), Piece("$TARGET.a", 3, 9)))
        breaks("ORDER", stream(Piece("$TARGET.a", 0, 8)))
        breaks("ORDER", stream(Piece("$TARGET.a", 0, 3), Piece("t2.a", 4, 9)).run("a", "t2"))
        breaks("MIXED", stream(Piece("$TARGET.a", 0, 3), Piece("t2.b", 4, 9)))
        holds(stream(Piece("$TARGET.a", 0, 9)))
        holds(stream(Piece("$TARGET.a", 0, 3), Piece("t2.a", 4, 9)).run("a", "t2", lastEventId = 3))
    }

    // Guards against a second run, a broken promise and a changed request that aren't seen.
    @Test
    fun `runs that nobody allowed break a rule`() {
        breaks("TWICE", RecordedRun().call("a").run("a").run("a"))
        holds(RecordedRun().call("a", CallKind.LOOKUP).run("a").run("a"))
        breaks("REFUSED", RecordedRun().call("a", head = AnswerHead(503, "a", null, false)).run("a"))
        breaks(
            "UNASKED",
            RecordedRun()
                .call("a")
                .run("a")
                .call("b")
                .run("b", bodyHash = 8),
        )
        breaks("UNASKED", RecordedRun().call("a", sentMs = start + 20_000).run("a").run("c"))
    }

    // Guards against processes that end by themselves without a finding.
    @Test
    fun `a process that ends unasked is found`() {
        breaks("ENDED", RecordedRun().event(DaemonEventKind.EXITED, start, 3))
        breaks("ENDED", RecordedRun().event(DaemonEventKind.TERM, start).event(DaemonEventKind.EXITED, start + 1, 3))
        holds(RecordedRun().event(DaemonEventKind.TERM, start).event(DaemonEventKind.EXITED, start + 1, 0))
        holds(RecordedRun().event(DaemonEventKind.KILL, start).event(DaemonEventKind.EXITED, start + 1, 137))
    }

    private fun head(
        id: String,
        status: Int,
    ) = AnswerHead(status, id, "$TARGET.$id", false)

    private fun stream(vararg pieces: Piece) = RecordedRun()
        .call("a", CallKind.STREAM, events = 10, content = Content(0, pieces.toList()))
        .run("a")

    private fun cutAfterTerm(
        sentMs: Long,
        endedMs: Long,
    ) = RecordedRun()
        .event(DaemonEventKind.TERM, start)
        .call("a", sentMs = sentMs, endedMs = endedMs, end = CallEnd.CLOSED)

    /** 100 events, 100 ms apart, cut 7 s after SIGTERM. */
    private fun longStream(sentMs: Long) = RecordedRun()
        .event(DaemonEventKind.TERM, start)
        .call(
            "a",
            CallKind.STREAM,
            sentMs,
            start + 7_000,
            CallEnd.CLOSED,
            RequestedAnswer(200, 0, 100),
            events = 100,
            content = Content(),
        ).run("a")

    private fun breaks(
        rule: String,
        run: RecordedRun,
    ) = assertEquals(listOf(rule), run.rules())

    private fun holds(run: RecordedRun) = assertEquals(emptyList(), run.rules())
}
