/*
 * All daemons, as the ones given on the command line know them.
 */
package org.vanillalink.tool

import arrow.core.Either
import org.vanillalink.model.Endpoint

/** What became of asking one daemon; [daemon] is its id where that is known. */
data class Asked<T>(
    val endpoint: Endpoint,
    val daemon: String?,
    val answer: Either<OperatorsFailure, T>,
)

/** Asks all daemons that [options] name, and those that they know unless `--only` is given, through [client]. */
class Fleet(
    private val options: DaemonOptions,
    private val client: OperatorsClient,
) {
    /** Asks every daemon for [path]; those that gave no usable answer are named on the error stream unless [quiet]. */
    fun <T> askAll(
        path: String,
        type: Class<T>,
        quiet: Boolean = false,
    ): List<Asked<T>> {
        val asked = known().map { (endpoint, daemon) -> Asked(endpoint, daemon, client.get(endpoint, path, type)) }
        if (!quiet) asked.forEach(::reportFailure)
        return asked
    }

    /** The operators' ports of all daemons, with their ids where those are known. */
    fun known(): Map<Endpoint, String?> {
        val found = LinkedHashMap<Endpoint, String?>()
        options.daemons.forEach { found[it] = null }
        if (options.only) return found
        options.daemons.forEach { seed ->
            val answer = client.get(seed, DAEMONS_PATH, DaemonMessage::class.java).getOrNull() ?: return@forEach
            found[seed] = answer.daemon
            answer.peers.forEach { found[it.operators] = it.daemon }
        }
        return found
    }

    private fun <T> reportFailure(asked: Asked<T>) {
        asked.answer.onLeft { System.err.println("could not ask ${nameOf(asked)}: ${it.detail}") }
    }

    companion object {
        /** The page on which a daemon lists its peers. */
        const val DAEMONS_PATH = "/daemons"

        /** The daemon's id and port, as far as known. */
        fun nameOf(asked: Asked<*>): String = listOfNotNull(asked.daemon, "at ${asked.endpoint}").joinToString(" ")

        /** The exit code for answers of which some may lack. */
        fun exitCodeOf(asked: List<Asked<*>>): ExitCode = when {
            asked.all { it.answer.isRight() } -> ExitCode.DONE
            asked.any { it.answer.isRight() } -> ExitCode.PARTIAL
            else -> ExitCode.UNREACHABLE
        }
    }
}
