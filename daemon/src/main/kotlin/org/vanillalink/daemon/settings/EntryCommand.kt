/*
 * Runs the daemon on the users' platform: settings come from the platform's file, everything else through the adapter.
 */
package org.vanillalink.daemon.settings

import org.vanillalink.daemon.logs.CountingAsyncAppender
import org.vanillalink.gateway.GatewayDaemon
import org.vanillalink.gateway.GatewayPorts
import org.vanillalink.gateway.control.DecodingProgress
import org.vanillalink.gateway.control.SystemClock
import org.vanillalink.gateway.ports.GatewaySettings
import org.vanillalink.platform.InvalidNodeFile
import org.vanillalink.platform.NodeFile
import org.vanillalink.platform.PlatformCallProtocol
import org.vanillalink.platform.RunnerControl
import org.vanillalink.platform.StoreClient
import org.vanillalink.platform.StoreRelay
import org.vanillalink.platform.StoredRegistry
import org.vanillalink.transport.ConnectionCounters
import org.vanillalink.transport.MemoryBudget
import org.vanillalink.transport.NettyEventLoops
import org.vanillalink.transport.NettyHttpClient
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path
import java.time.Duration
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/** Starts a daemon with the platform's settings file. */
@Command(
    name = "entry",
    description = ["Serves callers on an entry host of the users' platform."],
    mixinStandardHelpOptions = true,
)
class EntryCommand : Callable<Int> {
    @Option(
        names = ["--node-file"],
        description = ["The platform's settings file. " + NodeFile.PATH_VARIABLE + "."],
        defaultValue = "\${env:" + NodeFile.PATH_VARIABLE + ":-" + NodeFile.DEFAULT_PATH + "}",
    )
    private lateinit var nodeFile: Path

    @Option(
        names = ["--metrics-port"],
        description = ["Where metrics are served. VANILLALINK_METRICS_PORT. Default: \${DEFAULT-VALUE}"],
        defaultValue = "\${env:VANILLALINK_METRICS_PORT:-9464}",
    )
    private var metricsPort: Int = 0

    override fun call(): Int {
        val signals = ProcessSignals()
        return NodeFile.read(nodeFile, metricsPort).fold(::reportProblem) { settings -> run(settings, signals) }
    }

    private fun run(
        settings: GatewaySettings,
        signals: ProcessSignals,
    ): Int {
        if (signals.isStopRequested) return 0
        val daemon = startDaemon(settings)
        signals.onSettingsChanged = {
            NodeFile.read(nodeFile, metricsPort).fold(::reportProblem, daemon::onSettingsReloaded)
        }
        signals.awaitStopRequest()
        daemon.stop()
        return 0
    }

    private fun startDaemon(settings: GatewaySettings): GatewayDaemon {
        val loops = NettyEventLoops(TRAFFIC_THREADS)
        val connections = ConnectionCounters()
        val maxHeapBytes = Runtime.getRuntime().maxMemory()
        val memory = MemoryBudget.ofHeap(maxHeapBytes)
        // Answers of targets must not cost those of the store, of which one may be larger than any of theirs.
        val http = NettyHttpClient(loops, CONNECT_TIMEOUT, connections, MemoryBudget.ofHeap(maxHeapBytes))
        val progress = DecodingProgress()
        val decoding = progress.track(decoding())
        val store = StoreClient(http, settings.storeEndpoint, decoding)
        val relay = StoreRelay(http, decoding, SystemClock, progress) { delay, action -> loops.schedule(delay, action) }
        val dropped = CountingAsyncAppender::droppedLines
        val ports =
            GatewayPorts(
                http,
                StoredRegistry(store, relay, SystemClock, progress),
                store,
                RunnerControl(http),
                PlatformCallProtocol(),
                dropped,
                connections,
                memory,
                relay,
                store::callCount,
                progress,
            )
        return GatewayDaemon(settings, loops, ports)
    }

    private fun reportProblem(problem: InvalidNodeFile): Int {
        System.err.println("${problem.path}: ${problem.reason}")
        return EXIT_USAGE
    }

    private fun decoding() = Executors.newSingleThreadExecutor { Thread(it, "registry").apply { isDaemon = true } }

    private companion object {
        const val EXIT_USAGE = 2

        /** Traffic state belongs to one thread, and entry hosts have about one core. */
        const val TRAFFIC_THREADS = 1

        /** Round trips take a few milliseconds; a host that is gone doesn't answer at all. */
        val CONNECT_TIMEOUT: Duration = Duration.ofMillis(300)
    }
}
