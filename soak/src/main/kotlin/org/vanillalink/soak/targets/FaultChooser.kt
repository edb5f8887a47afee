/*
 * Which answers of a target meet which fault.
 */
package org.vanillalink.soak.targets

import org.vanillalink.soak.record.FaultKind
import kotlin.random.Random

/**
 * Chooses by [random]. A target is sound most of the time: faults come in spans of [SPAN_MS], and only while [isOn].
 * Not thread-safe.
 */
internal class FaultChooser(
    private val random: Random,
    private val kinds: Set<FaultKind>,
    private val isOn: () -> Boolean,
) {
    private val phaseMs = random.nextLong(SPAN_MS)
    private val spanSeed = random.nextInt()

    /** Returns what happens to the answer to a request that comes at [nowMs], or null. */
    fun choose(nowMs: Long): ConnectionFault? {
        val isFaulty = Random(spanSeed + (nowMs + phaseMs) / SPAN_MS).nextDouble() < FAULTY_SPANS
        val draw = random.nextDouble()
        if (!isOn() || !isFaulty) return null
        var sum = 0.0
        val kind =
            SHARES.entries
                .firstOrNull { (_, share) ->
                    sum += share
                    draw < sum
                }?.key
        return kind?.takeIf { it in kinds }?.let(::build)
    }

    private fun build(kind: FaultKind): ConnectionFault? = when (kind) {
        FaultKind.STUTTER_WHOLE -> {
            stutter(null)
        }

        FaultKind.STUTTER_PART -> {
            stutter(1 + random.nextInt(if (random.nextBoolean()) SHORT_PART else LONG_PART))
        }

        FaultKind.SILENT -> {
            ConnectionFault.Silence(random.nextInt(MOST_BYTES), random.nextLong(SILENT_FROM, SILENT_TO))
        }

        FaultKind.ENDLESS -> {
            ConnectionFault.Endless(EndlessPlace.entries.random(random))
        }

        FaultKind.STOP_IN_HEAD, FaultKind.STOP_IN_BODY, FaultKind.RESET -> {
            ConnectionFault.Stop(
                kind,
                random.nextDouble(),
                random.nextInt(MOST_BYTES),
                kind == FaultKind.RESET || random.nextInt(RESET_SHARE) == 0,
            )
        }

        FaultKind.EARLY_CLOSE -> {
            ConnectionFault.EarlyClose(random.nextLong(MOST_DELAY_MS).takeIf { random.nextBoolean() })
        }

        else -> {
            null
        }
    }

    private fun stutter(bytes: Int?): ConnectionFault.Stutter {
        val time = STUTTER_TIMES.random(random)
        val isLate = time == StutterTime.AFTER_ANSWER && random.nextInt(LATE_SHARE) > 0
        return ConnectionFault.Stutter(bytes, time, if (isLate) random.nextLong(LEAST_DELAY_MS, MOST_DELAY_MS) else 0)
    }

    private companion object {
        const val SPAN_MS = 8_000L
        const val FAULTY_SPANS = 0.4
        const val SHORT_PART = 45
        const val LONG_PART = 200
        const val MOST_BYTES = 700
        const val SILENT_FROM = 600L
        const val SILENT_TO = 1_600L
        const val LEAST_DELAY_MS = 5L
        const val MOST_DELAY_MS = 300L
        const val RESET_SHARE = 3
        const val LATE_SHARE = 3

        /** As often after the answer as with what comes next. */
        val STUTTER_TIMES =
            listOf(
                StutterTime.AFTER_ANSWER,
                StutterTime.AFTER_ANSWER,
                StutterTime.WITH_NEXT_REQUEST,
                StutterTime.WITH_NEXT_ANSWER,
            )

        /** How often an answer of a faulty span meets a fault, by kind. */
        val SHARES =
            linkedMapOf(
                FaultKind.STUTTER_PART to 0.06,
                FaultKind.STUTTER_WHOLE to 0.04,
                FaultKind.SILENT to 0.02,
                FaultKind.STOP_IN_HEAD to 0.01,
                FaultKind.STOP_IN_BODY to 0.01,
                FaultKind.RESET to 0.01,
                FaultKind.EARLY_CLOSE to 0.01,
                FaultKind.ENDLESS to 0.002,
            )
    }
}
