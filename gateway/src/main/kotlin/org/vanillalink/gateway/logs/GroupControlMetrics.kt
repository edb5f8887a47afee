/*
 * Counts what the controllers of groups decide and see, by tags with a bounded number of values.
 */
package org.vanillalink.gateway.logs

import io.micrometer.core.instrument.MeterRegistry

/** Thread-safe; never blocks. Counts also the events whose lines are suppressed. */
internal class GroupControlMetrics(
    private val meterRegistry: MeterRegistry,
) {
    /** Counts [event], as a controller logs it with [fields], if it is one of those that are counted. */
    fun record(
        event: String,
        fields: Map<String, Any?>,
    ) = when (event) {
        "group-dissolving" -> countDissolving(fields["reason"], fields["gentle"] == true)
        "target-silent" -> count("vanillalink.targets.silent", "ended", (fields["ended"] == true).toString())
        "target-answers-again" -> count("vanillalink.targets.answered.again")
        "model-unserved" -> countUnserved(fields["elsewhere"] == true)
        "model-served-again" -> count("vanillalink.models.served.again")
        "reassignment-ended" -> countReassignment(fields["result"])
        else -> Unit
    }

    private fun countDissolving(
        reason: Any?,
        isGentle: Boolean,
    ) {
        val reasonTag = if (reason is String && reason in DISSOLUTION_REASONS) reason else OTHER_REASON
        count("vanillalink.groups.dissolving", "reason", reasonTag, "gentle", isGentle.toString())
    }

    private fun countUnserved(isServedElsewhere: Boolean) =
        count("vanillalink.models.unserved", "elsewhere", isServedElsewhere.toString())

    private fun countReassignment(result: Any?) {
        val resultTag = if (result is String && result in REASSIGNMENT_RESULTS) result else OTHER_REASON
        count("vanillalink.reassignments", "result", resultTag)
    }

    private fun count(
        name: String,
        vararg tags: String,
    ) = meterRegistry.counter(name, *tags).increment()

    private companion object {
        const val OTHER_REASON = "other"
        val REASSIGNMENT_RESULTS = setOf("done", "donor-lost", "demand-changed")
        val DISSOLUTION_REASONS =
            setOf(
                "formed-by-an-earlier-controller",
                "head-left",
                "head-not-listed",
                "member-leaving",
                "member-lost",
                "member-released",
                "member-silent",
                "member-strayed",
                "members-reassigned",
                "model-unknown",
                "open-failed",
                "open-refused",
            )
    }
}
