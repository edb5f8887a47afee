/*
 * A model engine's stand-in: takes orders, reports, and streams made-up tokens.
 */
package org.vanillalink.standins.engine

import org.vanillalink.model.Endpoint
import org.vanillalink.model.HostId
import org.vanillalink.standins.EndpointConverter
import org.vanillalink.standins.serveUntilKilled
import org.vanillalink.transport.NettyEventLoops
import picocli.CommandLine.Command
import picocli.CommandLine.Option

/** Runs a model engine. */
@Command(name = "engine", mixinStandardHelpOptions = true)
class EngineCommand : Runnable {
    @Option(names = ["--listen"], required = true, converter = [EndpointConverter::class])
    private lateinit var listen: Endpoint

    @Option(names = ["--host"], required = true)
    private lateinit var host: String

    @Option(names = ["--checks-fencing"], description = ["Refuse orders with an old fencing number."])
    private var checksFencing: Boolean = false

    @Option(names = ["--load-milliseconds"], description = ["How long a model takes to load."])
    private var loadMilliseconds: Long = 500

    @Option(names = ["--token-milliseconds"], description = ["Time between tokens."])
    private var tokenMilliseconds: Long = 5

    @Option(names = ["--cold-requests"], description = ["Requests at once that a cold engine bears."])
    private var coldRequests: Int = 2

    @Option(names = ["--warm-requests"], description = ["Requests at once that a warm engine bears."])
    private var warmRequests: Int = 64

    override fun run() {
        val settings =
            EngineSettings(
                host = HostId(host),
                checksFencing = checksFencing,
                loadMilliseconds = loadMilliseconds,
                tokenMilliseconds = tokenMilliseconds,
                coldRequests = coldRequests,
                warmRequests = warmRequests,
            )
        serveUntilKilled(NettyEventLoops(2), listen, EngineHandler(EngineState(settings)))
    }
}
