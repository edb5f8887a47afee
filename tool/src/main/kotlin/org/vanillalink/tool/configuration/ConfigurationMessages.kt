/*
 * Requests and responses of the operators' port about the configuration, with the fields that the tool uses.
 */
package org.vanillalink.tool.configuration

/** A section in force at a daemon; [content] is JSON text. */
data class SectionMessage(
    val version: Long,
    val revision: Long,
    val author: String,
    val content: String,
)

/** The sections in force at a daemon, by name; [ageMilliseconds] is the time since the platform last confirmed them. */
data class ConfigurationMessage(
    val daemon: String,
    val revision: Long?,
    val ageMilliseconds: Long?,
    val sections: Map<String, SectionMessage>,
)

/** Replaces [section] with [content] if it still has [expectedVersion]; [edit] is the edit's id. */
data class EditRequest(
    val edit: String,
    val section: String,
    val expectedVersion: Long,
    val content: String,
    val author: String,
)

/** A validation error at [path] of [section]; [value] is the rejected value. */
data class EditError(
    val section: String = "",
    val path: String = "",
    val problem: String = "",
    val value: String? = null,
    val allowed: String = "",
) {
    override fun toString(): String {
        val location = listOf(section, path).filter { it.isNotEmpty() }.joinToString(": ")
        val actual = value?.let { " $it" }.orEmpty()
        return "$location: ${problem.lowercase().replace('_', ' ')}$actual; allowed: $allowed"
    }
}

/** The outcome of an edit; [repeated] is true if an earlier attempt had already applied it. */
data class EditResponse(
    val result: String,
    val version: Long? = null,
    val revision: Long? = null,
    val repeated: Boolean? = null,
    val presentVersion: Long? = null,
    val outcome: String? = null,
    val errors: List<EditError> = emptyList(),
)

/** The sections to validate, by name, each as JSON text. */
data class CheckRequest(
    val sections: Map<String, String>,
)

/** The outcome of a validation; [baseRevision] is the revision of the sections that the request left out. */
data class CheckResponse(
    val valid: Boolean,
    val baseRevision: Long?,
    val errors: List<EditError>,
    val unknownSections: List<String>,
)

/** An accepted edit of [section]; [edit] and [author] are null if they are unknown. */
data class HistoryEntryMessage(
    val revision: Long,
    val section: String,
    val version: Long,
    val edit: String?,
    val author: String?,
)

/** Accepted edits; [fromPlatform] is false if only the edits in force at [daemon] are known. */
data class HistoryMessage(
    val daemon: String,
    val fromPlatform: Boolean,
    val edits: List<HistoryEntryMessage>,
)
