/*
 * Stand-in for a plain service that counts how often each order is executed.
 */
package org.vanillalink.standins.plain

import org.vanillalink.model.Endpoint
import org.vanillalink.model.HostId
import org.vanillalink.standins.EndpointConverter
import org.vanillalink.standins.serveUntilKilled
import org.vanillalink.transport.NettyEventLoops
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.util.UUID

/** Runs the stand-in for a plain service. */
@Command(name = "plain", mixinStandardHelpOptions = true)
class PlainServiceCommand : Runnable {
    @Option(names = ["--listen"], required = true, converter = [EndpointConverter::class])
    private lateinit var listen: Endpoint

    @Option(names = ["--host"], required = true)
    private lateinit var host: String

    @Option(names = ["--work-milliseconds"], description = ["Processing time of an order."])
    private var workMilliseconds: Long = 20

    override fun run() {
        val loops = NettyEventLoops(2)
        val handler = PlainServiceHandler(HostId(host), UUID.randomUUID().toString(), workMilliseconds)
        serveUntilKilled(loops, listen, handler)
    }
}
