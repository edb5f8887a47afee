/*
 * Recordings of single calls for tests of the rules.
 */
package org.vanillalink.soak.check

import org.vanillalink.soak.record.AnswerHead
import org.vanillalink.soak.record.Bounds
import org.vanillalink.soak.record.Call
import org.vanillalink.soak.record.CallEnd
import org.vanillalink.soak.record.CallKind
import org.vanillalink.soak.record.CallPath
import org.vanillalink.soak.record.Content
import org.vanillalink.soak.record.DaemonEvent
import org.vanillalink.soak.record.DaemonEventKind
import org.vanillalink.soak.record.FaultKind
import org.vanillalink.soak.record.GroupEvent
import org.vanillalink.soak.record.InjectedFault
import org.vanillalink.soak.record.Passage
import org.vanillalink.soak.record.Piece
import org.vanillalink.soak.record.Recording
import org.vanillalink.soak.record.Run
import org.vanillalink.soak.record.SentRequest
import org.vanillalink.soak.record.UnreadyAnswer
import org.vanillalink.standins.runner.GroupChange
import org.vanillalink.standins.runner.GroupChangeKind
import org.vanillalink.standins.runner.GroupIdentity
import org.vanillalink.standins.runner.RequestedAnswer

internal const val DAEMON = "ikeja-1"
internal const val TARGET = "t1"
private const val START_MS = 100_000L
private const val BODY_HASH = 7

/** Builds a recording; a call without further words was answered whole by [TARGET]. */
internal class RecordedRun {
    private val calls = mutableListOf<Call>()
    private val runs = mutableListOf<Run>()
    private val passages = mutableListOf<Passage>()
    private val faults = mutableListOf<InjectedFault>()
    private val events = mutableListOf<DaemonEvent>()
    private val groupEvents = mutableListOf<GroupEvent>()
    private val unreadyAnswers = mutableListOf<UnreadyAnswer>()

    fun call(
        id: String,
        kind: CallKind = CallKind.ORDER,
        sentMs: Long = START_MS,
        endedMs: Long = sentMs + 50,
        end: CallEnd = CallEnd.WHOLE,
        answer: RequestedAnswer = RequestedAnswer(200, 10, 20),
        events: Int = 0,
        head: AnswerHead? = AnswerHead(answer.status, id, "$TARGET.$id", false).takeIf { end == CallEnd.WHOLE },
        content: Content = Content(answer.bodyBytes, listOf(Piece("$TARGET.$id", 0, 0))),
        position: Int = 1,
        connection: Int = calls.size,
        hasKey: Boolean = false,
        deadlineMs: Long = 60_000,
        routeTimeoutMs: Long = 60_000,
        target: String = "/$id",
    ) = apply {
        val request =
            SentRequest(id, kind, "POST", target, BODY_HASH, answer, events, deadlineMs, routeTimeoutMs, hasKey)
        val path = CallPath(DAEMON, 1, connection, position)
        calls += Call(request, path, sentMs, sentMs, endedMs.takeIf { head != null }, endedMs, end, head, content)
    }

    fun run(
        id: String,
        target: String = TARGET,
        atMs: Long = START_MS,
        bodyHash: Int = BODY_HASH,
        lastEventId: Int? = null,
        group: GroupIdentity? = null,
        path: String = "/$id",
    ) = apply { runs += Run(id, target, atMs, "POST", path, bodyHash, lastEventId, group) }

    fun passage(
        id: String,
        endedMs: Long?,
        connection: Int = 1,
        end: String = "whole",
    ) = apply { passages += Passage(id, TARGET, connection, 1, START_MS, endedMs, end) }

    fun fault(
        kind: FaultKind,
        id: String?,
        atMs: Long = START_MS,
        connection: Int? = null,
    ) = apply { faults += InjectedFault(kind, atMs, TARGET, id, connection = connection) }

    fun event(
        kind: DaemonEventKind,
        atMs: Long,
        exitCode: Int? = null,
    ) = apply { events += DaemonEvent(DAEMON, 1, kind, atMs, exitCode) }

    fun groupChange(
        target: String,
        kind: GroupChangeKind,
        group: GroupIdentity,
        atMs: Long,
    ) = apply {
        val takesTime = kind == GroupChangeKind.JOINED || kind == GroupChangeKind.OPENED
        groupEvents += GroupEvent(target, atMs, GroupChange(kind, group, if (takesTime) DELAY else 0))
    }

    fun unready(atMs: Long) = apply { unreadyAnswers += UnreadyAnswer(DAEMON, 1, atMs) }

    fun rules(): List<String> = Checker
        .check(
            Recording(
                Bounds(),
                calls,
                emptyList(),
                runs,
                passages,
                faults,
                events,
                groupEvents = groupEvents,
                modelSizes = mapOf(MODEL to 2),
                unreadyAnswers = unreadyAnswers,
            ),
        ).map { it.rule }

    companion object {
        const val START = START_MS

        /** How long a join or an order to open takes. */
        const val DELAY = 50L

        /** A model whose groups have two members. */
        const val MODEL = "m2"
    }
}
