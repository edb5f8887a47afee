/*
 * Sends an edit to one daemon after the other until one answers. An edit whose answer was lost may have taken effect,
 * so the next daemon gets it with the same edit id: the platform then recognises it and applies it once.
 */
package org.vanillalink.tool.configuration

import org.vanillalink.model.Endpoint
import org.vanillalink.tool.ExitCode
import org.vanillalink.tool.OperatorsClient

/** An edit's end: the daemon's [answer], or null where none gave any. */
data class SentEdit(
    val edit: String,
    val answer: EditResponse?,
) {
    /** What the process's exit code is to tell. */
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
    /** Sends [message] and prints to the error stream what the operator needs to send it again. */
    fun send(request: EditRequest): SentEdit {
        System.err.println("edit ${request.edit}")
        val response = daemons.firstNotNullOfOrNull { sendTo(it, request) }
        val sent = SentEdit(request.edit, response)
        if (sent.exitCode == ExitCode.UNREACHABLE) {
            System.err.println("to send the same edit again, which never applies it twice: --edit ${request.edit}")
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

/** Prints an edit's end. */
internal fun EditResponse.print() {
    when (result) {
        "accepted" -> println("accepted: version $version, revision $revision" + formatRepetition())
        else -> println("$result: ${outcome ?: "not-applied"}")
    }
    presentVersion?.let { println("the section has version $it") }
    errors.forEach { println(it) }
}

private fun EditResponse.formatRepetition(): String = if (repeated == true) " (an earlier try had taken effect)" else ""
