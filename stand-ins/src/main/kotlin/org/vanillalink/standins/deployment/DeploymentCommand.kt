/*
 * Stand-in for a complete deployment in one process: the metadata store, runners of a model and of a plain service in
 * each zone, an operator's configuration, and the settings files for the daemons to be started there.
 */
package org.vanillalink.standins.deployment

import org.vanillalink.model.Endpoint
import org.vanillalink.standins.rows.RowStore
import org.vanillalink.standins.rows.RowStoreHandler
import org.vanillalink.standins.runner.FakeRunner
import org.vanillalink.standins.runner.RunnerSettings
import org.vanillalink.transport.Json
import org.vanillalink.transport.NettyEventLoops
import org.vanillalink.transport.NettyHttpServer
import org.vanillalink.transport.ServerLimits
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Files
import java.nio.file.Path
import java.util.Base64
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch

/** Runs until the process is killed; prints `ready` once the settings files are written. */
@Command(name = "deployment", mixinStandardHelpOptions = true)
class DeploymentCommand : Callable<Int> {
    @Option(names = ["--first-port"], description = ["Port of the store; the other ports follow it."], required = true)
    private var firstPort: Int = 0

    @Option(names = ["--node-files"], description = ["Directory for the daemons' settings files."], required = true)
    private lateinit var nodeFiles: Path

    @Option(names = ["--zones"], split = ",")
    private var zones: List<String> = listOf("ikeja", "apapa", "lekki")

    @Option(names = ["--daemons"], description = ["Number of daemons in each zone."])
    private var daemons: Int = 1

    @Option(names = ["--runners"], description = ["Number of runners of the model in each zone."])
    private var runners: Int = 5

    @Option(names = ["--desks"], description = ["Number of runners of the plain service in each zone."])
    private var desks: Int = 1

    @Option(names = ["--deadly-part"], description = ["A part of prompts that crashes the runners of the model."])
    private var deadlyPart: String? = null

    override fun call(): Int {
        val store = RowStore()
        val loops = NettyEventLoops(THREADS)
        NettyHttpServer(loops, loopback(firstPort), ServerLimits(), RowStoreHandler(store))
        store.put("op", "config", encode(SampleConfiguration.JSON.toByteArray()))
        val ports = generateSequence(firstPort + 1) { it + 1 }.iterator()
        zones.forEach { zone -> startRunners(zone, store, loops, ports) }
        val files = NodeFiles(zones, loopback(firstPort))
        for (zone in zones) {
            for (number in 1..daemons) {
                val name = "$zone-$number"
                val firstDaemonPort = List(NodeFiles.PORTS_PER_DAEMON) { ports.next() }.first()
                Files.write(nodeFiles.resolve("$name.json"), Json.write(files.settingsOf(name, zone, firstDaemonPort)))
            }
        }
        println("ready")
        CountDownLatch(1).await()
        return 0
    }

    private fun startRunners(
        zone: String,
        store: RowStore,
        loops: NettyEventLoops,
        ports: Iterator<Int>,
    ) {
        for (number in 1..runners) {
            startRunner("$zone-writer-$number", "brief-writer", zone, "$zone-fabric", store, loops, ports)
        }
        for (number in 1..desks) startRunner("$zone-desk-$number", "dispatch-desk", zone, null, store, loops, ports)
    }

    @Suppress("LongParameterList")
    private fun startRunner(
        id: String,
        service: String,
        zone: String,
        fabricDomain: String?,
        store: RowStore,
        loops: NettyEventLoops,
        ports: Iterator<Int>,
    ) {
        val endpoint = loopback(ports.next())
        val runner =
            FakeRunner(loops, endpoint, RunnerSettings(id, service, zone, fabricDomain, endpoint.toString()), store)
        runner.handler.deadlyPromptPart = deadlyPart
    }

    private fun loopback(port: Int) = Endpoint("127.0.0.1", port)

    private fun encode(bytes: ByteArray): String = Base64.getEncoder().encodeToString(bytes)

    private companion object {
        const val THREADS = 2
    }
}
