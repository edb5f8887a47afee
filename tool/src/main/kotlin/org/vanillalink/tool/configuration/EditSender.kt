/*
 * Sends an edit to one daemon after the other until one responds. An edit whose response was lost may have taken
 * effect, so it is sent to the next daemon with the same edit id, by which the platform applies it only once.
 */
package org.vanillalink.tool.configuration

import org.vanillalink.model.Endpoint
import org.vanillalink.tool.ExitCode
import org.vanillalink.tool.OperatorsClient

/** An edit and the daemon's response in [answer], or null if no daemon responded. */
data class SentEdit(
    val edit: String,
    val answer: EditResponse?,
) {
    val exitCode: ExitCode
        get() =
            when (answer?.result) {
                "accepted" -> ExitCode.DONE
                null, "platform-unavailable", "unreadable-rows" -> ExitCode.UNREACHABLE
                else -> ExitCode.REFUSED
            }
}

/** Sends edits to [daemons] through [client]. */
class EditSender(
    private val daemons: Collection<Endpoint>,
    private val client: OperatorsClient,
) {
    /** Sends [request] and prints to the error stream what the operator needs to send it again. */
    fun send(request: EditRequest): SentEdit {
        System.err.println("edit ${request.edit}")
        val response = daemons.firstNotNullOfOrNull { sendTo(it, request) }
        val sent = SentEdit(request.edit, response)
        if (sent.exitCode == ExitCode.UNREACHABLE) {
            System.err.println("to send the same edit again (it is applied only once): --edit ${request.edit}")
        }
        return sent
    }

    private fun sendTo(
        daemon: Endpoint,
        request: EditRequest,
    ): EditResponse? = client
        .post(daemon, "/configuration/edits", request, EditResponse::class.java)
        .onLeft { System.err.println("$daemon: ${it.detail}; ${it.consequence}") }
        .getOrNull()
}

/** Prints the outcome of an edit. */
internal fun EditResponse.print() {
    when (result) {
        "accepted" -> println("accepted: version $version, revision $revision" + formatRepetition())
        else -> println("$result: ${outcome ?: "not-applied"}")
    }
    presentVersion?.let { println("the section has version $it") }
    errors.forEach { println(it) }
}

private fun EditResponse.formatRepetition(): String = if (repeated == true) " (an earlier try had taken effect)" else ""
