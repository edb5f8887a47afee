/*
 * A deployment on loopback: the store, targets with proxies, and daemons as processes.
 */
package org.vanillalink.soak.deployment

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.vanillalink.soak.Profile
import org.vanillalink.soak.record.FaultKind
import org.vanillalink.soak.record.Recorder
import org.vanillalink.soak.record.StoreEvent
import org.vanillalink.soak.targets.FaultChooser
import org.vanillalink.soak.targets.SoakTarget
import org.vanillalink.soak.targets.TargetHost
import org.vanillalink.standins.deployment.NodeFiles
import org.vanillalink.standins.rows.RowStore
import org.vanillalink.standins.rows.RowStoreHandler
import org.vanillalink.transport.Json
import org.vanillalink.transport.NettyEventLoops
import org.vanillalink.transport.NettyHttpServer
import org.vanillalink.transport.ServerLimits
import java.nio.file.Files
import java.nio.file.Path
import java.util.Base64
import kotlin.random.Random

/** How large a deployment is, what its daemons run, and which faults its targets have. */
internal class DeploymentPlan(
    val profile: Profile,
    val seed: Long,
    val daemonsPerDomain: Int,
    val daemonJar: Path,
    val work: Path,
    val kinds: Set<FaultKind>,
    val graceMs: Long,
    val areFaultsOn: () -> Boolean,
)

/** Starts all parts of [plan]. */
internal class SoakDeployment(
    private val plan: DeploymentPlan,
    private val recorder: Recorder,
) {
    private val random = Random(plan.seed)
    private val ports = Ports()
    private val loops = NettyEventLoops(THREADS)
    private val configuration = OperatorConfiguration(plan.profile, Random(random.nextInt()))
    private val host =
        TargetHost(
            NettyEventLoops(THREADS),
            MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory()),
            RowStore(),
            recorder,
            plan.profile.slots,
        )
    private val storeEndpoint = ports.next()

    /** The added routes, with the times at which the store had them. */
    @Volatile
    private var routesWrittenMs: List<Pair<SoakRoute, Long>> = emptyList()

    val store: RowStore get() = host.store
    val targets: List<SoakTarget> = DOMAINS.flatMap(::targetsOf)
    val daemons: List<DaemonProcess>

    init {
        NettyHttpServer(loops, storeEndpoint, ServerLimits(), RowStoreHandler(store))
        writeConfiguration()
        targets.forEach { it.start() }
        val files = NodeFiles(DOMAINS, storeEndpoint)
        daemons =
            DOMAINS.flatMap { domain -> List(plan.daemonsPerDomain) { daemon("$domain-${it + 1}", domain, files) } }
    }

    private fun targetsOf(domain: String): List<SoakTarget> {
        val members = plan.profile.models.sumOf { it.size * it.groups } + plan.profile.spares
        val ofModels =
            List(members) { number ->
                target(
                    "$domain-writer-${number + 1}",
                    OperatorConfiguration.WRITER,
                    domain,
                    "$domain-fabric-${number / FABRIC_SIZE}",
                )
            }
        val plain =
            List(plan.profile.plainTargets) {
                target("$domain-desk-${it + 1}", OperatorConfiguration.DESK, domain, null)
            }
        return ofModels + plain
    }

    private fun target(
        name: String,
        service: String,
        domain: String,
        fabric: String?,
    ): SoakTarget {
        val chooser = FaultChooser(Random(random.nextInt()), plan.kinds, plan.areFaultsOn)
        return SoakTarget(host, name, service, domain, fabric, ports.next(), ports.next(), chooser)
    }

    private fun daemon(
        name: String,
        domain: String,
        files: NodeFiles,
    ): DaemonProcess {
        val firstPort = ports.nextBlock(NodeFiles.PORTS_PER_DAEMON)
        val settings = files.settingsOf(name, domain, firstPort)
        val file = plan.work.resolve("$name.json")
        Files.write(file, Json.write(settings))
        val command =
            listOf("java") + JAVA_OPTIONS + listOf("-jar", "${plan.daemonJar}", "entry", "--node-file", "$file") +
                listOf("--metrics-port", "${firstPort + NodeFiles.PORTS_PER_DAEMON - 1}")
        val endpoint = { offset: Int -> storeEndpoint.copy(port = firstPort + offset) }
        val place = DaemonPlace(name, domain, endpoint(0), endpoint(1), command, plan.work.resolve("$name.log"))
        return DaemonProcess(place, recorder, plan.graceMs)
    }

    /** Changes the configuration. */
    @Synchronized
    fun changeConfiguration() {
        val fromMs = recorder.now()
        val change = configuration.change()
        writeConfiguration()
        val writtenMs = recorder.now()
        routesWrittenMs = routesWrittenMs + configuration.addedRoutes.drop(routesWrittenMs.size).map { it to writtenMs }
        recorder.add(StoreEvent(FaultKind.CONFIGURATION, fromMs, writtenMs, change))
    }

    /** The routes that the operator added before [atMs], in their order. */
    fun routesAddedBefore(atMs: Long): List<SoakRoute> = routesWrittenMs.takeWhile { it.second < atMs }.map { it.first }

    /** Puts [content] among the targets' entries for [milliseconds], as another writer may. */
    fun addOddEntry(
        key: String,
        content: String,
        milliseconds: Long,
    ) {
        store.put("servers", key, Base64.getEncoder().encodeToString(content.toByteArray()))
        Thread.sleep(milliseconds)
        store.remove("servers", key)
    }

    private fun writeConfiguration() =
        store.put("op", "config", Base64.getEncoder().encodeToString(configuration.json()))

    /** Ends the daemons' processes. */
    fun close() = daemons.forEach { it.dispose() }

    companion object {
        val DOMAINS = listOf("ikeja", "apapa", "lekki")
        private const val THREADS = 2
        private const val FABRIC_SIZE = 8

        /** Those of the deploy file, without the archive of classes. */
        private val JAVA_OPTIONS =
            listOf(
                "-Xms48m",
                "-Xmx160m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:+ErrorFileToStdout",
                "-XX:-UsePerfData",
                "-Djava.net.preferIPv4Stack=true",
            )
    }
}
