/*
 * Validation of a whole document: each section by itself, then the references between sections.
 */
package org.vanillalink.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId

/** Checks and decodes documents. */
class ConfigurationValidation {
    /** The document that [contents] make up, or all errors found; a section without content has its defaults. */
    fun decode(contents: Map<ConfigurationSection, String>): Either<List<ConfigurationError>, ConfigurationDocument> {
        val decoders = ConfigurationSection.entries.associateWith { SectionDecoder(it) }

        fun <Part> read(
            section: ConfigurationSection,
            part: SectionDecoder.(String) -> Part,
        ): Part = decoders.getValue(section).part(contents[section] ?: "{}")

        val document =
            ConfigurationDocument(
                services = read(ConfigurationSection.SERVICES) { services(it) },
                workspaces = read(ConfigurationSection.WORKSPACES) { workspaces(it) },
                failureDomains = read(ConfigurationSection.FAILURE_DOMAINS) { failureDomains(it) },
                targets = read(ConfigurationSection.TARGETS) { targets(it) },
                limits = read(ConfigurationSection.LIMITS) { limits(it) },
            )
        val errors = decoders.values.flatMap { it.found } + unknownReferences(document)
        return if (errors.isEmpty()) document.right() else errors.left()
    }

    /** See [decode]. */
    fun decode(sections: SectionSet): Either<List<ConfigurationError>, ConfigurationDocument> =
        decode(sections.sections.mapValues { it.value.content })

    private fun unknownReferences(document: ConfigurationDocument): List<ConfigurationError> =
        document.workspaces.flatMap { (workspace, settings) ->
            val unknown = settings.services.filter { it !in document.services }
            unknown.map { unknownService(workspace, it, document) }
        }

    private fun unknownService(
        workspace: WorkspaceId,
        service: ServiceName,
        document: ConfigurationDocument,
    ): ConfigurationError = ConfigurationError(
        section = ConfigurationSection.WORKSPACES,
        path = "$workspace.services",
        problem = ConfigurationProblem.UNKNOWN_REFERENCE,
        value = "\"$service\"",
        allowed = "one of the services ${document.services.keys.sorted().joinToString()}",
    )
}
