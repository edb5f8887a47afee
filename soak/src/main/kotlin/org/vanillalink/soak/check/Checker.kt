/*
 * Checks a run against the users' rules, from what callers, targets and the operator saw.
 */
package org.vanillalink.soak.check

import org.vanillalink.soak.record.CallEnd
import org.vanillalink.soak.record.Recording

/** Checks recordings; knows nothing of the daemons' own logs. */
object Checker {
    /** Returns what breaks a rule, in the order of time. */
    fun check(recording: Recording): List<Finding> {
        val index = RecordingIndex(recording)
        val ofCalls = LossRule(index).findings() + AnswerRules(index).findings()
        val findings =
            ofCalls + RunRules(index).findings() + GroupRules(index).findings() +
                KnowledgeRules(index).findings()
        return findings.sortedBy { it.atMs }
    }

    /** Describes the calls that got no whole answer, for those who follow up a finding. */
    fun describeUnfinished(recording: Recording): List<String> {
        val index = RecordingIndex(recording)
        return recording.calls.filter { it.end != CallEnd.WHOLE }.sortedBy { it.endedMs }.map {
            "daemon=${it.path.daemon} id=${it.id} ${index.historyOf(it)}"
        }
    }
}
