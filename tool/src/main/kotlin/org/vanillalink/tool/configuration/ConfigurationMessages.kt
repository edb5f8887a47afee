/*
 * Messages of the operators' port on the configuration, as the tool reads them.
 */
package org.vanillalink.tool.configuration

/** A section as a daemon has it. */
data class SectionMessage(
    val version: Long,
    val revision: Long,
    val author: String,
    val content: String,
)

/** What a daemon has in force. */
data class ConfigurationMessage(
    val daemon: String,
    val revision: Long?,
    val ageMilliseconds: Long?,
    val sections: Map<String, SectionMessage>,
)

/** An edit. */
data class EditRequest(
    val edit: String,
    val section: String,
    val expectedVersion: Long,
    val content: String,
    val author: String,
)

/** A place in the document and what is wrong there. */
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

/** How an edit ended. */
data class EditResponse(
    val result: String,
    val version: Long? = null,
    val revision: Long? = null,
    val repeated: Boolean? = null,
    val presentVersion: Long? = null,
    val outcome: String? = null,
    val errors: List<EditError> = emptyList(),
)

/** Sections to check by name, each as JSON text. */
data class CheckRequest(
    val sections: Map<String, String>,
)

/** What the check found; [baseRevision] is the revision of the sections that weren't given. */
data class CheckResponse(
    val valid: Boolean,
    val baseRevision: Long?,
    val errors: List<EditError>,
    val unknownSections: List<String>,
)

/** An accepted edit. */
data class HistoryEntryMessage(
    val revision: Long,
    val section: String,
    val version: Long,
    val edit: String?,
    val author: String?,
)

/** Accepted edits; [fromPlatform] is false where only what is in force at [daemon] is known. */
data class HistoryMessage(
    val daemon: String,
    val fromPlatform: Boolean,
    val edits: List<HistoryEntryMessage>,
)
