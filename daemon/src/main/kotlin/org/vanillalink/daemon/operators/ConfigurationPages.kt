/*
 * The configuration on the operators' port: what is in force here, and edits.
 */
package org.vanillalink.daemon.operators

import org.vanillalink.configuration.ConfigurationEdit
import org.vanillalink.configuration.ConfigurationError
import org.vanillalink.configuration.ConfigurationSection
import org.vanillalink.configuration.EditId
import org.vanillalink.configuration.EditResult
import org.vanillalink.configuration.StoredSection
import org.vanillalink.control.DaemonControl
import org.vanillalink.daemon.control.ConfigurationExecutor
import org.vanillalink.daemon.control.ControlLoop
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.Json
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.read
import java.time.Clock

/** Body of an edit. */
data class EditMessage(
    val edit: String,
    val section: String,
    val expectedVersion: Long,
    val content: String,
    val author: String = "",
)

/** How an edit ended, as operators see it. */
data class EditAnswer(
    val result: String,
    val version: Long? = null,
    val revision: Long? = null,
    val repeated: Boolean? = null,
    val presentVersion: Long? = null,
    val outcome: String? = null,
    val errors: List<ConfigurationError> = emptyList(),
)

/** What a daemon has in force; [ageMilliseconds] is how long ago the platform last confirmed it. */
data class ConfigurationAnswer(
    val daemon: String,
    val revision: Long?,
    val ageMilliseconds: Long?,
    val sections: Map<String, StoredSection>,
)

/** Pages on the configuration. */
class ConfigurationPages(
    private val daemon: String,
    private val loop: ControlLoop,
    private val executor: ConfigurationExecutor,
    private val clock: Clock,
) {
    /** What is in force. */
    val show =
        OperatorsPage { _, answer -> loop.ask(::configurationOf).thenAccept { answer.answerJson(it) } }

    /** Applies an edit. */
    val apply = OperatorsPage(::applyEdit)

    private fun configurationOf(control: DaemonControl): ConfigurationAnswer {
        val state = control.replicaState
        val sections =
            state.inForce
                ?.set
                ?.sections
                .orEmpty()
        return ConfigurationAnswer(
            daemon = daemon,
            revision = state.revision,
            ageMilliseconds = state.age(clock.instant())?.toMillis(),
            sections = sections.mapKeys { it.key.wireName },
        )
    }

    private fun applyEdit(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) {
        val message = Json.read<EditMessage>(request.body).getOrNull()
        val section = message?.let { ConfigurationSection.fromWireName(it.section) }
        if (message == null || section == null) {
            answer.answerJson(EditAnswer("malformed"), HttpStatus.BAD_REQUEST)
            return
        }
        val edit =
            ConfigurationEdit(EditId(message.edit), section, message.expectedVersion, message.content, message.author)
        executor.apply(edit).thenAccept { result -> answer.answerJson(toAnswer(result), statusOf(result)) }
    }

    private fun toAnswer(result: EditResult): EditAnswer = when (result) {
        is EditResult.Accepted -> {
            EditAnswer("accepted", result.version, result.revision, result.repeated)
        }

        is EditResult.VersionConflict -> {
            EditAnswer("version-conflict", presentVersion = result.presentVersion, outcome = "not-applied")
        }

        is EditResult.VersionNotReached -> {
            EditAnswer("version-not-reached", presentVersion = result.presentVersion, outcome = "not-applied")
        }

        is EditResult.Invalid -> {
            EditAnswer("invalid", outcome = "not-applied", errors = result.errors)
        }

        EditResult.EditIdReused -> {
            EditAnswer("edit-id-reused", outcome = "not-applied")
        }

        is EditResult.PlatformUnavailable -> {
            EditAnswer(
                "platform-unavailable",
                outcome =
                    result.outcome.name
                        .lowercase()
                        .replace('_', '-'),
            )
        }

        is EditResult.UnreadableRows -> {
            EditAnswer(
                "unreadable-rows",
                outcome =
                    result.outcome.name
                        .lowercase()
                        .replace('_', '-'),
            )
        }
    }

    private fun statusOf(result: EditResult): Int = when (result) {
        is EditResult.Accepted -> HttpStatus.OK
        is EditResult.Invalid -> UNPROCESSABLE
        is EditResult.PlatformUnavailable, is EditResult.UnreadableRows -> HttpStatus.UNAVAILABLE
        else -> CONFLICT
    }

    private companion object {
        const val CONFLICT = 409
        const val UNPROCESSABLE = 422
    }
}
