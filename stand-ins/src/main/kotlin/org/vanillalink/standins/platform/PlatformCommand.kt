/*
 * Stand-in for the platform: in-memory table service, object store and host list.
 */
package org.vanillalink.standins.platform

import org.vanillalink.model.Endpoint
import org.vanillalink.standins.EndpointConverter
import org.vanillalink.standins.serveUntilKilled
import org.vanillalink.transport.NettyEventLoops
import picocli.CommandLine.Command
import picocli.CommandLine.Option

/** Runs the stand-in for the platform. */
@Command(name = "platform", mixinStandardHelpOptions = true)
class PlatformCommand : Runnable {
    @Option(names = ["--listen"], required = true, converter = [EndpointConverter::class])
    private lateinit var listen: Endpoint

    @Option(
        names = ["--host"],
        description = ["id,address:port,failure domain,fabric domain,role,fenced|unfenced[,service]"],
    )
    private var hosts: List<String> = emptyList()

    override fun run() {
        val platform = InMemoryPlatform(hosts.map(::parseHost))
        serveUntilKilled(NettyEventLoops(2), listen, PlatformHandler(platform))
    }
}
