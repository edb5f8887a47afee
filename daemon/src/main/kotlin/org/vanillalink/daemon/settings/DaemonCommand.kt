/*
 * The daemon's command line. Each flag can also be set by an environment variable; the flag wins.
 */
package org.vanillalink.daemon.settings

import org.vanillalink.daemon.Daemon
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.util.concurrent.Callable

/** Starts a daemon with the settings of the command line. */
@Command(
    name = "vanillalinkd",
    description = ["Serves callers' requests on an entry host."],
    mixinStandardHelpOptions = true,
    version = ["vanillalinkd 0.1.0"],
    sortOptions = false,
    subcommands = [EntryCommand::class],
)
class DaemonCommand : Callable<Int> {
    @Option(
        names = ["--daemon"],
        description = ["This daemon's id; the same after a restart. VANILLALINK_DAEMON."],
        defaultValue = "\${env:VANILLALINK_DAEMON:-}",
    )
    private lateinit var daemon: String

    @Option(
        names = ["--failure-domain"],
        description = ["The failure domain that this host is in. VANILLALINK_FAILURE_DOMAIN."],
        defaultValue = "\${env:VANILLALINK_FAILURE_DOMAIN:-}",
    )
    private lateinit var failureDomain: String

    @Option(
        names = ["--region"],
        description = ["The region that this host is in. VANILLALINK_REGION. Default: \${DEFAULT-VALUE}"],
        defaultValue = "\${env:VANILLALINK_REGION:-default}",
    )
    private lateinit var region: String

    @Option(
        names = ["--listen"],
        description = ["Where callers connect. VANILLALINK_LISTEN. Default: \${DEFAULT-VALUE}"],
        defaultValue = "\${env:VANILLALINK_LISTEN:-127.0.0.1:8080}",
    )
    private lateinit var listen: String

    @Option(
        names = ["--operators-listen"],
        description = ["Where operators connect. VANILLALINK_OPERATORS_LISTEN. Default: \${DEFAULT-VALUE}"],
        defaultValue = "\${env:VANILLALINK_OPERATORS_LISTEN:-127.0.0.1:8081}",
    )
    private lateinit var operatorsListen: String

    @Option(
        names = ["--peers-listen"],
        description = ["Where other daemons connect. VANILLALINK_PEERS_LISTEN. Default: \${DEFAULT-VALUE}"],
        defaultValue = "\${env:VANILLALINK_PEERS_LISTEN:-127.0.0.1:8082}",
    )
    private lateinit var peersListen: String

    @Option(
        names = ["--platform"],
        description = ["The platform's service. VANILLALINK_PLATFORM. Default: \${DEFAULT-VALUE}"],
        defaultValue = "\${env:VANILLALINK_PLATFORM:-127.0.0.1:8090}",
    )
    private lateinit var platform: String

    @Option(
        names = ["--peer"],
        description = ["Peers' endpoints to try first, separated by commas. VANILLALINK_PEER."],
        split = ",",
        defaultValue = "\${env:VANILLALINK_PEER:-}",
    )
    private var seeds: List<String> = emptyList()

    @Option(
        names = ["--secret"],
        description = ["Guards the operators' port and messages between daemons. Prefer VANILLALINK_SECRET."],
        defaultValue = "\${env:VANILLALINK_SECRET:-}",
    )
    private var secret: String? = null

    @Option(
        names = ["--drain-seconds"],
        description = ["How long SIGTERM waits for requests. VANILLALINK_DRAIN_SECONDS. Default: \${DEFAULT-VALUE}"],
        defaultValue = "\${env:VANILLALINK_DRAIN_SECONDS:-120}",
    )
    private var drainSeconds: Long = 0

    @Option(
        names = ["--traffic-threads"],
        description = ["Threads for traffic; 0: by cores. VANILLALINK_TRAFFIC_THREADS. Default: \${DEFAULT-VALUE}"],
        defaultValue = "\${env:VANILLALINK_TRAFFIC_THREADS:-0}",
    )
    private var trafficThreads: Int = 0

    override fun call(): Int = SettingsCheck.check(text()).fold(
        { problem ->
            System.err.println(problem)
            EXIT_USAGE
        },
        { settings -> Daemon(settings).runUntilStopped() },
    )

    private fun text() = SettingsText(
        daemon = daemon,
        failureDomain = failureDomain,
        region = region,
        listen = listen,
        operatorsListen = operatorsListen,
        peersListen = peersListen,
        platform = platform,
        seeds = seeds.filter { it.isNotEmpty() },
        secret = secret,
        drainSeconds = drainSeconds,
        trafficThreads = trafficThreads,
    )

    private companion object {
        const val EXIT_USAGE = 2
    }
}
