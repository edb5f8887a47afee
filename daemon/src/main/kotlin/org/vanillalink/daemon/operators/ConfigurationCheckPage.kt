/*
 * Validates sections against the rest of the configuration without applying them.
 */
package org.vanillalink.daemon.operators

import org.vanillalink.configuration.ConfigurationError
import org.vanillalink.configuration.ConfigurationSection
import org.vanillalink.configuration.ConfigurationValidator
import org.vanillalink.configuration.ReplicaState
import org.vanillalink.daemon.control.ControlLoop
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.Json
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.read

/** Sections to check by name, each JSON text; those left out are taken as in force. */
data class CheckMessage(
    val sections: Map<String, String>,
)

/** [baseRevision] is the revision that the other sections were taken from, null where none is in force. */
data class CheckAnswer(
    val valid: Boolean,
    val baseRevision: Long?,
    val errors: List<ConfigurationError>,
    val unknownSections: List<String>,
)

internal class ConfigurationCheckPage(
    private val loop: ControlLoop,
    private val validation: ConfigurationValidator = ConfigurationValidator(),
) : OperatorsPage {
    override fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        val message = Json.read<CheckMessage>(request.body).getOrNull()
        if (message == null) {
            response.respond(HttpStatus.BAD_REQUEST)
            return
        }
        loop.ask { it.replicaState }.thenAccept { state -> response.answerJson(check(message, state)) }
    }

    private fun check(
        message: CheckMessage,
        state: ReplicaState,
    ): CheckAnswer {
        val held =
            state.inForce
                ?.set
                ?.sections
                .orEmpty()
        val given =
            message.sections.mapNotNull { (name, text) -> ConfigurationSection.fromWireName(name)?.let { it to text } }
        val contents = held.mapValues { it.value.content } + given
        val errors = validation.decode(contents).leftOrNull().orEmpty()
        val unknown = message.sections.keys.filter { ConfigurationSection.fromWireName(it) == null }
        return CheckAnswer(errors.isEmpty() && unknown.isEmpty(), state.revision, errors, unknown)
    }
}
