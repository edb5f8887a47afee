/*
 * Notices models that have no open group in the failure domain while callers ask for models.
 */
package org.vanillalink.serving.control

/** A model without an open group since [since]; [isReported] once that has been logged. */
data class UnservedModel(
    val since: Long,
    val isReported: Boolean = false,
)

internal class UnservedModels(
    private val cycle: GroupControlCycle,
    private val view: DomainView,
    private val groups: ActiveGroups,
) {
    fun update() {
        // Without entries nothing is known of the groups either.
        if (!view.hasTraffic || view.entries.isEmpty()) return
        val open =
            groups.all
                .filter { it.isOpen }
                .map { it.model }
                .toSet()
        val unserved = view.engine.models.filter { it.name !in open }
        reportServed(unserved.map { it.name }.toSet())
        val updated = unserved.associate { it.name to updated(it.name) }
        cycle.state = cycle.state.copy(unservedModels = updated)
    }

    private fun reportServed(unserved: Set<String>) = cycle.state.unservedModels
        .filter { (model, entry) -> model !in unserved && entry.isReported }
        .forEach { (model, entry) ->
            cycle.log("model-served-again", "model" to model, "afterMs" to cycle.now - entry.since)
        }

    private fun updated(model: String): UnservedModel {
        val entry = cycle.state.unservedModels[model] ?: UnservedModel(cycle.now)
        if (entry.isReported || cycle.now - entry.since < cycle.settings.unservedAlarmMilliseconds) return entry
        cycle.log(
            "model-unserved",
            "model" to model,
            "elsewhere" to (model in view.modelsElsewhere),
            "forming" to groups.count(model),
            "targets" to view.entries.size,
        )
        return entry.copy(isReported = true)
    }
}
