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
data class EditMessage(
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
    val value: String = "",
    val allowed: String = "",
)

/** How an edit ended. */
data class EditMessageAnswer(
    val result: String,
    val version: Long? = null,
    val revision: Long? = null,
    val repeated: Boolean? = null,
    val presentVersion: Long? = null,
    val outcome: String? = null,
    val errors: List<EditError> = emptyList(),
)
