/*
 * The report at the end of a run.
 */
package org.vanillalink.soak.report

import org.HdrHistogram.Histogram
import org.vanillalink.soak.check.Finding
import org.vanillalink.soak.record.Call
import org.vanillalink.soak.record.CallEnd
import org.vanillalink.soak.record.CallKind
import org.vanillalink.soak.record.FaultKind
import org.vanillalink.soak.record.InjectedFault
import org.vanillalink.soak.record.Recording

/** Sums [recording] and its [findings] up. */
internal class SoakReport(
    private val recording: Recording,
    private val findings: List<Finding>,
) {
    private val metByKind: Map<FaultKind, Int> = FaultKind.entries.associateWith(::met)
    private val disturbed = recording.faults.mapNotNull { it.requestId }.toSet()

    /** Whether no fault met a request under way, so that the run shows nothing. */
    val isEmpty: Boolean get() = metByKind.values.all { it == 0 }

    fun lines(): List<String> = outcomes() + faults() + latencies() + findings.map(::line) + sums()

    private fun outcomes(): List<String> = recording.calls
        .groupBy { it.request.kind }
        .toSortedMap()
        .map { (kind, calls) ->
            val counts = calls.groupingBy(::outcome).eachCount()
            "requests kind=$kind all=${calls.size} ${counts.toSortedMap().entries.joinToString(
                " ",
            ) { "${it.key}=${it.value}" }}"
        }

    private fun outcome(call: Call): String = if (call.end == CallEnd.WHOLE) "${call.head?.status}" else call.end.name

    private fun faults(): List<String> = FaultKind.entries.mapNotNull { kind ->
        val injected = recording.faults.count { it.kind == kind }
        "fault kind=$kind injected=$injected metRequest=${metByKind.getValue(kind)}".takeIf { injected > 0 }
    }

    /** How many requests were under way when a fault of [kind] came: at the target, or at the daemon. */
    private fun met(kind: FaultKind): Int {
        val injected = recording.faults.filter { it.kind == kind }
        return when (kind) {
            FaultKind.TARGET_CRASH, FaultKind.TARGET_DRAINS, FaultKind.SILENT_GROUP -> {
                injected.sumOf(
                    ::underWayAtTarget,
                )
            }

            else -> {
                if (kind.isOfTargets) {
                    injected.count { it.requestId != null }
                } else {
                    injected.sumOf(
                        ::underWayAtDaemon,
                    )
                }
            }
        }
    }

    private fun underWayAtTarget(fault: InjectedFault): Int = recording.passages.count {
        it.target == fault.target && fault.atMs in it.startedMs..(it.endedMs ?: (it.startedMs + UNKNOWN_MS))
    }

    private fun underWayAtDaemon(fault: InjectedFault): Int = recording.calls.count {
        (fault.target == STORE || it.path.daemon == fault.target) && fault.atMs in it.startedMs..it.endedMs
    }

    private fun latencies(): List<String> = CallKind.entries.mapNotNull { kind ->
        val histogram = Histogram(DIGITS)
        recording.calls
            .filter { it.request.kind == kind && it.isSuccess && it.id !in disturbed && it.style == USUAL_STYLE }
            .forEach { call -> call.firstByteMs?.let { histogram.recordValue((it - call.sentMs).coerceAtLeast(0)) } }
        "firstByte kind=$kind undisturbed=${histogram.totalCount} " +
            SHOWN.joinToString(" ") { "p$it=${histogram.getValueAtPercentile(it)}ms" } + " max=${histogram.maxValue}ms"
    }

    private fun line(finding: Finding): String =
        "finding rule=${finding.rule} at=${finding.atMs}ms daemon=${finding.daemon} target=${finding.target} " +
            "id=${finding.id} what=\"${finding.what}\"\n    ${finding.history}"

    private fun sums(): List<String> {
        val what = { finding: Finding ->
            finding.what
                .substringBefore(',')
                .substringBefore(':')
                .take(LONGEST_SUM)
        }
        val byRule = findings.groupingBy { "${it.rule} ${what(it)}" }.eachCount()
        return byRule.map { (rule, count) -> "findings count=$count $rule" } + "findings all=${findings.size}"
    }

    private companion object {
        const val STORE = "store"
        const val USUAL_STYLE = "KEPT"
        const val DIGITS = 3
        const val UNKNOWN_MS = 2_000L
        const val LONGEST_SUM = 60
        val SHOWN = listOf(50.0, 90.0, 99.0)
    }
}
