/*
 * Stand-in for a model engine: accepts orders, returns reports and streams generated tokens.
 */
package org.vanillalink.standins.engine

import org.vanillalink.model.Endpoint
import org.vanillalink.model.HostId
import org.vanillalink.standins.EndpointConverter
import org.vanillalink.standins.serveUntilKilled
import org.vanillalink.transport.NettyEventLoops
import picocli.CommandLine.Command
import picocli.CommandLine.Option

/** Runs the stand-in for a model engine. */
@Command(name = "engine", mixinStandardHelpOptions = true)
class EngineCommand : Runnable {
    @Option(names = ["--listen"], required = true, converter = [EndpointConverter::class])
    private lateinit var listen: Endpoint

    @Option(names = ["--host"], required = true)
    private lateinit var host: String

    @Option(names = ["--checks-fencing"], description = ["Reject orders with an outdated fencing number."])
    private var checksFencing: Boolean = false

    @Option(names = ["--load-milliseconds"], description = ["Load time of a model."])
    private var loadMilliseconds: Long = 500

    @Option(names = ["--token-milliseconds"], description = ["Interval between tokens."])
    private var tokenMilliseconds: Long = 5

    @Option(names = ["--cold-requests"], description = ["Concurrent requests that a cold engine can handle."])
    private var coldRequests: Int = 2

    @Option(names = ["--warm-requests"], description = ["Concurrent requests that a warm engine can handle."])
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
