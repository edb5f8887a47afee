/*
 * Validation of a complete document: each section on its own, then the references between sections.
 */
package org.vanillalink.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId

/** Validates and decodes configuration documents. */
class ConfigurationValidator {
    /** Returns the document composed of [contents], or all errors; a section without content takes its defaults. */
    fun decode(contents: Map<ConfigurationSection, String>): Either<List<ConfigurationError>, ConfigurationDocument> {
        val decoders = ConfigurationSection.entries.associateWith { SectionDecoder(it) }

        fun <Content> decodeSection(
            section: ConfigurationSection,
            decode: SectionDecoder.(String) -> Content,
        ): Content = decoders.getValue(section).decode(contents[section] ?: "{}")

        val document =
            ConfigurationDocument(
                services = decodeSection(ConfigurationSection.SERVICES) { decodeServices(it) },
                workspaces = decodeSection(ConfigurationSection.WORKSPACES) { decodeWorkspaces(it) },
                failureDomains = decodeSection(ConfigurationSection.FAILURE_DOMAINS) { decodeFailureDomains(it) },
                targets = decodeSection(ConfigurationSection.TARGETS) { decodeTargets(it) },
                limits = decodeSection(ConfigurationSection.LIMITS) { decodeLimits(it) },
            )
        val errors = decoders.values.flatMap { it.errors } + findUnknownReferences(document)
        return if (errors.isEmpty()) document.right() else errors.left()
    }

    /** Returns the document composed of the contents of [sections], or all errors. */
    fun decode(sections: SectionSet): Either<List<ConfigurationError>, ConfigurationDocument> =
        decode(sections.sections.mapValues { it.value.content })

    private fun findUnknownReferences(document: ConfigurationDocument): List<ConfigurationError> =
        document.workspaces.flatMap { (workspace, settings) ->
            val unknownServices = settings.services.filter { it !in document.services }
            unknownServices.map { unknownServiceError(workspace, it, document) }
        }

    private fun unknownServiceError(
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
