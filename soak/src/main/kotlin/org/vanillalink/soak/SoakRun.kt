/*
 * One run: starts a deployment, plays faults beside callers, and returns what was recorded.
 */
package org.vanillalink.soak

import org.vanillalink.soak.callers.CallMaker
import org.vanillalink.soak.callers.Caller
import org.vanillalink.soak.callers.CallerSettings
import org.vanillalink.soak.callers.CallerStyle
import org.vanillalink.soak.deployment.DeploymentPlan
import org.vanillalink.soak.deployment.Rotation
import org.vanillalink.soak.deployment.SoakDeployment
import org.vanillalink.soak.faults.ConfigurationChanges
import org.vanillalink.soak.faults.DaemonFaults
import org.vanillalink.soak.faults.DeadlyRequests
import org.vanillalink.soak.faults.TargetFaults
import org.vanillalink.soak.record.Bounds
import org.vanillalink.soak.record.FaultKind
import org.vanillalink.soak.record.Recorder
import org.vanillalink.soak.record.Recording
import java.nio.file.Path
import java.util.concurrent.Executors
import kotlin.concurrent.thread
import kotlin.random.Random

/** What a run is to be like. */
internal data class SoakSettings(
    val seed: Long,
    val seconds: Int,
    val daemonsPerDomain: Int,
    val daemonJar: Path,
    val work: Path,
    val profile: Profile,
    val kinds: Set<FaultKind>,
)

/** Runs [settings] once. */
internal class SoakRun(
    private val settings: SoakSettings,
) {
    private val bounds = Bounds()
    private val recorder = Recorder(bounds, settings.profile.models.associate { it.name to it.size })
    private val random = Random(settings.seed)
    private val executor = Executors.newCachedThreadPool { Thread(it, "fault").apply { isDaemon = true } }

    @Volatile
    private var areFaultsOn = false

    @Volatile
    private var isOver = false

    /** Returns what was recorded, or null if the daemons did not become ready. */
    fun run(): Recording? {
        val plan =
            DeploymentPlan(
                settings.profile,
                settings.seed,
                settings.daemonsPerDomain,
                settings.daemonJar,
                settings.work,
                settings.kinds,
                bounds.graceMs,
            ) { areFaultsOn }
        val deployment = SoakDeployment(plan, recorder)
        Runtime.getRuntime().addShutdownHook(Thread(deployment::close))
        val rotation = Rotation(deployment.daemons, recorder)
        deployment.daemons.forEach {
            it.start()
            Thread.sleep(START_PAUSE_MS)
        }
        rotation.start()
        if (!awaitReady(rotation, deployment.daemons.size)) return null
        val callers = startCallers(rotation, deployment)
        Thread.sleep(WARM_UP_MS)
        play(deployment, rotation)
        areFaultsOn = false
        Thread.sleep(bounds.graceMs)
        isOver = true
        callers.forEach { it.join(LONGEST_CALL_MS) }
        return recorder.recording()
    }

    private fun awaitReady(
        rotation: Rotation,
        count: Int,
    ): Boolean {
        val untilMs = recorder.now() + READY_TIMEOUT_MS
        while (rotation.readyCount < count) {
            if (recorder.now() > untilMs) return false
            Thread.sleep(100)
        }
        return true
    }

    private fun startCallers(
        rotation: Rotation,
        deployment: SoakDeployment,
    ): List<Thread> {
        val addedRoutes = { deployment.routesAddedBefore(recorder.now() - bounds.configApplyMs) }
        val shared =
            CallerSettings(settings.profile, rotation, recorder, SoakDeployment.DOMAINS, addedRoutes) { isOver }
        return List(settings.profile.callers) { index ->
            val caller = Caller(index, styleOf(index), shared, Random(settings.seed * CALLER_STEP + index))
            thread(isDaemon = true, name = "caller-$index", block = caller::run)
        }
    }

    private fun styleOf(index: Int): CallerStyle {
        val place = (index + HALF) / settings.profile.callers
        val styles = settings.profile.styles
        val shares =
            listOf(
                CallerStyle.NEW_CONNECTIONS to styles.newConnections,
                CallerStyle.PIPELINING to styles.pipelining,
                CallerStyle.SLOW_READER to styles.slowReading,
                CallerStyle.SLOW_AHEAD to styles.slowAhead,
                CallerStyle.SLOW_SENDER to styles.slowSending,
                CallerStyle.LEAVING to styles.leaving,
            )
        var sum = 0.0
        return shares
            .firstOrNull { (_, share) ->
                sum += share
                place < sum
            }?.first ?: CallerStyle.KEPT
    }

    private fun play(
        deployment: SoakDeployment,
        rotation: Rotation,
    ) {
        areFaultsOn = true
        val ofDaemons = settings.kinds.filter { !it.isOfTargets && it != FaultKind.DEADLY_REQUEST }
        val ofTargets = settings.kinds.filter { it in WHOLE_TARGET }
        val endMs = recorder.now() + settings.seconds * MS_PER_SECOND
        val daemonFaults = DaemonFaults(deployment, recorder, ofDaemons, Random(random.nextInt()), executor)
        val targetFaults = TargetFaults(deployment, recorder, ofTargets, Random(random.nextInt()), executor)
        val changes = ConfigurationChanges(deployment, recorder, Random(random.nextInt()))
        val maker = CallMaker("deadly", settings.profile, CallerStyle.NEW_CONNECTIONS, Random(random.nextInt()))
        val deadly =
            DeadlyRequests(deployment, rotation, recorder, maker, Random(random.nextInt()), executor)
        val ofConfigurations = settings.kinds.filter { it == FaultKind.CONFIGURATION }
        val ofRequests = settings.kinds.filter { it == FaultKind.DEADLY_REQUEST }
        val players =
            listOf(
                ofDaemons to daemonFaults::playNext,
                ofTargets to targetFaults::playNext,
                ofConfigurations to changes::playNext,
                ofRequests to deadly::playNext,
            ).filter { (kinds, _) -> kinds.isNotEmpty() }
                .map { (_, playNext) ->
                    thread(isDaemon = true) {
                        while (recorder.now() < endMs) Thread.sleep(playNext())
                    }
                }
        Thread.sleep(settings.seconds * MS_PER_SECOND)
        players.forEach { it.join() }
    }

    private companion object {
        const val HALF = 0.5
        const val MS_PER_SECOND = 1_000L
        const val START_PAUSE_MS = 200L
        const val READY_TIMEOUT_MS = 60_000L
        const val WARM_UP_MS = 4_000L
        const val LONGEST_CALL_MS = 12_000L
        const val CALLER_STEP = 10_007L
        val WHOLE_TARGET =
            setOf(FaultKind.SILENT_TARGET, FaultKind.SILENT_GROUP, FaultKind.TARGET_CRASH, FaultKind.TARGET_DRAINS)
    }
}
