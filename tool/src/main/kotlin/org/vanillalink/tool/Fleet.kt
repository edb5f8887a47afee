/*
 * Finds and queries all daemons, starting from those given on the command line.
 */
package org.vanillalink.tool

import arrow.core.Either
import org.vanillalink.model.Endpoint

/** The outcome of a query to one daemon; [daemon] is its id, or null if it is unknown. */
data class QueryResult<T>(
    val endpoint: Endpoint,
    val daemon: String?,
    val response: Either<RequestFailure, T>,
)

/** Queries the daemons that [options] name and, unless `--only` is given, the peers that they list. */
class Fleet(
    private val options: DaemonOptions,
    private val client: OperatorsClient,
) {
    /** Requests [path] from every daemon; unless [isQuiet], names those that failed on the error stream. */
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

    /** Returns the operators' ports of all daemons, each with the daemon's id or null if it is unknown. */
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
        /** The path at which a daemon reports its state and lists its peers. */
        const val DAEMONS_PATH = "/daemons"

        /** Returns the daemon's id, if known, and endpoint. */
        fun describe(result: QueryResult<*>): String =
            listOfNotNull(result.daemon, "at ${result.endpoint}").joinToString(" ")

        /** Returns DONE if all queries succeeded, PARTIAL if some did, else UNREACHABLE. */
        fun exitCodeFor(results: List<QueryResult<*>>): ExitCode = when {
            results.all { it.response.isRight() } -> ExitCode.DONE
            results.any { it.response.isRight() } -> ExitCode.PARTIAL
            else -> ExitCode.UNREACHABLE
        }
    }
}
