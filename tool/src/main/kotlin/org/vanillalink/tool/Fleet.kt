/*
 * All daemons, as the ones given on the command line know them.
 */
package org.vanillalink.tool

import arrow.core.Either
import org.vanillalink.model.Endpoint

/** What became of asking one daemon; [daemon] is its id where that is known. */
data class QueryResult<T>(
    val endpoint: Endpoint,
    val daemon: String?,
    val response: Either<RequestFailure, T>,
)

/** Asks all daemons that [options] name, and those that they know unless `--only` is given, through [client]. */
class Fleet(
    private val options: DaemonOptions,
    private val client: OperatorsClient,
) {
    /** Asks every daemon for [path]; those that gave no usable answer are named on the error stream unless [quiet]. */
    fun <T> queryAll(
        path: String,
        type: Class<T>,
        isQuiet: Boolean = false,
    ): List<QueryResult<T>> {
        val results =
            listDaemons().map { (endpoint, daemon) ->
                QueryResult(endpoint, daemon, client.get(endpoint, path, type))
            }
        if (!isQuiet) results.forEach(::reportFailure)
        return results
    }

    /** The operators' ports of all daemons, with their ids where those are known. */
    fun listDaemons(): Map<Endpoint, String?> {
        val daemons = LinkedHashMap<Endpoint, String?>()
        options.daemons.forEach { daemons[it] = null }
        if (options.isDiscoveryDisabled) return daemons
        options.daemons.forEach { seed ->
            val response = client.get(seed, DAEMONS_PATH, DaemonMessage::class.java).getOrNull() ?: return@forEach
            daemons[seed] = response.daemon
            response.peers.forEach { daemons[it.operators] = it.daemon }
        }
        return daemons
    }

    private fun <T> reportFailure(result: QueryResult<T>) {
        result.response.onLeft { System.err.println("could not ask ${describe(result)}: ${it.detail}") }
    }

    companion object {
        /** The page on which a daemon lists its peers. */
        const val DAEMONS_PATH = "/daemons"

        /** The daemon's id and port, as far as known. */
        fun describe(result: QueryResult<*>): String =
            listOfNotNull(result.daemon, "at ${result.endpoint}").joinToString(" ")

        /** The exit code for answers of which some may lack. */
        fun exitCodeFor(results: List<QueryResult<*>>): ExitCode = when {
            results.all { it.response.isRight() } -> ExitCode.DONE
            results.any { it.response.isRight() } -> ExitCode.PARTIAL
            else -> ExitCode.UNREACHABLE
        }
    }
}
