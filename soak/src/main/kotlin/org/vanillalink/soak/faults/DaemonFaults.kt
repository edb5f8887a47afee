/*
 * Planned work and faults of the daemons, the configuration and the store.
 */
package org.vanillalink.soak.faults

import org.vanillalink.soak.deployment.DaemonProcess
import org.vanillalink.soak.deployment.SoakDeployment
import org.vanillalink.soak.record.FaultKind
import org.vanillalink.soak.record.InjectedFault
import org.vanillalink.soak.record.Recorder
import org.vanillalink.soak.record.StoreEvent
import org.vanillalink.standins.rows.StoreFault
import java.util.concurrent.ExecutorService
import kotlin.random.Random

/** Plays one fault after the other, and some of them beside each other, chosen by [random]. */
internal class DaemonFaults(
    private val deployment: SoakDeployment,
    private val recorder: Recorder,
    private val kinds: List<FaultKind>,
    private val random: Random,
    private val executor: ExecutorService,
) {
    /** Chooses and starts one fault; returns the pause until the next. */
    fun playNext(): Long {
        val kind = if (random.nextInt(PLANNED_SHARE) > 0) FaultKind.TERM else kinds.random(random)
        if (kind in kinds) start(kind)
        return random.nextLong(SHORTEST_PAUSE_MS, LONGEST_PAUSE_MS)
    }

    private fun start(kind: FaultKind) {
        val seed = Random(random.nextInt())
        when (kind) {
            FaultKind.CONFIGURATION -> {
                executor.execute { changeConfiguration(seed) }
            }

            FaultKind.STORE_UNAVAILABLE, FaultKind.STORE_ANSWERS_LOST, FaultKind.STORE_HISTORY_LOST -> {
                executor.execute { disturbStore(kind, seed) }
            }

            FaultKind.ODD_ENTRY -> {
                executor.execute { addOddEntry(seed) }
            }

            FaultKind.TERM_SEVERAL -> {
                val domain = SoakDeployment.DOMAINS.random(seed)
                val all = deployment.daemons.filter { it.place.failureDomain == domain && !it.isInUse }
                all.shuffled(seed).take((all.size + 1) / 2).forEach { begin(kind, it, Random(seed.nextInt())) }
            }

            else -> {
                free(seed)?.let { begin(kind, it, seed) }
            }
        }
    }

    /** A daemon on which nothing is played, while at least half of its failure domain is free. */
    private fun free(seed: Random): DaemonProcess? = deployment.daemons
        .groupBy { it.place.failureDomain }
        .values
        .filter { domain -> domain.size == 1 || domain.count { !it.isInUse } * 2 > domain.size }
        .flatten()
        .filter { !it.isInUse && it.isRunning }
        .randomOrNull(seed)

    private fun begin(
        kind: FaultKind,
        daemon: DaemonProcess,
        seed: Random,
    ) {
        daemon.isInUse = true
        recorder.add(InjectedFault(kind, recorder.now(), daemon.name, null))
        executor.execute {
            play(kind, daemon, seed)
            daemon.isInUse = false
        }
    }

    private fun play(
        kind: FaultKind,
        daemon: DaemonProcess,
        seed: Random,
    ) {
        when (kind) {
            FaultKind.HUP -> {
                repeat(1 + seed.nextInt(MOST_HANG_UPS)) {
                    daemon.hangUp()
                    Thread.sleep(seed.nextLong(MOST_BETWEEN_MS))
                }
                if (seed.nextBoolean()) stop(daemon, seed, FaultKind.TERM)
            }

            FaultKind.KILL -> {
                daemon.kill()
                Thread.sleep(seed.nextLong(MOST_DOWN_MS))
                daemon.start()
                settle()
            }

            FaultKind.PAUSE -> {
                daemon.pause()
                Thread.sleep(seed.nextLong(SHORTEST_FREEZE_MS, LONGEST_FREEZE_MS))
                daemon.goOn()
                settle()
            }

            else -> {
                stop(daemon, seed, kind)
            }
        }
    }

    private fun stop(
        daemon: DaemonProcess,
        seed: Random,
        kind: FaultKind,
    ) {
        if (kind == FaultKind.TERM_SEVERAL) Thread.sleep(seed.nextLong(MOST_BETWEEN_MS))
        end(daemon, seed, kind == FaultKind.TERM_TWICE)
        if (kind == FaultKind.TERM_STARTING) {
            daemon.start()
            Thread.sleep(seed.nextLong(MOST_STARTING_MS))
            end(daemon, seed, false)
        }
        if (kind != FaultKind.RESTART_AT_ONCE) Thread.sleep(seed.nextLong(MOST_DOWN_MS))
        daemon.start()
        settle()
    }

    private fun end(
        daemon: DaemonProcess,
        seed: Random,
        isTwice: Boolean,
    ) {
        val termMs = recorder.now()
        daemon.terminate()
        if (isTwice) {
            Thread.sleep(seed.nextLong(MOST_BETWEEN_MS))
            daemon.terminate()
        }
        daemon.awaitEnd(termMs)
    }

    private fun settle() = Thread.sleep(SETTLE_MS)

    private fun changeConfiguration(seed: Random) {
        recorder.add(InjectedFault(FaultKind.CONFIGURATION, recorder.now(), "store", null))
        repeat(1 + seed.nextInt(MOST_CHANGES)) {
            deployment.changeConfiguration()
            Thread.sleep(seed.nextLong(MOST_BETWEEN_MS))
        }
    }

    private fun addOddEntry(seed: Random) {
        recorder.add(InjectedFault(FaultKind.ODD_ENTRY, recorder.now(), "store", null))
        deployment.addOddEntry(
            "odd-${seed.nextInt(MOST_ODD_ENTRIES)}",
            OddEntry.build(seed),
            seed.nextLong(LONGEST_ODD_MS),
        )
    }

    private fun disturbStore(
        kind: FaultKind,
        seed: Random,
    ) {
        val fromMs = recorder.now()
        recorder.add(InjectedFault(kind, fromMs, "store", null))
        deployment.store.fault =
            when (kind) {
                FaultKind.STORE_UNAVAILABLE -> StoreFault.UNAVAILABLE
                FaultKind.STORE_ANSWERS_LOST -> StoreFault.ANSWERS_LOST
                else -> StoreFault.HISTORY_LOST
            }
        Thread.sleep(seed.nextLong(SHORTEST_FREEZE_MS, LONGEST_FREEZE_MS))
        deployment.store.fault = StoreFault.NONE
        recorder.add(StoreEvent(kind, fromMs, recorder.now()))
    }

    private companion object {
        /** Three of four faults are a planned stop. */
        const val PLANNED_SHARE = 3
        const val SHORTEST_PAUSE_MS = 800L
        const val LONGEST_PAUSE_MS = 4_000L
        const val MOST_HANG_UPS = 3
        const val MOST_CHANGES = 3
        const val MOST_BETWEEN_MS = 1_500L
        const val MOST_DOWN_MS = 1_500L
        const val MOST_STARTING_MS = 2_500L
        const val SHORTEST_FREEZE_MS = 300L
        const val LONGEST_FREEZE_MS = 4_000L
        const val SETTLE_MS = 4_000L
        const val MOST_ODD_ENTRIES = 3
        const val LONGEST_ODD_MS = 10_000L
    }
}
