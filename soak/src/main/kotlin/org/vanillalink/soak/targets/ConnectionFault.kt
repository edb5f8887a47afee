/*
 * What a proxy does to one answer of its target.
 */
package org.vanillalink.soak.targets

import org.vanillalink.soak.record.FaultKind

/** When an earlier answer is written once more. */
internal enum class StutterTime { AFTER_ANSWER, WITH_NEXT_REQUEST, WITH_NEXT_ANSWER }

/** Where an answer goes on without end. */
internal enum class EndlessPlace { STATUS_LINE, FIELD, HEAD, CHUNKS, WITHOUT_LENGTH, EVENT }

/** What happens to one answer, or after it. */
internal sealed interface ConnectionFault {
    val kind: FaultKind

    /** The answer is written once more, or its first [bytes] are, [delayMs] after it or with what comes next. */
    data class Stutter(
        val bytes: Int?,
        val time: StutterTime,
        val delayMs: Long,
    ) : ConnectionFault {
        override val kind get() = if (bytes == null) FaultKind.STUTTER_WHOLE else FaultKind.STUTTER_PART
    }

    /** Nothing passes for [milliseconds], from the moment at which [afterBytes] of the answer have passed. */
    data class Silence(
        val afterBytes: Int,
        val milliseconds: Long,
    ) : ConnectionFault {
        override val kind get() = FaultKind.SILENT
    }

    /** The connection ends after a [share] of the head, or after [bodyBytes] of the body. */
    data class Stop(
        override val kind: FaultKind,
        val share: Double,
        val bodyBytes: Int,
        val resets: Boolean,
    ) : ConnectionFault

    /** The answer never ends. */
    data class Endless(
        val place: EndlessPlace,
    ) : ConnectionFault {
        override val kind get() = FaultKind.ENDLESS
    }

    /** The connection is closed [delayMs] after the answer, or, if that is null, as the next request comes. */
    data class EarlyClose(
        val delayMs: Long?,
    ) : ConnectionFault {
        override val kind get() = FaultKind.EARLY_CLOSE
    }
}
