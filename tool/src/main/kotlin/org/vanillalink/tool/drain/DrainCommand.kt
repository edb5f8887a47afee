/*
 * Makes one daemon finish its requests and exit.
 */
package org.vanillalink.tool.drain

import org.vanillalink.model.Endpoint
import org.vanillalink.tool.DaemonOptions
import org.vanillalink.tool.DrainResponse
import org.vanillalink.tool.ExitCode
import org.vanillalink.tool.Fleet
import org.vanillalink.tool.OperatorsClient
import org.vanillalink.tool.Output
import org.vanillalink.tool.OutputFormat
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Parameters
import java.util.concurrent.Callable

/** `drain`. */
@Command(
    name = "drain",
    description = ["Makes a daemon accept no new requests, finish those in progress and exit, as SIGTERM does."],
    mixinStandardHelpOptions = true,
)
class DrainCommand : Callable<Int> {
    @Mixin
    private lateinit var options: DaemonOptions

    @Parameters(index = "0", description = ["The daemon's id."])
    private lateinit var daemon: String

    override fun call(): Int = OperatorsClient(options.secret).use { client ->
        val endpoint = findEndpoint(client)
        if (endpoint == null) {
            System.err.println("no reachable daemon lists '$daemon'")
            ExitCode.FAILED.number
        } else {
            drain(client, endpoint).number
        }
    }

    private fun findEndpoint(client: OperatorsClient): Endpoint? = Fleet(options, client)
        .listDaemons()
        .entries
        .firstOrNull { it.value == daemon }
        ?.key

    private fun drain(
        client: OperatorsClient,
        endpoint: Endpoint,
    ): ExitCode = client.post(endpoint, "/drain", emptyMap<String, String>(), DrainResponse::class.java).fold(
        { failure ->
            System.err.println("$daemon at $endpoint: ${failure.detail}; check its state with 'vanillalink daemons'")
            ExitCode.UNREACHABLE
        },
        { response ->
            if (options.output == OutputFormat.JSON) Output.printJson(response) else print(response)
            ExitCode.DONE
        },
    )

    private fun print(response: DrainResponse) =
        println("${response.daemon} drains; what isn't finished after ${response.drainSeconds} s is cut off")
}
